"""A front comes later, after a version that nobody confirmed has gone back at every front."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))
import fleet
import operators

CONFIRM_S = 10  # the page allows 1 s to 1 h
AFTER_S = 25  # of traffic after the restart
FIRST = """version 1
networks default="admit" {
    refuse "127.0.0.9/32"
}
aside {
    machine "s-0"
}
"""
# A mistake: it shuts out the usual clients' network. Its operator asked for a confirmation and gives none.
MISTAKE = f"""version 2 confirm=(s){CONFIRM_S}
networks default="admit" {{
    refuse "127.0.0.2/32"
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
    told = fleet.settings(fleet.TIRTASARI, LANES, balancers=3)
    fronts = [fleet.Front(name, folder, record, told, service.options) for name in ("n1", "n2", "n3")]
    first = fronts[:2] if trouble else fronts  # the third comes later
    try:
        await service.start()
        for front in first:
            front.write_config(discovery, platform)
            front.start()
        for front in first:
            await front.ready()
        await asyncio.sleep(1.5)  # until the fronts have connected to the control service
        await service.publish(FIRST)
        await service.held(1, len(first), 6)
        await asyncio.sleep(2)  # until its rollout is done
        await service.publish(MISTAKE)
        await service.held(2, len(first), 6)
        await service.held(1, len(first), CONFIRM_S + 3)  # it went back by itself at each of them
        if trouble:
            fronts[2].write_config(discovery, platform)
            fronts[2].start()
            await fronts[2].ready()
            await asyncio.sleep(2)  # it takes what the control service offers
        began = record.now()
        usual = [fleet.Clients(front, record, "127.0.0.2") for front in fronts]
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
    shut_out = [
        f"{answer.txn} was answered 403 by version 2, which had gone back everywhere"
        for clients in usual
        for answer in clients.answers
        if answer.status == 403
    ]
    asked = sum(clients.count for clients in usual)
    served = sum(answer.status == 200 for clients in usual for answer in clients.answers)
    sums = {"at_s0": len(aside), "of_refused_network": len(let_in), "shut_out": len(shut_out)}
    record.write("sum", asked=asked, served=served, **sums)
    print(f"{asked} asked, {served} served; {sums}")
    return aside[:3] + let_in[:3] + shut_out[:3]


fleet.main(__file__, run)
