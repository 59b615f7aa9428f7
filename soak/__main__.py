"""``python -m soak``: plays seeds, prints a line each and a table by fault and rule, keeps the records of
those that failed."""

import dataclasses
import sys
from collections import Counter, defaultdict
from pathlib import Path
from random import Random

import click
import orjson

from soak.deployment import Deployment
from soak.faults import FAULTS, Fault
from soak.judge import Break
from soak.play import Play
from soak.records import Records
from soak.shim import NoCompiler

DAY_S = 14.0  # from the first request to the last
RULES = ("lost", "duplicate", "drain", "failback", "exposure", "crash")


@dataclasses.dataclass(slots=True)
class Result:
    seed: int
    faults: list[str]
    breaks: list[Break]
    served: float
    requests: int


def drawn(seed: int, fronts: int | None, only: tuple[str, ...]) -> tuple[Deployment, list[Fault], Random]:
    """The deployment and the faults of a seed."""
    random = Random(seed)
    size = fronts or random.choice((3, 3, 4, 6))
    deployment = Deployment(
        fronts=size,
        servers=random.choice((4, 8, 12)),
        pushed=random.random() < 0.3,
        grace_s=random.choice((0.25, 0.25, 1.0)),
        deadline_s=random.choice((1.0, 2.0, 4.0)),
        sockets=random.choice((128, 384)),
    )
    named = [f for f in FAULTS if f.name in only]
    return deployment, named or random.sample(FAULTS, random.choice((1, 2, 2, 3))), random


def play_seed(seed: int, fronts: int | None, only: tuple[str, ...], keep: Path | None) -> Result:
    deployment, faults, random = drawn(seed, fronts, only)
    call_s = 4.0 / deployment.fronts
    with Play(deployment, seed, random.uniform(2.0, 10.0), min(call_s, 0.2), shim=True) as play:
        for fault in faults:
            fault.plan(play, random, random.uniform(1.0, 6.0))
        if random.random() < 0.7:
            play.after(random.uniform(1.0, 5.0), play.drain, sorted(play.servers)[0])
        play.run_until(DAY_S)
        breaks = play.finish()
        if breaks and keep is not None:
            write(play, keep / f"seed-{seed}", faults, breaks)
        outcomes = Counter(r.outcome for r in play.records.requests)
        share = outcomes["served"] / max(1, len(play.records.requests))
        return Result(seed, [f.name for f in faults], breaks, share, len(play.records.requests))


def write(play: Play, folder: Path, faults: list[Fault], breaks: list[Break]) -> None:
    """What was seen and the fronts' logs, of a seed that failed."""
    folder.mkdir(parents=True, exist_ok=True)
    records: Records = play.records
    for field in dataclasses.fields(records):
        lines = [orjson.dumps(x, default=str) for x in getattr(records, field.name)]
        (folder / f"{field.name}.jsonl").write_bytes(b"\n".join(lines))
    (folder / "breaks.txt").write_text("\n".join(f"{b.at:.3f} {b.rule}: {b.what}" for b in breaks))
    for front in play.fronts:
        (folder / front.log.name).write_bytes(front.log.read_bytes())


def table(results: list[Result]) -> str:
    """Runs by fault, and in how many of them each rule broke."""
    rows: dict[str, Counter[str]] = defaultdict(Counter)
    for result in results:
        for name in result.faults:
            rows[name]["runs"] += 1
            rows[name].update({b.rule for b in result.breaks})
    lines = ["| fault | runs | " + " | ".join(RULES) + " |", "| --- " * (len(RULES) + 2) + "|"]
    for name in sorted(rows):
        cells = [str(rows[name][rule]) for rule in ("runs", *RULES)]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def said(result: Result) -> str:
    share = f"{result.requests} requests, {result.served:.3f} served"
    what = f"seed {result.seed}: {', '.join(result.faults)}; {share}"
    if not result.breaks:
        return f"{what}; kept"
    first = result.breaks[0]
    rules = Counter(b.rule for b in result.breaks)
    broken = ", ".join(f"{rule} {n}" for rule, n in rules.items())
    return f"{what}; BROKEN {broken}; first: {first.rule} {first.what}"


@click.command()
@click.option("--seeds", default=10, show_default=True, help="How many seeds.")
@click.option("--first", default=1, show_default=True, help="The first of them.")
@click.option("--fronts", type=int, help="Fronts of each run; drawn where not given.")
@click.option("--fault", "only", multiple=True, help="Only this fault; may be given again.")
@click.option("--keep", type=click.Path(path_type=Path), default=Path("found/soak"), show_default=True)
def main(seeds: int, first: int, fronts: int | None, only: tuple[str, ...], keep: Path) -> None:
    """Play seeded runs of real fronts under faults. Exit code 1 where a rule broke in any of them."""
    unknown = set(only) - {f.name for f in FAULTS}
    if unknown:
        raise click.BadParameter(f"no fault {', '.join(sorted(unknown))}", param_hint="--fault")
    results = []
    for seed in range(first, first + seeds):
        if sys.stderr.isatty():
            click.echo(f"seed {seed}, {seed - first + 1} of {seeds}", err=True)
        try:
            results.append(play_seed(seed, fronts, only, keep))
        except NoCompiler as fault:
            raise click.ClickException(str(fault)) from None
        click.echo(said(results[-1]))
        if results[-1].breaks:
            names = "".join(f" --fault {name}" for name in only)
            click.echo(f"  again: python -m soak --first {seed} --seeds 1{names}")
    click.echo(table(results))
    if any(r.breaks for r in results):
        sys.exit(1)


if __name__ == "__main__":
    main()
