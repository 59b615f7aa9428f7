"""The faults of a run, drawn from its seed.

Each fault is a function that schedules calls on a run, with details drawn from a random source, and names the
rule that it is most likely to violate. The name of the function is the name of the fault: it is printed and
given to ``--fault``."""

import signal
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from soak.deployment import FIRST_BUILD
from soak.run import SoakRun
from soak.servers import ServerMode
from soak.shim import ERRNOS, SystemCall

FaultPlan = Callable[[SoakRun, Random, float], None]
OUTAGE_RANGE_S = (1.0, 9.0)  # shortest and longest
SHORT_OUTAGE_RANGE_S = (0.3, 2.0)


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault by its printed name."""

    name: str
    targeted_rule: str
    plan: FaultPlan  # schedules the fault at a time of the run, in seconds


FAULTS: list[Fault] = []


def register_fault(targeted_rule: str) -> Callable[[FaultPlan], FaultPlan]:
    """Adds the decorated function to ``FAULTS`` under its own name."""

    def register(plan: FaultPlan) -> FaultPlan:
        FAULTS.append(Fault(plan.__name__, targeted_rule, plan))
        return plan

    return register


def some_servers(run: SoakRun, random: Random, share: float) -> list[str]:
    """Draws the names of some servers: at least one, at most about this share, never all of several."""
    names = sorted(run.servers)
    max_count = max(1, min(len(names) - 1, int(share * len(names))))
    return random.sample(names, random.randint(1, max_count))


def stop_and_restart(run: SoakRun, index: int, seconds: float) -> None:
    """Sends SIGTERM to a front, SIGKILL after this time if it still runs, then starts a new process.

    The protocol allows SIGKILL no earlier than 0.7 s after the longer of 3 s and the deadline of requests."""
    front = run.fronts[index]
    front.signal(signal.SIGTERM)

    def kill_and_restart() -> None:
        front.signal(signal.SIGKILL)
        front.wait_for_exit(5.0)
        front.record_process()
        run.restart_front(front)

    run.call_later(seconds, kill_and_restart)


# --- processes ---


@register_fault("lost")
def planned_restart(run: SoakRun, random: Random, start_s: float) -> None:
    """Stops and restarts one front, with SIGKILL at the earliest time that the protocol allows."""
    kill_delay_s = max(3.0, run.deployment.deadline_s) + 0.7
    run.schedule_fault(start_s, stop_and_restart, run, random.randrange(len(run.fronts)), kill_delay_s)


@register_fault("lost")
def signals_in_series(run: SoakRun, random: Random, start_s: float) -> None:
    """Sends one front several SIGHUP and SIGUSR1 within 0.3 s."""
    front = random.choice(run.fronts)
    for _ in range(random.randint(3, 8)):
        signal_number = random.choice((signal.SIGHUP, signal.SIGUSR1))
        run.schedule_fault(start_s + random.uniform(0.0, 0.3), front.signal, signal_number)


@register_fault("crash")
def signals_before_ready(run: SoakRun, random: Random, start_s: float) -> None:
    """Restarts one front and sends it SIGHUP and SIGUSR1 while it starts."""
    front = random.choice(run.fronts)

    def kill_and_restart() -> None:
        front.kill()
        run.restart_front(front)

    run.schedule_fault(start_s, kill_and_restart)
    for _ in range(4):
        run.schedule_fault(
            start_s + random.uniform(0.05, 1.0), front.signal, random.choice((signal.SIGHUP, signal.SIGUSR1))
        )


@register_fault("lost")
def outright_kill(run: SoakRun, random: Random, start_s: float) -> None:
    """Kills most fronts with SIGKILL at once and restarts them."""
    for front in random.sample(run.fronts, max(1, int(0.7 * len(run.fronts)))):

        def kill_and_restart(front=front) -> None:
            front.kill()
            run.restart_front(front)

        run.schedule_fault(start_s, kill_and_restart)


@register_fault("drain")
def process_held(run: SoakRun, random: Random, start_s: float) -> None:
    """Stops one front for moments with SIGSTOP, once a second."""
    front = random.choice(run.fronts)
    for second in range(5):
        run.schedule_fault(start_s + second, front.signal, signal.SIGSTOP)
        run.schedule_fault(start_s + second + random.uniform(0.02, 0.15), front.signal, signal.SIGCONT)


@register_fault("drain")
def moved_addresses(run: SoakRun, random: Random, start_s: float) -> None:
    """Moves discovery and the platform to new addresses for one front, once or three times within 50 ms."""
    front = random.choice(run.fronts)

    def move_addresses() -> None:
        run.write_front_config(front)
        front.signal(signal.SIGHUP)

    for n in range(random.choice((1, 3))):
        run.schedule_fault(start_s + 0.025 * n, move_addresses)


# --- discovery ---


@register_fault("drain")
def discovery_down(run: SoakRun, random: Random, start_s: float) -> None:
    """Takes discovery down for a while."""
    run.schedule_fault(start_s, run.discovery.go_down)
    run.schedule_fault(start_s + random.uniform(*OUTAGE_RANGE_S), run.discovery.recover)


@register_fault("drain")
def discovery_crowded(run: SoakRun, random: Random, start_s: float) -> None:
    """Resets the watches and has discovery reject calls for a while."""

    def fill_queue(seconds: float) -> None:
        run.discovery.fill_queue(seconds)

    run.schedule_fault(start_s, run.discovery.reset_watches)
    run.schedule_fault(start_s, fill_queue, random.uniform(*OUTAGE_RANGE_S))


@register_fault("drain")
def watches_reset(run: SoakRun, random: Random, start_s: float) -> None:
    """Resets all watches."""
    run.schedule_fault(start_s, run.discovery.reset_watches)


@register_fault("drain")
def watches_silent(run: SoakRun, random: Random, start_s: float) -> None:
    """Keeps open watches connected, but sends nothing more on them."""
    run.schedule_fault(start_s, run.discovery.silence_watches)


@register_fault("drain")
def lists_indented(run: SoakRun, random: Random, start_s: float) -> None:
    """Sends server lists as JSON over several lines, then drains a server."""
    run.schedule_fault(start_s, setattr, run.discovery, "indented_json", True)
    run.schedule_fault(start_s + 1.0, run.discovery.reset_watches)
    run.schedule_fault(start_s + 3.0, run.drain_servers, sorted(run.servers)[-1])


@register_fault("drain")
def servers_drain(run: SoakRun, random: Random, start_s: float) -> None:
    """Drains some servers and restarts them."""
    names = some_servers(run, random, 0.5)
    run.schedule_fault(start_s, run.drain_servers, *names)
    run.schedule_fault(start_s + random.uniform(2.0, 5.0), run.restart_servers, FIRST_BUILD, *names)


@register_fault("failback")
def dozens_start_cold(run: SoakRun, random: Random, start_s: float) -> None:
    """Drains up to 60 % of the servers and restarts them at the same time."""
    names = some_servers(run, random, 0.6)
    run.schedule_fault(start_s, run.drain_servers, *names)
    run.schedule_fault(start_s + 1.5, run.restart_servers, FIRST_BUILD, *names)


# --- the platform ---


@register_fault("exposure")
def trial_and_back(run: SoakRun, random: Random, start_s: float) -> None:
    """Puts a new build on trial, starts servers with it, then rolls it back."""
    names, build, caps = some_servers(run, random, 0.3), FIRST_BUILD + 1, run.deployment.stage_caps
    run.schedule_fault(start_s, run.platform.set_stage, build, 0, "trial", caps[0])
    run.schedule_fault(start_s, run.drain_servers, *names)
    run.schedule_fault(start_s + 1.2, run.restart_servers, build, *names)
    run.schedule_fault(start_s + 4.0, run.platform.set_stage, build, 0, "rolling_back", 0.0)
    run.schedule_fault(start_s + 4.5, run.drain_servers, *names)
    run.schedule_fault(start_s + 6.0, run.restart_servers, FIRST_BUILD, *names)
    run.schedule_fault(start_s + 6.5, run.platform.set_stage, build, 0, "withdrawn", 0.0)


@register_fault("exposure")
def bulletins_reset(run: SoakRun, random: Random, start_s: float) -> None:
    """Resets the streams of stage updates."""
    run.schedule_fault(start_s, run.platform.reset_update_streams)


# --- servers ---


def server_mode_plan(mode: ServerMode, share: float, seconds: tuple[float, float]) -> FaultPlan:
    """Returns a plan that sets the mode of some servers for a time drawn from the range ``seconds``."""

    def plan(run: SoakRun, random: Random, start_s: float) -> None:
        names = some_servers(run, random, share)
        run.schedule_fault(start_s, run.set_server_mode, mode, *names)
        run.schedule_fault(
            start_s + random.uniform(*seconds), run.set_server_mode, ServerMode.SERVING, *names
        )

    return plan


@register_fault("lost")
def servers_hang(run: SoakRun, random: Random, start_s: float) -> None:
    """Lets some servers accept requests without responding."""
    server_mode_plan(ServerMode.HUNG, 0.5, OUTAGE_RANGE_S)(run, random, start_s)


@register_fault("duplicate")
def servers_reset(run: SoakRun, random: Random, start_s: float) -> None:
    """Lets some servers execute requests and reset the connections."""
    server_mode_plan(ServerMode.RESETTING, 0.5, SHORT_OUTAGE_RANGE_S)(run, random, start_s)


@register_fault("lost")
def servers_down(run: SoakRun, random: Random, start_s: float) -> None:
    """Lets some servers refuse connections."""
    server_mode_plan(ServerMode.DOWN, 0.5, OUTAGE_RANGE_S)(run, random, start_s)


@register_fault("duplicate")
def idle_connections_forgotten(run: SoakRun, random: Random, start_s: float) -> None:
    """Resets all connections of the servers, idle ones included."""

    def drop_all_connections() -> None:
        for server in run.servers.values():
            server.drop_connections()

    run.schedule_fault(start_s, drop_all_connections)


# --- clients ---


@register_fault("lost")
def clients_leave_early(run: SoakRun, random: Random, start_s: float) -> None:
    """Lets 30 % of the clients leave before their deadline."""
    run.schedule_fault(start_s, run.set_leave_share, 0.3)
    run.schedule_fault(start_s + 4.0, run.set_leave_share, 0.0)


@register_fault("lost")
def clients_crowd(run: SoakRun, random: Random, start_s: float) -> None:
    """Multiplies the rate of requests by four for a while."""
    run.schedule_fault(start_s, run.set_rate_factor, 4.0)
    run.schedule_fault(start_s + random.uniform(1.0, 3.0), run.set_rate_factor, 1.0)


@register_fault("lost")
def clients_stop_in_the_middle(run: SoakRun, random: Random, start_s: float) -> None:
    """Sends each front a request that stops in the middle."""
    for front in run.fronts:
        run.schedule_fault(start_s, run.start_partial_request, front)


# --- system calls and clocks ---


def failing_call_plan(call: SystemCall) -> FaultPlan:
    """Returns a plan, named for the call, that makes a share of one system call fail on all fronts."""

    def plan(run: SoakRun, random: Random, start_s: float) -> None:
        error, per_mille = random.choice(ERRNOS[call]), random.choice((50, 200, 1000))
        for front in run.fronts:
            run.schedule_fault(start_s, front.shim.fail_call, call, error, per_mille)
            run.schedule_fault(start_s + random.uniform(*SHORT_OUTAGE_RANGE_S), front.shim.clear_faults)

    plan.__name__ = f"{call.name.lower()}_fails"
    return plan


SHIMMED_CALLS = (
    (SystemCall.ACCEPT, "lost"),
    (SystemCall.SOCKET, "lost"),
    (SystemCall.CONNECT, "duplicate"),
    (SystemCall.SETSOCKOPT, "lost"),
    (SystemCall.RECEIVE, "duplicate"),
    (SystemCall.SEND, "duplicate"),
    (SystemCall.LOG, "crash"),
    (SystemCall.POLL, "drain"),
    (SystemCall.EPOLL, "crash"),
)
for shimmed, rule in SHIMMED_CALLS:
    register_fault(rule)(failing_call_plan(shimmed))


@register_fault("duplicate")
def short_reads_and_writes(run: SoakRun, random: Random, start_s: float) -> None:
    """Limits 20 % of the reads and writes on sockets to one byte."""
    for front in run.fronts:
        run.schedule_fault(start_s, front.shim.shorten_transfers, 200)
        run.schedule_fault(start_s + random.uniform(*SHORT_OUTAGE_RANGE_S), front.shim.clear_faults)


@register_fault("failback")
def wall_clock_steps(run: SoakRun, random: Random, start_s: float) -> None:
    """Steps the wall clock of all fronts by seconds or an hour, either way."""
    offset_s = random.choice((-3600.0, -5.0, 5.0, 3600.0))
    for front in run.fronts:
        run.schedule_fault(start_s, front.shim.step_wall_clock, offset_s)


@register_fault("drain")
def held_after_reading_the_clock(run: SoakRun, random: Random, start_s: float) -> None:
    """Pauses the fronts for 150 ms after 0.2 % of their clock reads."""
    for front in run.fronts:
        run.schedule_fault(start_s, front.shim.pause_after_clock_read, 150, 2)
        run.schedule_fault(start_s + 2.0, front.shim.clear_faults)
