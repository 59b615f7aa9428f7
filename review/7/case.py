"""A front restarts after its operator has confirmed the version that all fronts hold."""

import asyncio
import json
import random
import signal
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))
import fleet

PYTHON = str(fleet.ROOT / ".venv/bin/python")
CONFIRM_S = 10  # the page allows 1 s to 1 h
AFTER_S = 25  # of traffic after the restart
VERSION = f"""version 1 confirm=(s){CONFIRM_S}
networks default="admit" {{
    refuse "127.0.0.9/32"
}}
aside {{
    machine "s-0"
}}
"""
LANES = [
    {"name": "schedule-lookup", "effect": "repeatable", "on_time": 2000, "give_up": 6000, "worth": 2.0},
    {"name": "bulky-booking", "effect": "once", "on_time": 750, "give_up": 2000, "worth": 3.0},
]


def draw() -> tuple[str, str, int, bool]:
    tenant = fleet.TIRTASARI["tenant"]
    return (
        ("bulky-booking", tenant, 2000, True)
        if random.random() < 0.3
        else ("schedule-lookup", tenant, 6000, False)
    )


async def control(record: fleet.Record, *words: str) -> str:
    """One call of an operator; raises RuntimeError if it fails."""
    process = await asyncio.create_subprocess_exec(
        PYTHON, "-m", "myrtleroad", "control", *words, cwd=fleet.ROOT, stdout=-1, stderr=subprocess.STDOUT
    )
    text = (await process.communicate())[0].decode()
    record.write("operator", call=" ".join(words[:1]), said=" | ".join(text.split("\n")))
    if process.returncode:
        raise RuntimeError(f"control {words[0]}: {text}")
    return text


async def hold(record: fleet.Record, versions: Path, seconds: float) -> None:
    """Waits until every front holds version 1."""
    for _ in range(int(seconds / 0.5)):
        status = json.loads(await control(record, "status", str(versions), "--json"))
        if len(status["fronts"]) == 2 and all(
            front["here"] and front["holds"][1] == 1 for front in status["fronts"]
        ):
            return
        await asyncio.sleep(0.5)
    raise TimeoutError("the fronts do not hold the version")


async def run(record: fleet.Record, folder: Path, trouble: bool) -> list[str]:
    machines = [fleet.Machine(f"s-{number}", "dc-balaikota", record, lambda: 0.0002) for number in range(6)]
    for machine in machines:
        await machine.open()
    discovery, platform = fleet.Discovery(machines, record), fleet.Platform(record)
    await discovery.open()
    await platform.open()
    versions, port = folder / "versions", fleet.free_port()
    text, front_file = folder / "one.kdl", folder / "front.kdl"
    text.write_text(VERSION)
    front_file.write_text(f'control "127.0.0.1:{port}"\n')
    fronts = [
        fleet.Front(
            name, folder, record, fleet.settings(fleet.TIRTASARI, LANES, balancers=2), f"--with {front_file}"
        )
        for name in ("n1", "n2")
    ]
    options = ["--listen", f"127.0.0.1:{port}", "--rings", "1", "--watch", "1"]
    with (folder / "control.log").open("ab") as log:
        service = subprocess.Popen(
            [PYTHON, "-m", "myrtleroad", "control", "serve", str(versions), *options],
            cwd=fleet.ROOT,
            stdout=log,
            stderr=log,
        )
    try:
        for front in fronts:
            front.write_config(discovery, platform)
            front.start()
        for front in fronts:
            await front.ready()
        while not (versions / "control.sock").exists():
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)  # until the fronts have connected
        await control(record, "publish", str(versions), str(text))
        await hold(record, versions, 6)
        said = await control(record, "confirm", str(versions))
        if "confirmed to 2 fronts" not in said:
            raise RuntimeError(said)
        await asyncio.sleep(CONFIRM_S + 2)
        await hold(record, versions, 1)  # confirmed in time: it stays
        if trouble:
            fronts[0].signal(signal.SIGTERM)
            await asyncio.sleep(2)
            fronts[0].kill()
            fronts[0].write_config(discovery, platform)
            fronts[0].start()
            await fronts[0].ready()
        await hold(record, versions, 10)  # the page: fronts that come later get what all hold
        began = record.now()
        usual = [fleet.Clients(front, record) for front in fronts]
        refused = [fleet.Clients(front, record, "127.0.0.9") for front in fronts]
        await asyncio.gather(
            *(clients.traffic(30, AFTER_S, draw) for clients in usual),
            *(clients.traffic(3, AFTER_S, draw) for clients in refused),
        )
        await control(record, "status", str(versions))
    finally:
        for front in fronts:
            front.kill()
        service.terminate()
        service.wait(5)
    aside = [f"{txn} ran at s-0, which is set aside" for txn, at in machines[0].runs if at > began]
    let_in = [
        f"{answer.txn} of a refused network was answered 200"
        for clients in refused
        for answer in clients.answers
        if answer.status == 200
    ]
    asked = sum(clients.count for clients in usual)
    served = sum(answer.status == 200 for clients in usual for answer in clients.answers)
    record.write("sum", asked=asked, served=served, at_s0=len(aside), of_refused_network=len(let_in))
    print(f"{asked} asked, {served} served, {len(aside)} ran at s-0, {len(let_in)} of the refused network")
    return aside[:5] + let_in[:5]


fleet.main(__file__, run)
