"""What the fronts of a soak are told: settings and configuration in the form of the deploy page."""

from dataclasses import dataclass, field

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
SAFE_CLASS, UNSAFE_CLASS = "lookup", "booking"
TENANT = "acme"
FIRST_BUILD = 41


@dataclass(slots=True, frozen=True)
class Deployment:
    """One deployment: its size, and the figures that the rules are judged by."""

    fronts: int = 3
    servers: int = 6
    pushed: bool = False  # whether lists are pushed; they are asked for otherwise
    grace_s: float = 0.25
    ask_every_s: float = 10.0
    deadline_s: float = 2.0
    cold_s: float = 2.0
    cold_share: float = 0.4
    overload_factor: float = 2.0
    fall_s: float = 2.0
    server_rate: float = 60.0  # requests a second that one warm server bears
    caps: tuple[float, ...] = (0.15, 0.5, 1.0)
    span_s: float = 2.0
    free: float = 1.0
    sockets: int = 384
    idle_close_s: float = 15.0

    def settings(self) -> dict[str, object]:
        deadline = int(self.deadline_s * NS_PER_S)
        lane = {"dedup_window": deadline, "on_time": deadline // 3, "give_up": deadline, "late_worth": 0.1}
        obligations = {
            "drain_grace": int(self.grace_s * NS_PER_S),
            "cold": int(self.cold_s * NS_PER_S),
            "cold_share": self.cold_share,
            "overload_factor": self.overload_factor,
            "fall": int(self.fall_s * NS_PER_S),
        }
        if not self.pushed:
            obligations["ask_every"] = int(self.ask_every_s * NS_PER_S)
        return {
            "balancers": self.fronts,
            "zone": 0,
            "zones": ["here"],
            "kinds": ["small"],
            "lanes": [
                lane | {"name": SAFE_CLASS, "effect": "repeatable", "worth": 1.0},
                lane | {"name": UNSAFE_CLASS, "effect": "once", "worth": 2.0},
            ],
            "tenants": [{"name": TENANT, "share": 1.0, "quota_per_s": 1000.0}],
            "obligations": obligations,
            "specifics": {
                "stage_cap": list(self.caps),
                "span": int(self.span_s * NS_PER_S),
                "answer_wait": NS_PER_S,
                "free": self.free,
                "votes_to_go": 1,
                "noes_needed": 1,
                "calls_per_s": 10.0,
                "soak": NS_PER_S,
                "vote_life": 6 * NS_PER_S,
                "replace_mode": "replace",
            },
            "limits": {
                "max_attempts": 4,
                "second_copies": False,
                "retry_after": True,
                "max_retry_after": 500 * NS_PER_MS,
                "connect_timeout": 250 * NS_PER_MS,
                "idle_close": int(self.idle_close_s * NS_PER_S),
            },
            "prices": {"handshake": 0.08},
            "registry_mode": "pushed" if self.pushed else "on_request",
            "report": {"columns": ["active"]},
        }


@dataclass(slots=True)
class Configuration:
    """The file that one process of a front reads."""

    name: str
    listen: str
    discovery: str
    platform: str
    seed: str
    known: dict[str, object]
    news: dict[str, object] = field(default_factory=dict)

    def document(self, deployment: Deployment) -> dict[str, object]:
        return {
            "name": self.name,
            "listen": self.listen,
            "discovery": self.discovery,
            "seed": self.seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": deployment.sockets},
            "platform": {"address": self.platform, "news": self.news},
            "known": self.known,
            "settings": deployment.settings(),
        }
