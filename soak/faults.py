"""What goes wrong in a run, drawn from its seed: each fault is one function of the play and a random source,
and says which rule it presses on most."""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from soak.deployment import FIRST_BUILD
from soak.play import Play
from soak.servers import Mode
from soak.shim import ERRORS, Call

Act = Callable[[Play, Random, float], None]
OUTAGE_S = (1.0, 9.0)
SHORT_S = (0.3, 2.0)


@dataclass(slots=True, frozen=True)
class Fault:
    name: str
    presses_on: str  # the rule
    plan: Act  # sets what happens from a moment of the play on


FAULTS: list[Fault] = []


def fault(presses_on: str) -> Callable[[Act], Act]:
    def keep(plan: Act) -> Act:
        FAULTS.append(Fault(plan.__name__, presses_on, plan))
        return plan

    return keep


def some(play: Play, random: Random, share: float) -> list[str]:
    """Names of some servers, at least one and never all."""
    names = sorted(play.servers)
    most = max(1, min(len(names) - 1, int(share * len(names))))
    return random.sample(names, random.randint(1, most))


def stop_and_restart(play: Play, index: int, seconds: float) -> None:
    """SIGTERM, SIGKILL at the page's earliest if it still runs, then a new process."""
    front = play.fronts[index]
    front.signal(signal.SIGTERM)

    def end() -> None:
        front.signal(signal.SIGKILL)
        front.wait(5.0)
        front.note_end()
        play.restart(front)

    play.later(seconds, end)


# --- processes ---


@fault("lost")
def planned_restart(play: Play, random: Random, at: float) -> None:
    longest = max(3.0, play.deployment.deadline_s) + 0.7
    play.after(at, stop_and_restart, play, random.randrange(len(play.fronts)), longest)


@fault("lost")
def signals_in_series(play: Play, random: Random, at: float) -> None:
    front = random.choice(play.fronts)
    for _ in range(random.randint(3, 8)):
        number = random.choice((signal.SIGHUP, signal.SIGUSR1))
        play.after(at + random.uniform(0.0, 0.3), front.signal, number)


@fault("crash")
def signals_before_ready(play: Play, random: Random, at: float) -> None:
    front = random.choice(play.fronts)

    def begin() -> None:
        front.kill()
        play.restart(front)

    play.after(at, begin)
    for _ in range(4):
        play.after(
            at + random.uniform(0.05, 1.0), front.signal, random.choice((signal.SIGHUP, signal.SIGUSR1))
        )


@fault("lost")
def outright_kill(play: Play, random: Random, at: float) -> None:
    for front in random.sample(play.fronts, max(1, int(0.7 * len(play.fronts)))):

        def again(front=front) -> None:
            front.kill()
            play.restart(front)

        play.after(at, again)


@fault("drain")
def process_held(play: Play, random: Random, at: float) -> None:
    front = random.choice(play.fronts)
    for n in range(5):
        play.after(at + n, front.signal, signal.SIGSTOP)
        play.after(at + n + random.uniform(0.02, 0.15), front.signal, signal.SIGCONT)


@fault("drain")
def moved_addresses(play: Play, random: Random, at: float) -> None:
    front = random.choice(play.fronts)

    def move() -> None:
        play.configure(front)
        front.signal(signal.SIGHUP)

    for n in range(random.choice((1, 3))):
        play.after(at + 0.025 * n, move)


# --- discovery ---


@fault("drain")
def discovery_down(play: Play, random: Random, at: float) -> None:
    play.after(at, play.discovery.go_down)
    play.after(at + random.uniform(*OUTAGE_S), play.discovery.come_back)


@fault("drain")
def discovery_crowded(play: Play, random: Random, at: float) -> None:
    def crowd(seconds: float) -> None:
        play.discovery.crowd(seconds)

    play.after(at, play.discovery.reset_watches)
    play.after(at, crowd, random.uniform(*OUTAGE_S))


@fault("drain")
def watches_reset(play: Play, random: Random, at: float) -> None:
    play.after(at, play.discovery.reset_watches)


@fault("drain")
def watches_silent(play: Play, random: Random, at: float) -> None:
    play.after(at, play.discovery.fall_silent)


@fault("drain")
def lists_indented(play: Play, random: Random, at: float) -> None:
    play.after(at, setattr, play.discovery, "indented", True)
    play.after(at + 1.0, play.discovery.reset_watches)
    play.after(at + 3.0, play.drain, sorted(play.servers)[-1])


@fault("drain")
def servers_drain(play: Play, random: Random, at: float) -> None:
    names = some(play, random, 0.5)
    play.after(at, play.drain, *names)
    play.after(at + random.uniform(2.0, 5.0), play.bring_back, FIRST_BUILD, *names)


@fault("failback")
def dozens_start_cold(play: Play, random: Random, at: float) -> None:
    names = some(play, random, 0.6)
    play.after(at, play.drain, *names)
    play.after(at + 1.5, play.bring_back, FIRST_BUILD, *names)


# --- the platform ---


@fault("exposure")
def trial_and_back(play: Play, random: Random, at: float) -> None:
    names, build, caps = some(play, random, 0.3), FIRST_BUILD + 1, play.deployment.caps
    play.after(at, play.platform.move, build, 0, "trial", caps[0])
    play.after(at, play.drain, *names)
    play.after(at + 1.2, play.bring_back, build, *names)
    play.after(at + 4.0, play.platform.move, build, 0, "rolling_back", 0.0)
    play.after(at + 4.5, play.drain, *names)
    play.after(at + 6.0, play.bring_back, FIRST_BUILD, *names)
    play.after(at + 6.5, play.platform.move, build, 0, "withdrawn", 0.0)


@fault("exposure")
def bulletins_reset(play: Play, random: Random, at: float) -> None:
    play.after(at, play.platform.reset_bulletins)


# --- servers ---


def in_mode(mode: Mode, share: float, seconds: tuple[float, float]) -> Act:
    def plan(play: Play, random: Random, at: float) -> None:
        names = some(play, random, share)
        play.after(at, play.set_mode, mode, *names)
        play.after(at + random.uniform(*seconds), play.set_mode, Mode.SERVING, *names)

    return plan


@fault("lost")
def servers_hang(play: Play, random: Random, at: float) -> None:
    in_mode(Mode.HUNG, 0.5, OUTAGE_S)(play, random, at)


@fault("duplicate")
def servers_reset(play: Play, random: Random, at: float) -> None:
    in_mode(Mode.RESETTING, 0.5, SHORT_S)(play, random, at)


@fault("lost")
def servers_down(play: Play, random: Random, at: float) -> None:
    in_mode(Mode.DOWN, 0.5, OUTAGE_S)(play, random, at)


@fault("duplicate")
def idle_connections_forgotten(play: Play, random: Random, at: float) -> None:
    def forget() -> None:
        for server in play.servers.values():
            server.drop_connections()

    play.after(at, forget)


# --- clients ---


@fault("lost")
def clients_leave_early(play: Play, random: Random, at: float) -> None:
    play.after(at, play.set_leaving, 0.3)
    play.after(at + 4.0, play.set_leaving, 0.0)


@fault("lost")
def clients_crowd(play: Play, random: Random, at: float) -> None:
    play.after(at, play.set_crowd, 4.0)
    play.after(at + random.uniform(1.0, 3.0), play.set_crowd, 1.0)


@fault("lost")
def clients_stop_in_the_middle(play: Play, random: Random, at: float) -> None:
    for front in play.fronts:
        play.after(at, play.half_request, front)


# --- system calls and clocks ---


def call_fails(call: Call) -> Act:
    def plan(play: Play, random: Random, at: float) -> None:
        error, per_mille = random.choice(ERRORS[call]), random.choice((50, 200, 1000))
        for front in play.fronts:
            play.after(at, front.shim.fail, call, error, per_mille)
            play.after(at + random.uniform(*SHORT_S), front.shim.mend)

    plan.__name__ = f"{call.name.lower()}_fails"
    return plan


SHIMMED = (
    (Call.ACCEPT, "lost"),
    (Call.SOCKET, "lost"),
    (Call.CONNECT, "duplicate"),
    (Call.SETSOCKOPT, "lost"),
    (Call.RECEIVE, "duplicate"),
    (Call.SEND, "duplicate"),
    (Call.LOG, "crash"),
    (Call.POLL, "drain"),
    (Call.EPOLL, "crash"),
)
for shimmed, rule in SHIMMED:
    fault(rule)(call_fails(shimmed))


@fault("duplicate")
def short_reads_and_writes(play: Play, random: Random, at: float) -> None:
    for front in play.fronts:
        play.after(at, front.shim.shorten, 200)
        play.after(at + random.uniform(*SHORT_S), front.shim.mend)


@fault("failback")
def wall_clock_steps(play: Play, random: Random, at: float) -> None:
    step = random.choice((-3600.0, -5.0, 5.0, 3600.0))
    for front in play.fronts:
        play.after(at, front.shim.step_wall_clock, step)


@fault("drain")
def held_after_reading_the_clock(play: Play, random: Random, at: float) -> None:
    for front in play.fronts:
        play.after(at, front.shim.hold_after_clock, 150, 2)
        play.after(at + 2.0, front.shim.mend)
