"""``myrtleroad control``: serves versions; publishes, rolls back and confirms them; shows the state of
each front. Exit codes: 0 done, 1 refused or service not reachable, 2 wrong usage."""

from pathlib import Path

import click
import orjson

FOLDER = click.Path(file_okay=False, path_type=Path)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def control() -> None:
    """The control service: versions for fronts, ring by ring."""


@control.command()
@click.argument("folder", type=FOLDER)
@click.option(
    "--listen", default="127.0.0.1:7000", show_default=True, help="Address on which fronts connect."
)
@click.option(
    "--rings",
    default="0.1,0.5,1",
    show_default=True,
    help="Share of all fronts that is reached by the end of each ring.",
)
@click.option(
    "--bad-share",
    default=0.1,
    show_default=True,
    help="Share of a ring that may fail; one more front halts the rollout.",
)
@click.option("--watch", default=5.0, show_default=True, help="Seconds to watch each ring before the next.")
def serve(folder: Path, listen: str, rings: str, bad_share: float, watch: float) -> None:
    """Serve the versions of FOLDER until SIGTERM."""
    import gevent

    from myrtleroad.control import service
    from myrtleroad.control.folder import Folder, StateError
    from myrtleroad.control.rollout_types import RolloutPlan
    from myrtleroad.net.clock import Clock
    from myrtleroad.net.log import Log
    from myrtleroad.net.node_config import parse_address

    try:
        plan = RolloutPlan(tuple(float(share) for share in rings.split(",")), bad_share, watch * 1000)
        listen_address = parse_address(listen)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    if faults := plan.faults():
        raise click.UsageError("; ".join(faults))
    clock = Clock()
    log = Log(clock)
    try:
        control_service = service.ControlService(Folder(folder), plan, clock, log, listen_address)
    except (StateError, OSError) as error:
        raise click.ClickException(str(error)) from None
    gevent.spawn(log.run)
    service.run_until_signal(control_service)
    log.flush()


def call_or_fail(folder: Path, **fields: object) -> dict:
    """Calls the service of a folder. Raises ClickException if it is not reachable or refuses."""
    from myrtleroad.control.operator_calls import NoAnswer, call_service

    try:
        reply = call_service(folder, **fields)
    except OSError as error:
        raise click.ClickException(f"no control service is reachable in {folder}: {error}") from None
    except NoAnswer as error:
        raise click.ClickException(str(error)) from None
    if not reply["ok"]:
        raise click.ClickException(reply["why"])
    return reply


@control.command()
@click.argument("folder", type=FOLDER)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def publish(folder: Path, file: Path) -> None:
    """Publish the version in FILE, ring by ring."""
    reply = call_or_fail(folder, call="publish", text=file.read_text("utf-8", "replace"))
    click.echo(f"version {reply['number']} rolls out")


@control.command()
@click.argument("folder", type=FOLDER)
@click.argument("number", type=int)
def rollback(folder: Path, number: int) -> None:
    """Publish the content of version NUMBER again, under a new number."""
    reply = call_or_fail(folder, call="rollback", to=number)
    click.echo(f"version {reply['number']} brings {number} back")


@control.command()
@click.argument("folder", type=FOLDER)
def confirm(folder: Path) -> None:
    """Confirm the version that is being rolled out, for all fronts. Names the number of fronts that hold it
    as confirmed by now; the others get it as confirmed."""
    reply = call_or_fail(folder, call="confirm")
    if not reply["required"]:
        click.echo(f"version {reply['number']} needs no confirmation; {reply['fronts']} fronts hold it")
        return
    click.echo(f"version {reply['number']} confirmed to {reply['fronts']} fronts")
    for name in reply["waiting"]:
        click.echo(f"  {name} has not acknowledged yet; it is told again when it connects")


@control.command()
@click.argument("folder", type=FOLDER)
@JSON
def status(folder: Path, as_json: bool) -> None:
    """Show the rollout and the state of each front."""
    reply = call_or_fail(folder, call="status")
    if as_json:
        click.echo(orjson.dumps(reply, option=orjson.OPT_INDENT_2).decode())
        return
    ring = f", ring {reply['ring']} of {reply['rings']}" if reply["ring"] else ""
    click.echo(f"version {reply['number']} of epoch {reply['epoch']}: {reply['phase']}{ring}")
    if reply["newest"] > reply["number"]:
        click.echo(f"  version {reply['newest']} was not confirmed in time; this one goes on")
    if reply["confirmation"] == "confirmed":
        click.echo("  confirmed")
    if reply["confirm_left_ms"] is not None:
        click.echo(f"  waits for its confirmation, {reply['confirm_left_ms'] / 1000:.0f} s left")
    if reply["why"]:
        click.echo(f"  {reply['why']}")
    for front in reply["fronts"]:
        presence = "here" if front["here"] else "away"
        why = f" ({front['code']}: {front['text']})" if front["code"] else ""
        click.echo(f"  {front['name']}: {presence}, holds {front['holds'][1]}, {front['stand']}{why}")
