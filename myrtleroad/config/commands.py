"""``myrtleroad config``: check, compare and show versions. Exit codes: 0 fine, 1 something is at fault
or differs, 2 the command itself was wrong (click's own)."""

from pathlib import Path as File

import click
import orjson

from myrtleroad.config import entries, rules, version
from myrtleroad.config.document import Fault
from myrtleroad.config.scanner import MAX_DOCUMENT_BYTES


def read_bounded(file: str) -> bytes:
    """A file's bytes, one more than a document may have at most: a file without end is not read whole."""
    with File(file).open("rb") as f:
        return f.read(MAX_DOCUMENT_BYTES + 1)


def read_front_limits(config_file: str | None) -> rules.FrontLimits | None:
    """What a front with this configuration is told; None where none is named."""
    if config_file is None:
        return None
    from myrtleroad.net import node_config

    try:
        return node_config.read_node_config(config_file).limits()
    except node_config.ConfigError as fault:
        raise click.ClickException(str(fault)) from None


def fault_fields(fault: Fault, file: str) -> dict:
    return {"file": file, "line": fault.line, "column": fault.column, "code": fault.code, "text": fault.text}


def print_json(value: object) -> None:
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


FILE = click.Path(exists=True, dir_okay=False, readable=True)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
AGAINST = click.option("--against", type=FILE, help="Hold it against what this NODE_CONFIG tells a front.")


@click.group()
def config() -> None:
    """Versions of what operators set."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@AGAINST
@JSON
@click.pass_context
def check(ctx: click.Context, files: tuple[str, ...], against: str | None, as_json: bool) -> None:
    """Say everything that is wrong with each file. Exit code 1 where anything is."""
    told, rows = read_front_limits(against), []
    for file in files:
        found = version.read(read_bounded(file), told)
        rows += [(f, file) for f in found.faults]
        if not as_json and not found.faults:
            click.echo(f"{file}: version {found.number}, {len(found.entries)} entries, fine")
    if as_json:
        print_json([fault_fields(f, file) for f, file in rows])
    else:
        for f, file in rows:
            click.echo(f.describe(file))
    ctx.exit(1 if rows else 0)


def read_valid(file: str) -> version.Version:
    found = version.read(read_bounded(file))
    if found.faults:
        lines = "\n".join(f.describe(file) for f in found.faults[:20])
        raise click.ClickException(f"not a sound version:\n{lines}")
    return found


@config.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@JSON
@click.pass_context
def diff(ctx: click.Context, old: str, new: str, as_json: bool) -> None:
    """What NEW sets and drops against OLD, whatever their order and layout. Exit code 1 where they differ."""
    a, b = read_valid(old), read_valid(new)
    delta = entries.diff(a.entries, b.entries)
    if as_json:
        print_json(
            {
                "set": [
                    {"path": p, "was": a.entries.get(p), "now": v} for p, v in sorted(delta.changed.items())
                ],
                "dropped": [{"path": p, "was": a.entries[p]} for p in delta.removed],
            }
        )
    else:
        for path, value in sorted(delta.changed.items()):
            mark, was = ("~", f"{a.entries[path]!r} -> ") if path in a.entries else ("+", "")
            click.echo(f"{mark} {' '.join(path)}: {was}{value!r}")
        for path in delta.removed:
            click.echo(f"- {' '.join(path)}: {a.entries[path]!r}")
    ctx.exit(1 if len(delta) else 0)


@config.command()
@click.argument("file", type=FILE)
@click.option("--against", type=FILE, required=True, help="The NODE_CONFIG of a front.")
@JSON
def show(file: str, against: str, as_json: bool) -> None:
    """The values that would be in effect at a front, and where each comes from."""
    told, found = read_front_limits(against), read_valid(file)
    bounds = rules.effective_limits(found.entries, told)
    rows = [
        (kind, name, what, bound)
        for kind, group in (("route", bounds.routes), ("tenant", bounds.tenants))
        for name, values in group.items()
        for what, bound in values.items()
    ]
    rows.append(("trial", "", "most-share", bounds.trial_share))
    shown = []
    for kind, name, what, bound in rows:
        path = (kind, name, what) if name else (kind, what)
        line, column = found.positions.get(path, (0, 0))
        origin = f"{file}:{line}:{column}" if bound.source == "version" else "told"
        value = bound.value if bound.value != float("inf") else None
        shown.append({"path": " ".join(path), "value": value, "from": origin})
    shown += [
        {"path": f"aside machine {m}", "value": True, "from": file} for m in sorted(bounds.drained_servers)
    ]
    shown += [{"path": f"aside zone {z}", "value": True, "from": file} for z in sorted(bounds.drained_zones)]
    if as_json:
        print_json(shown)
        return
    for r in shown:
        value = "no bound" if r["value"] is None else r["value"]
        click.echo(f"{r['path']}: {value} ({r['from']})")
