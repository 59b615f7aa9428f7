"""Measures the handling of configuration versions: address lookups compared with a plain list, persistent
maps compared with copies, slices of a large document, and deltas compared with whole documents.

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


def measure_s(call: Callable[[], object], rounds: int) -> float:
    """Seconds that a call takes: the best of five repeats."""
    best_s = float("inf")
    for _ in range(5):
        begin = time.perf_counter()
        for _ in range(rounds):
            call()
        best_s = min(best_s, (time.perf_counter() - begin) / rounds)
    return best_s


def lookup_rows(count: int) -> list[str]:
    """The row on looking addresses up among so many prefixes."""
    generator = random.Random(3)
    prefixes = {}
    while len(prefixes) < count:
        bits = generator.choice((16, 20, 24, 24, 28, 32))
        base = generator.getrandbits(32) >> (32 - bits) << (32 - bits)
        prefixes[f"{base >> 24}.{base >> 16 & 255}.{base >> 8 & 255}.{base & 255}/{bits}"] = (
            generator.random() < 0.5
        )
    addresses = [".".join(str(generator.randrange(256)) for _ in range(4)) for _ in range(50)]
    indexed, linear = Networks(prefixes.items()), LinearNetworks(prefixes.items())
    for address in addresses:
        assert indexed.admits(address) == linear.admits(address)
    indexed_s = measure_s(lambda: [indexed.admits(address) for address in addresses], 20)
    linear_s = measure_s(lambda: [linear.admits(address) for address in addresses[:5]], 1) * 10
    return [f"| {count} prefixes | {linear_s / indexed_s:.0f} |"]


def bytes_per_version(kind: str, count: int, versions: int) -> float:
    """Bytes that each of a chain of versions takes, as Python's allocator counts them. A version differs by
    one entry from the one before it."""
    base = {("network", f"10.{index >> 8}.{index & 255}.0/24"): "refuse" for index in range(count)}
    chain: list = [Map(base) if kind == "map" else base]
    gc.collect()
    tracemalloc.start()
    for index in range(versions):
        path = ("tenant", f"t{index}", "rate")
        chain.append(chain[-1].set(path, 1.0) if kind == "map" else chain[-1] | {path: 1.0})
    size_bytes = tracemalloc.get_traced_memory()[0] / versions
    tracemalloc.stop()
    return size_bytes


def map_rows(count: int, versions: int) -> list[str]:
    """Rows on persistent maps, compared with shallow copies of dicts."""
    base = {("network", f"10.{index >> 8}.{index & 255}.0/24"): "refuse" for index in range(count)}
    persistent, path = Map(base), ("network", "10.0.5.0/24")
    change_s = measure_s(lambda: persistent.set(path, "admit"), 2000)
    copy_s = measure_s(lambda: base | {path: "admit"}, 20)
    changed, changed_dict = persistent.set(path, "admit"), base | {path: "admit"}
    diff_s = measure_s(lambda: entries.diff(persistent, changed), 3)
    dict_diff_s = measure_s(
        lambda: {key: value for key, value in changed_dict.items() if base.get(key) != value}, 3
    )
    memory_ratio = bytes_per_version("dict", count, versions) / bytes_per_version("map", count, versions)
    return [
        f"| memory a version, {versions} versions of {count} entries | {memory_ratio:.0f} |",
        f"| a change of one entry | {copy_s / change_s:.0f} |",
        f"| a difference, the same walk over dicts | {dict_diff_s / diff_s:.2f} |",
    ]


def slice_rows(count: int) -> list[str]:
    """The row on reading a document of so many entries in slices."""
    body = b"".join(b'  refuse "10.%d.%d.0/24" note="n"\n' % divmod(index, 256) for index in range(count))
    text = b"version 1\nnetworks {\n" + body + b"}\n"
    target, durations_s = version.Version(), []
    last = time.perf_counter()
    for _ in version.read_in_slices(text, None, target):
        now = time.perf_counter()
        durations_s.append(now - last)
        last = now
    durations_s.append(time.perf_counter() - last)
    assert len(target.entries) == count
    total_s = sum(durations_s)
    return [f"| {count} entries | {len(durations_s)} | {max(durations_s) / total_s:.1%} |"]


def delta_rows(count: int) -> list[str]:
    """The row on a delta of one entry, compared with the whole document."""
    import orjson

    body = b"".join(b'  refuse "10.%d.%d.0/24" note="n"\n' % divmod(index, 256) for index in range(count))
    text = b"version 1\nnetworks {\n" + body + b"}\n"
    base = version.read(text).entries
    delta = entries.diff(base, base.set(("network", "10.0.5.0/24"), "admit"))
    delta_bytes = len(orjson.dumps([[list(path), value] for path, value in delta.changed.items()]))
    apply_s = measure_s(lambda: entries.apply_delta(base, delta), 200)
    read_s = measure_s(lambda: version.read(text), 1)
    return [f"| {count} entries, one changed | {len(text) / delta_bytes:.0f} | {read_s / apply_s:.0f} |"]


@click.command()
def main() -> None:
    """Print the tables of docs/design/config.md."""
    click.echo("| longest prefix, how many times quicker than a plain list | |\n| --- | --- |")
    for count in (100, 10_000, 100_000):
        click.echo("\n".join(lookup_rows(count)))
    click.echo("\n| persistent map, how many times less than shallow copies of a dict | |\n| --- | --- |")
    click.echo("\n".join(map_rows(10_000, 100)))
    click.echo("\n| reading in slices | slices | longest, of the whole |\n| --- | --- | --- |")
    for count in (1000, 10_000):
        click.echo("\n".join(slice_rows(count)))
    click.echo("\n| a difference against the whole text | bytes | time |\n| --- | --- | --- |")
    click.echo("\n".join(delta_rows(10_000)))


if __name__ == "__main__":
    main()
