"""Hundreds of clients stop in the middle of a request and stay: does the front keep within its memory?"""

import asyncio
import random
import string
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins.world import HOST, SAFE, Client, Machine, Record, World, now, run_case  # noqa: E402

MACHINES = 8
MEMORY_MB = 192  # "on scored days the limits are at most 192 MB and 1,024 descriptors"
BAD_CLIENTS = 400  # "others connect by hundreds"
HEAD_BYTES = 16_000
STAYS_S = 6.0
REQUESTS_PER_S = 40.0
PLAY_S = 15.0


def head_without_end() -> bytes:
    """The beginning of a head in many short lines."""
    letters = string.ascii_lowercase + string.digits
    names = [a + b for a in string.ascii_lowercase for b in letters] + [
        a + b + c for a in string.ascii_lowercase for b in letters for c in letters
    ]
    text = "POST /api HTTP/1.1\r\n"
    for name in names:
        text += f"{name}:{name}\r\n"
        if len(text) > HEAD_BYTES:
            break
    return text.encode()


async def bad_client(world: World, text: bytes, ends: list[str]) -> None:
    """Sends the beginning of a head, then waits for its error or its close."""
    try:
        reader, writer = await asyncio.open_connection(HOST, world.port)
        writer.write(text)
        line = await asyncio.wait_for(reader.readline(), STAYS_S)
        ends.append(line.decode("latin-1").strip() or "closed")
        writer.close()
    except TimeoutError:
        ends.append("nothing")
    except OSError as error:
        ends.append(type(error).__name__)


async def play(trouble: bool) -> int:
    """One day: 1 if the front goes over its memory limit or ends."""

    def machines(record: Record) -> list[Machine]:
        return [Machine(f"s-{i}", record, lambda: random.uniform(0.02, 0.08)) for i in range(MACHINES)]

    world = World(CASE, machines, MEMORY_MB)
    ends: list[str] = []
    served = asked = 0
    try:
        await world.start()
        before = world.memory()
        client, until, tasks = Client(world), now() + PLAY_S, set()
        attack_at = now() + 3.0
        while now() < until:
            if trouble and attack_at is not None and now() > attack_at:
                attack_at, text = None, head_without_end()
                tasks = {asyncio.create_task(bad_client(world, text, ends)) for _ in range(BAD_CLIENTS)}
            asked += 1
            message = await client.ask(f"{asked:016x}", SAFE, 6000)
            served += message is not None and " 200 " in message.first_line
            world.record("memory", rss_mb=round(world.memory()[0], 1))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        if tasks:
            await asyncio.wait(tasks, timeout=10.0)
        peak, ended = world.memory()[1], world.ended()
    finally:
        await world.stop()
    kinds = {end: ends.count(end) for end in sorted(set(ends))}
    print(f"memory before {before[0]:.0f} MB, peak {peak:.0f} MB of {MEMORY_MB}; ended {ended}")
    print(f"usual client: {served} of {asked} served; bad clients: {kinds}")
    return 1 if ended or peak > MEMORY_MB else 0


if __name__ == "__main__":
    sys.exit(run_case(play))
