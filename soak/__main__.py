"""``python -m soak``: runs seeds, prints a line for each and a table by fault and rule, and keeps the records
of the seeds that failed."""

import dataclasses
import sys
from collections import Counter, defaultdict
from pathlib import Path
from random import Random

import click
import orjson

from soak.checker import Violation
from soak.crowd import CrowdBesideRun
from soak.deployment import Deployment
from soak.faults import FAULTS, Fault
from soak.records import Records
from soak.run import SoakRun
from soak.shim import ShimBuildError

RUN_DURATION_S = 14.0  # from the start of the clients to their stop
RULES = ("lost", "duplicate", "drain", "failback", "exposure", "crash")


@dataclasses.dataclass(slots=True)
class SeedResult:
    """What the report shows of one seed."""

    seed: int
    faults: list[str]
    violations: list[Violation]
    served_share: float
    request_count: int
    crowd: str = ""


def draw_scenario(
    seed: int, fronts: int | None, fault_names: tuple[str, ...]
) -> tuple[Deployment, list[Fault], Random]:
    """Draws the deployment and the faults of a seed.

    The order of the draws is fixed: another order would give each seed another run."""
    random = Random(seed)
    front_count = fronts or random.choice((3, 3, 4, 6))
    deployment = Deployment(
        fronts=front_count,
        servers=random.choice((4, 8, 12)),
        lists_pushed=random.random() < 0.3,
        drain_grace_s=random.choice((0.25, 0.25, 1.0)),
        deadline_s=random.choice((1.0, 2.0, 4.0)),
        max_sockets=random.choice((128, 384)),
    )
    selected = [fault for fault in FAULTS if fault.name in fault_names]
    return deployment, selected or random.sample(FAULTS, random.choice((1, 2, 2, 3))), random


def run_seed(
    seed: int, fronts: int | None, fault_names: tuple[str, ...], keep: Path | None, with_crowd: bool = False
) -> SeedResult:
    """Runs one seed and writes its records below ``keep`` if it failed."""
    deployment, faults, random = draw_scenario(seed, fronts, fault_names)
    crowd = CrowdBesideRun(seed) if with_crowd else None
    if crowd is not None:
        deployment = crowd.adapt(deployment)
    call_duration_s = 4.0 / deployment.fronts
    with SoakRun(deployment, seed, random.uniform(2.0, 10.0), min(call_duration_s, 0.2), shim=True) as run:
        for fault in faults:
            fault.plan(run, random, random.uniform(1.0, 6.0))
        if random.random() < 0.7:
            run.schedule_fault(random.uniform(1.0, 5.0), run.drain_servers, sorted(run.servers)[0])
        if crowd is not None:
            crowd.start(run)
        run.run_until(RUN_DURATION_S)
        violations = run.finish() + (crowd.violations() if crowd is not None else [])
        if violations and keep is not None:
            write_records(run, keep / f"seed-{seed}", faults, violations)
        outcomes = Counter(request.outcome for request in run.records.requests)
        served_share = outcomes["served"] / max(1, len(run.records.requests))
        return SeedResult(
            seed,
            [fault.name for fault in faults],
            violations,
            served_share,
            len(run.records.requests),
            crowd.describe() if crowd is not None else "",
        )


def write_records(run: SoakRun, folder: Path, faults: list[Fault], violations: list[Violation]) -> None:
    """Writes the records, the violations and the fronts' logs of a seed that failed."""
    folder.mkdir(parents=True, exist_ok=True)
    records: Records = run.records
    for field in dataclasses.fields(records):
        lines = [orjson.dumps(row, default=str) for row in getattr(records, field.name)]
        (folder / f"{field.name}.jsonl").write_bytes(b"\n".join(lines))
    (folder / "breaks.txt").write_text(
        "\n".join(f"{violation.at:.3f} {violation.rule}: {violation.what}" for violation in violations)
    )
    for front in run.fronts:
        (folder / front.log_path.name).write_bytes(front.log_path.read_bytes())


def format_table(results: list[SeedResult]) -> str:
    """Returns a Markdown table: runs by fault, and the number of them in which each rule was violated."""
    rows: dict[str, Counter[str]] = defaultdict(Counter)
    for result in results:
        for name in result.faults:
            rows[name]["runs"] += 1
            rows[name].update({violation.rule for violation in result.violations})
    lines = ["| fault | runs | " + " | ".join(RULES) + " |", "| --- " * (len(RULES) + 2) + "|"]
    for name in sorted(rows):
        cells = [str(rows[name][rule]) for rule in ("runs", *RULES)]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def format_result(result: SeedResult) -> str:
    """Returns the line that is printed for a seed."""
    totals = f"{result.request_count} requests, {result.served_share:.3f} served"
    summary = f"seed {result.seed}: {', '.join(result.faults)}; {totals}"
    summary += f"; {result.crowd}" if result.crowd else ""
    if not result.violations:
        return f"{summary}; kept"
    first_violation = result.violations[0]
    rules = Counter(violation.rule for violation in result.violations)
    rule_counts = ", ".join(f"{rule} {count}" for rule, count in rules.items())
    return f"{summary}; BROKEN {rule_counts}; first: {first_violation.rule} {first_violation.what}"


@click.command()
@click.option("--seeds", default=10, show_default=True, help="Number of seeds to run.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--fronts", type=int, help="Number of fronts; drawn from the seed by default.")
@click.option("--fault", "only", multiple=True, help="Inject only this fault; may be repeated.")
@click.option(
    "--crowds", is_flag=True, help="A crowd of hostile clients beside each seed, under a memory limit."
)
@click.option("--keep", type=click.Path(path_type=Path), default=Path("found/soak"), show_default=True)
def main(seeds: int, first: int, fronts: int | None, only: tuple[str, ...], crowds: bool, keep: Path) -> None:
    """Run real fronts under faults drawn from seeds. Exits with 1 if a rule was violated in any run."""
    unknown = set(only) - {fault.name for fault in FAULTS}
    if unknown:
        raise click.BadParameter(f"unknown fault: {', '.join(sorted(unknown))}", param_hint="--fault")
    results = []
    for seed in range(first, first + seeds):
        if sys.stderr.isatty():
            click.echo(f"seed {seed}, {seed - first + 1} of {seeds}", err=True)
        try:
            results.append(run_seed(seed, fronts, only, keep, crowds))
        except ShimBuildError as error:
            raise click.ClickException(str(error)) from None
        click.echo(format_result(results[-1]))
        if results[-1].violations:
            names = "".join(f" --fault {name}" for name in only)
            names += " --crowds" if crowds else ""
            click.echo(f"  again: python -m soak --first {seed} --seeds 1{names}")
    click.echo(format_table(results))
    if any(result.violations for result in results):
        sys.exit(1)


if __name__ == "__main__":
    main()
