"""150 clients stop in the middle of a request and stay: does the front keep within its memory?"""

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins.world import (  # noqa: E402
    HOST,
    SAFE,
    TENANT,
    UNSAFE,
    Client,
    Machine,
    Record,
    World,
    now,
    run_case,
)

MACHINES = 8
MEMORY_MB = 192  # "on scored days the limits are at most 192 MB and 1,024 descriptors"
BAD_CLIENTS = 150  # "others connect by hundreds"
BODY_BYTES = 64_000  # "a body holds no more than 64 KiB"
CHUNK = b"2\r\nab\r\n"  # two bytes of a body
STAYS_S = 6.0
REQUESTS_PER_S = 40.0
PLAY_S = 15.0


def unfinished_request(number: int) -> bytes:
    """A request without its end: the last chunk of its body is missing."""
    head = (
        f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: bad-{number}\r\nX-Lane: {UNSAFE}\r\n"
        f"X-Org: {TENANT}\r\nX-Remaining-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode() + CHUNK * (BODY_BYTES // 2)


async def bad_client(world: World, number: int, ends: list[str]) -> None:
    """Sends the beginning of a request, then waits for its error or its close."""
    try:
        reader, writer = await asyncio.open_connection(HOST, world.port)
        writer.write(unfinished_request(number))
        world.record("bad client", number=number, sent="a request without its last chunk")
        line = await asyncio.wait_for(reader.readline(), STAYS_S)
        ends.append(line.decode("latin-1").strip() or "closed")
        world.record("bad client", number=number, got=ends[-1])
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
                attack_at = None
                tasks = {asyncio.create_task(bad_client(world, n, ends)) for n in range(BAD_CLIENTS)}
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
