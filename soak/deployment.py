"""Settings and node configuration of the fronts of a soak, in the format of the deployment specification."""

from dataclasses import dataclass, field

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
SAFE_ROUTE, UNSAFE_ROUTE = "lookup", "booking"
TENANT = "acme"
FIRST_BUILD = 41


@dataclass(slots=True, frozen=True)
class Deployment:
    """One deployment: its size, and the settings that the rules are checked by. Times are in seconds."""

    fronts: int = 3
    servers: int = 6
    lists_pushed: bool = False  # otherwise the fronts ask discovery for the server list
    drain_grace_s: float = 0.25
    max_poll_interval_s: float = 10.0
    deadline_s: float = 2.0  # of each request
    slow_start_s: float = 2.0
    slow_start_min_share: float = 0.4
    overload_factor: float = 2.0
    overload_window_s: float = 2.0
    server_rate_per_s: float = 60.0  # capacity of one server after its slow start
    stage_caps: tuple[float, ...] = (0.15, 0.5, 1.0)
    exposure_window_s: float = 2.0
    free_attempts: float = 1.0
    max_sockets: int = 384
    memory_mb: int = 192
    idle_timeout_s: float = 15.0

    def settings(self) -> dict[str, object]:
        """Returns the settings of a front for its node configuration. Durations are in nanoseconds."""
        deadline_ns = int(self.deadline_s * NS_PER_S)
        route = {
            "dedup_window": deadline_ns,
            "on_time": deadline_ns // 3,
            "give_up": deadline_ns,
            "late_worth": 0.1,
        }
        server_rules = {
            "drain_grace": int(self.drain_grace_s * NS_PER_S),
            "cold": int(self.slow_start_s * NS_PER_S),
            "cold_share": self.slow_start_min_share,
            "overload_factor": self.overload_factor,
            "fall": int(self.overload_window_s * NS_PER_S),
        }
        if not self.lists_pushed:
            server_rules["ask_every"] = int(self.max_poll_interval_s * NS_PER_S)
        return {
            "balancers": self.fronts,
            "zone": 0,
            "zones": ["here"],
            "kinds": ["small"],
            "lanes": [
                route | {"name": SAFE_ROUTE, "effect": "repeatable", "worth": 1.0},
                route | {"name": UNSAFE_ROUTE, "effect": "once", "worth": 2.0},
            ],
            "tenants": [{"name": TENANT, "share": 1.0, "quota_per_s": 1000.0}],
            "obligations": server_rules,
            "specifics": {
                "stage_cap": list(self.stage_caps),
                "span": int(self.exposure_window_s * NS_PER_S),
                "answer_wait": NS_PER_S,
                "free": self.free_attempts,
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
                "idle_close": int(self.idle_timeout_s * NS_PER_S),
            },
            "prices": {"handshake": 0.08},
            "registry_mode": "pushed" if self.lists_pushed else "on_request",
            "report": {"columns": ["active"]},
        }


@dataclass(slots=True)
class NodeConfig:
    """The node configuration that one process of a front reads."""

    name: str
    listen_address: str
    discovery_address: str
    platform_address: str
    seed: str
    server_list: dict[str, object]
    stage_update: dict[str, object] = field(default_factory=dict)

    def document(self, deployment: Deployment) -> dict[str, object]:
        """Returns the configuration as the JSON document that NODE_CONFIG points to."""
        return {
            "name": self.name,
            "listen": self.listen_address,
            "discovery": self.discovery_address,
            "seed": self.seed,
            "limits": {"cores": 1.0, "memory_mb": deployment.memory_mb, "sockets": deployment.max_sockets},
            "platform": {"address": self.platform_address, "news": self.stage_update},
            "known": self.server_list,
            "settings": deployment.settings(),
        }
