"""``myrtleroad config``: checks, compares and shows versions. Exit codes: 0 no faults or differences, 1
faults or differences, 2 wrong usage (from click)."""

from pathlib import Path as File

import click
import orjson

from myrtleroad.config import entries, rules, version
from myrtleroad.config.document import Fault
from myrtleroad.config.scanner import MAX_DOCUMENT_BYTES


def read_bounded(file: str) -> bytes:
    """Reads at most one byte more than a document may have, so that an endless file is not read as a
    whole."""
    with File(file).open("rb") as opened:
        return opened.read(MAX_DOCUMENT_BYTES + 1)


def read_front_limits(config_file: str | None) -> rules.FrontLimits | None:
    """What versions are checked against at a front with this node configuration; None if none is given."""
    if config_file is None:
        return None
    from myrtleroad.net import node_config

    try:
        return node_config.read_node_config(config_file).limits()
    except node_config.ConfigError as error:
        raise click.ClickException(str(error)) from None


def fault_fields(fault: Fault, file: str) -> dict:
    """The fields of a fault in JSON output."""
    return {"file": file, "line": fault.line, "column": fault.column, "code": fault.code, "text": fault.text}


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


FILE = click.Path(exists=True, dir_okay=False, readable=True)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
AGAINST = click.option("--against", type=FILE, help="Check against the limits in this NODE_CONFIG file.")


@click.group()
def config() -> None:
    """Check, compare and show configuration versions."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@AGAINST
@JSON
@click.pass_context
def check(ctx: click.Context, files: tuple[str, ...], against: str | None, as_json: bool) -> None:
    """Report every fault of each FILE. Exit code 1 if there is any."""
    front_limits, rows = read_front_limits(against), []
    for file in files:
        parsed = version.read(read_bounded(file), front_limits)
        rows += [(fault, file) for fault in parsed.faults]
        if not as_json and not parsed.faults:
            click.echo(f"{file}: version {parsed.number}, {len(parsed.entries)} entries, fine")
    if as_json:
        print_json([fault_fields(fault, file) for fault, file in rows])
    else:
        for fault, file in rows:
            click.echo(fault.describe(file))
    ctx.exit(1 if rows else 0)


def read_valid(file: str) -> version.Version:
    """Reads a version; raises ClickException with its first faults if it is not valid."""
    parsed = version.read(read_bounded(file))
    if parsed.faults:
        lines = "\n".join(fault.describe(file) for fault in parsed.faults[:20])
        raise click.ClickException(f"the version is not valid:\n{lines}")
    return parsed


@config.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@JSON
@click.pass_context
def diff(ctx: click.Context, old: str, new: str, as_json: bool) -> None:
    """Show what NEW sets and drops compared with OLD, regardless of order and layout. Exit code 1 if they
    differ."""
    old_version, new_version = read_valid(old), read_valid(new)
    delta = entries.diff(old_version.entries, new_version.entries)
    if as_json:
        print_json(
            {
                "set": [
                    {"path": path, "was": old_version.entries.get(path), "now": value}
                    for path, value in sorted(delta.changed.items())
                ],
                "dropped": [{"path": path, "was": old_version.entries[path]} for path in delta.removed],
            }
        )
    else:
        for path, value in sorted(delta.changed.items()):
            sign, previous = (
                ("~", f"{old_version.entries[path]!r} -> ") if path in old_version.entries else ("+", "")
            )
            click.echo(f"{sign} {' '.join(path)}: {previous}{value!r}")
        for path in delta.removed:
            click.echo(f"- {' '.join(path)}: {old_version.entries[path]!r}")
    ctx.exit(1 if len(delta) else 0)


@config.command()
@click.argument("file", type=FILE)
@click.option("--against", type=FILE, required=True, help="The NODE_CONFIG file of a front.")
@JSON
def show(file: str, against: str, as_json: bool) -> None:
    """Show the values that would be in effect at a front, and where each comes from."""
    front_limits, parsed = read_front_limits(against), read_valid(file)
    limits = rules.effective_limits(parsed.entries, front_limits)
    rows = [
        (kind, name, setting, effective_value)
        for kind, group in (("route", limits.routes), ("tenant", limits.tenants))
        for name, values in group.items()
        for setting, effective_value in values.items()
    ]
    rows.append(("trial", "", "most-share", limits.trial_share))
    shown = []
    for kind, name, setting, effective_value in rows:
        path = (kind, name, setting) if name else (kind, setting)
        line, column = parsed.positions.get(path, (0, 0))
        origin = f"{file}:{line}:{column}" if effective_value.source == "version" else "told"
        value = effective_value.value if effective_value.value != float("inf") else None
        shown.append({"path": " ".join(path), "value": value, "from": origin})
    shown += [
        {"path": f"aside machine {server}", "value": True, "from": file}
        for server in sorted(limits.drained_servers)
    ]
    shown += [
        {"path": f"aside zone {zone}", "value": True, "from": file} for zone in sorted(limits.drained_zones)
    ]
    if as_json:
        print_json(shown)
        return
    for row in shown:
        value = "no bound" if row["value"] is None else row["value"]
        click.echo(f"{row['path']}: {value} ({row['from']})")
