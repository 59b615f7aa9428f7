"""``myrtleroad control``: serve versions, publish, roll back, confirm, say who stands where. Exit codes:
0 done, 1 refused or not to be had, 2 the command itself was wrong."""

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
@click.option("--listen", default="127.0.0.1:7000", show_default=True, help="Where fronts connect.")
@click.option("--rings", default="0.1,0.5,1", show_default=True, help="Share of fronts by each ring's end.")
@click.option("--bad-share", default=0.1, show_default=True, help="Of a ring that may fail; one more halts.")
@click.option("--watch", default=5.0, show_default=True, help="Seconds that a ring is watched for.")
def serve(folder: Path, listen: str, rings: str, bad_share: float, watch: float) -> None:
    """Serve the versions of FOLDER until SIGTERM."""
    import gevent

    from myrtleroad.control import service
    from myrtleroad.control.folder import Folder, StateError
    from myrtleroad.control.rollout import RolloutPlan
    from myrtleroad.net.clock import Clock
    from myrtleroad.net.log import Log
    from myrtleroad.net.node_config import parse_address

    try:
        plan = RolloutPlan(tuple(float(r) for r in rings.split(",")), bad_share, watch * 1000)
        at = parse_address(listen)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    if faults := plan.faults():
        raise click.UsageError("; ".join(faults))
    clock = Clock()
    log = Log(clock)
    try:
        made = service.ControlService(Folder(folder), plan, clock, log, at)
    except (StateError, OSError) as error:
        raise click.ClickException(str(error)) from None
    gevent.spawn(log.run)
    service.run_until_signal(made)
    log.flush()


def call_or_fail(folder: Path, **words: object) -> dict:
    from myrtleroad.control.service import call_service

    try:
        reply = call_service(folder, **words)
    except OSError as error:
        raise click.ClickException(f"no control service answers over {folder}: {error}") from None
    if not reply["ok"]:
        raise click.ClickException(reply["why"])
    return reply


@control.command()
@click.argument("folder", type=FOLDER)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def publish(folder: Path, file: Path) -> None:
    """Hand FILE out, ring by ring."""
    reply = call_or_fail(folder, call="publish", text=file.read_text("utf-8", "replace"))
    click.echo(f"version {reply['number']} rolls out")


@control.command()
@click.argument("folder", type=FOLDER)
@click.argument("number", type=int)
def rollback(folder: Path, number: int) -> None:
    """Hand the content of version NUMBER out again, under a new number."""
    reply = call_or_fail(folder, call="rollback", to=number)
    click.echo(f"version {reply['number']} brings {number} back")


@control.command()
@click.argument("folder", type=FOLDER)
def confirm(folder: Path) -> None:
    """Stand by the version that is being rolled out, at every front that holds it."""
    reply = call_or_fail(folder, call="confirm")
    click.echo(f"version {reply['number']} confirmed to {reply['fronts']} fronts")


@control.command()
@click.argument("folder", type=FOLDER)
@JSON
def status(folder: Path, as_json: bool) -> None:
    """Which front stands where."""
    reply = call_or_fail(folder, call="status")
    if as_json:
        click.echo(orjson.dumps(reply, option=orjson.OPT_INDENT_2).decode())
        return
    ring = f", ring {reply['ring']} of {reply['rings']}" if reply["ring"] else ""
    click.echo(f"version {reply['number']} of epoch {reply['epoch']}: {reply['phase']}{ring}")
    if reply["why"]:
        click.echo(f"  {reply['why']}")
    for f in reply["fronts"]:
        here = "here" if f["here"] else "away"
        why = f" ({f['code']}: {f['text']})" if f["code"] else ""
        click.echo(f"  {f['name']}: {here}, holds {f['holds'][1]}, {f['stand']}{why}")
