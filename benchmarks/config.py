"""Versions, measured: address lookups against a plain list, persistent maps against copies, slices of a large
document, deltas against whole texts.

    python -m benchmarks.config            # tables in Markdown; ratios within this run"""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import click
from immutables import Map

from myrtleroad.config import entries, version
from myrtleroad.config.networks import LinearNetworks, Networks


def timed(call: Callable[[], object], rounds: int) -> float:
    """Best of five, a call."""
    best = float("inf")
    for _ in range(5):
        begin = time.perf_counter()
        for _ in range(rounds):
            call()
        best = min(best, (time.perf_counter() - begin) / rounds)
    return best


def lookups(count: int) -> list[str]:
    r = random.Random(3)
    prefixes = {}
    while len(prefixes) < count:
        bits = r.choice((16, 20, 24, 24, 28, 32))
        base = r.getrandbits(32) >> (32 - bits) << (32 - bits)
        prefixes[f"{base >> 24}.{base >> 16 & 255}.{base >> 8 & 255}.{base & 255}/{bits}"] = r.random() < 0.5
    addresses = [".".join(str(r.randrange(256)) for _ in range(4)) for _ in range(50)]
    made, plain = Networks(prefixes.items()), LinearNetworks(prefixes.items())
    for a in addresses:
        assert made.admits(a) == plain.admits(a)
    one = timed(lambda: [made.admits(a) for a in addresses], 20)
    other = timed(lambda: [plain.admits(a) for a in addresses[:5]], 1) * 10
    return [f"| {count} prefixes | {other / one:.0f} |"]


def grown(kind: str, count: int, versions: int) -> float:
    """Bytes a version, of a chain of versions that differ by one entry each, as Python's allocator counts."""
    base = {("network", f"10.{n >> 8}.{n & 255}.0/24"): "refuse" for n in range(count)}
    chain: list = [Map(base) if kind == "map" else base]
    gc.collect()
    tracemalloc.start()
    for n in range(versions):
        path = ("tenant", f"t{n}", "rate")
        chain.append(chain[-1].set(path, 1.0) if kind == "map" else chain[-1] | {path: 1.0})
    size = tracemalloc.get_traced_memory()[0] / versions
    tracemalloc.stop()
    return size


def maps(count: int, versions: int) -> list[str]:
    base = {("network", f"10.{n >> 8}.{n & 255}.0/24"): "refuse" for n in range(count)}
    tree, path = Map(base), ("network", "10.0.5.0/24")
    change = timed(lambda: tree.set(path, "admit"), 2000)
    copied = timed(lambda: base | {path: "admit"}, 20)
    other, other_dict = tree.set(path, "admit"), base | {path: "admit"}
    walk = timed(lambda: entries.diff(tree, other), 3)
    walk_dict = timed(lambda: {p: v for p, v in other_dict.items() if base.get(p) != v}, 3)
    less = grown("dict", count, versions) / grown("map", count, versions)
    return [
        f"| memory a version, {versions} versions of {count} entries | {less:.0f} |",
        f"| a change of one entry | {copied / change:.0f} |",
        f"| a difference, the same walk over dicts | {walk_dict / walk:.2f} |",
    ]


def slices(count: int) -> list[str]:
    body = b"".join(b'  refuse "10.%d.%d.0/24" note="n"\n' % divmod(n, 256) for n in range(count))
    text = b"version 1\nnetworks {\n" + body + b"}\n"
    into, costs = version.Version(), []
    last = time.perf_counter()
    for _ in version.read_in_slices(text, None, into):
        now = time.perf_counter()
        costs.append(now - last)
        last = now
    costs.append(time.perf_counter() - last)
    assert len(into.entries) == count
    total = sum(costs)
    return [f"| {count} entries | {len(costs)} | {max(costs) / total:.1%} |"]


def deltas(count: int) -> list[str]:
    import orjson

    body = b"".join(b'  refuse "10.%d.%d.0/24" note="n"\n' % divmod(n, 256) for n in range(count))
    text = b"version 1\nnetworks {\n" + body + b"}\n"
    base = version.read(text).entries
    delta = entries.diff(base, base.set(("network", "10.0.5.0/24"), "admit"))
    small = len(orjson.dumps([[list(p), v] for p, v in delta.changed.items()]))
    apply = timed(lambda: entries.apply_delta(base, delta), 200)
    read = timed(lambda: version.read(text), 1)
    return [f"| {count} entries, one changed | {len(text) / small:.0f} | {read / apply:.0f} |"]


@click.command()
def main() -> None:
    """Print the tables of docs/design/config.md."""
    click.echo("| longest prefix, how many times quicker than a plain list | |\n| --- | --- |")
    for count in (100, 10_000, 100_000):
        click.echo("\n".join(lookups(count)))
    click.echo("\n| persistent map, how many times less than shallow copies of a dict | |\n| --- | --- |")
    click.echo("\n".join(maps(10_000, 100)))
    click.echo("\n| reading in slices | slices | longest, of the whole |\n| --- | --- | --- |")
    for count in (1000, 10_000):
        click.echo("\n".join(slices(count)))
    click.echo("\n| a difference against the whole text | bytes | time |\n| --- | --- | --- |")
    click.echo("\n".join(deltas(10_000)))


if __name__ == "__main__":
    main()
