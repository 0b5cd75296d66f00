"""A controller crashes and is back (TROUBLE=0: it does not); users go on asking about a running service."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))
from standins import User, World, job, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LAG_S = 3.0  # how far the page allows the state to lag
ASKED_S = 60.0

TEAMS = [
    dict(name="fariq-amaliyat", cpus=152.0, cpus_max=504.0, gpus=8.0, gpus_max=40.0),
    dict(name="fariq-kurat", cpus=72.0, cpus_max=256.0, gpus=8.0, gpus_max=16.0),
    dict(name="fariq-firaq", cpus=112.0, cpus_max=376.0, gpus=8.0, gpus_max=40.0),
    dict(name="fariq-sawtiyat", cpus=152.0, cpus_max=256.0, gpus=8.0, gpus_max=32.0),
]
TYPES = [
    dict(name="maqam", cores=16.0, accelerators=0.0, ram_gb=32.0, cache_gb=100.0, fetch_gb_per_s=0.5, hourly=1.1,
         spot_price=0.3, boot_s=20.0, pracas=["qahira"]),
]


async def main(folder, record):
    world = World(folder, record, teams=TEAMS, types=TYPES, zones=("qahira",), report_s=2.0, lease_s=14.0, cancel_s=44.0,
                  write_rps=100.0)
    world.cloud.capacity[("maqam", "qahira", False)] = 10
    try:
        await world.start()
        if not await world.up():
            return 2
        await world.keep_running()
        user = User(world)
        # A live service of each team.
        services = [job(1 + n, team["name"], kind="service", tasks=3, run=0.0, priority="critical")
                    for n, team in enumerate(TEAMS)]
        for body in services:
            if await user.submit(body) is None:
                return 2

        def runs(body):
            """Whether all replicas are on machines now."""
            return all(world.present.get(f"{body['id']}/{index}") for index in range(body["paes"]))

        ends = now() + 25.0
        told = set()
        while now() < ends and len(told) < len(services) * len(world.nodes):
            await asyncio.sleep(0.5)
            for body in services:
                for node in world.nodes:
                    _, answer = await user.poll(body["id"], node)
                    if answer and answer["ponto"] == "running" and answer["running"] == body["paes"]:
                        told.add((body["id"], node.name))
        record("told-running-at-all-controllers", answers=len(told))
        if len(told) < len(services) * len(world.nodes) or not all(runs(body) for body in services):
            return 2
        if TROUBLE:
            world.nodes[2].kill()  # the platform starts it again after 5 s
            await asyncio.sleep(6.0)
            if not await world.up(20.0):
                return 2
        record("all-healthy")
        since = now()
        await asyncio.sleep(LAG_S)
        wrong = {}  # (job, controller) -> since when it is called something else than running, without a break
        worst = {}
        while now() < since + ASKED_S:
            for body in services:
                for node in world.nodes:
                    running = runs(body)
                    status, answer = await user.poll(body["id"], node)
                    key = (body["id"], node.name)
                    if status == 200 and running and answer["ponto"] == "queued":
                        worst[key] = max(worst.get(key, 0.0), now() - wrong.setdefault(key, now()))
                    elif status == 200:
                        wrong.pop(key, None)
            await asyncio.sleep(1.0)
        for (name, node), seconds in sorted(worst.items()):
            record("called-queued", job=name, node=node, for_s=round(seconds, 1))
            # All replicas have run since long before; some seconds beyond the lag are left for a hand-over.
            if seconds > 20.0:
                world.violation("the state lags by more than 3 s", job=name, node=node, for_s=round(seconds, 1))
        return 1 if world.violations else 0
    finally:
        world.stop()


run_case(HERE, main)
