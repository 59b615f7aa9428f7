"""A front restarts after its operator has confirmed the version that all fronts hold."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))
import fleet
import operators

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
TENANT = fleet.TIRTASARI["tenant"]


def draw() -> tuple[str, str, int, bool]:
    if random.random() < 0.3:
        return "bulky-booking", TENANT, 2000, True
    return "schedule-lookup", TENANT, 6000, False


async def run(record: fleet.Record, folder: Path, trouble: bool) -> list[str]:
    machines = [fleet.Machine(f"s-{number}", "dc-balaikota", record, lambda: 0.0002) for number in range(6)]
    for machine in machines:
        await machine.open()
    discovery, platform = fleet.Discovery(machines, record), fleet.Platform(record)
    await discovery.open()
    await platform.open()
    service = operators.ControlService(folder, record)
    told = fleet.settings(fleet.TIRTASARI, LANES, balancers=2)
    fronts = [fleet.Front(name, folder, record, told, service.options) for name in ("n1", "n2")]
    try:
        await service.start()
        for front in fronts:
            front.write_config(discovery, platform)
            front.start()
        for front in fronts:
            await front.ready()
        await asyncio.sleep(1.5)  # until the fronts have connected to the control service
        await service.publish(VERSION)
        await service.held(1, 2, 6)
        said = await service.confirm()
        if "confirmed to 2 fronts" not in said:
            raise RuntimeError(said)
        await asyncio.sleep(CONFIRM_S + 2)
        await service.held(1, 2, 1)  # it was confirmed in time, so it stays
        if trouble:
            await fronts[0].restart(discovery, platform)
        await service.held(1, 2, 10)  # the page: fronts that come later get what all hold
        began = record.now()
        usual = [fleet.Clients(front, record) for front in fronts]
        refused = [fleet.Clients(front, record, "127.0.0.9") for front in fronts]
        await asyncio.gather(
            *(clients.traffic(30, AFTER_S, draw) for clients in usual),
            *(clients.traffic(3, AFTER_S, draw) for clients in refused),
        )
        await service.status()
    finally:
        for front in fronts:
            front.kill()
        service.stop()
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
