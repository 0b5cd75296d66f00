"""Another team's services come four times as often (TROUBLE=0: as usual) and take all machines beyond its guarantee."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))
from standins import User, World, job, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WAITING_S = 90.0

# Each team belongs to another shard.
TEAMS = [
    dict(name="a", cpus=32.0, cpus_max=64.0),
    dict(name="b", cpus=16.0, cpus_max=64.0),
    dict(name="c", cpus=8.0, cpus_max=64.0),
]
TYPES = [
    dict(name="maqam", cores=16.0, accelerators=0.0, ram_gb=32.0, cache_gb=100.0, fetch_gb_per_s=0.5, hourly=1.1,
         spot_price=0.3, boot_s=20.0, pracas=["qahira"]),
]


async def main(folder, record):
    world = World(folder, record, teams=TEAMS, types=TYPES, zones=("qahira",), report_s=2.0, lease_s=14.0, cancel_s=44.0,
                  write_rps=100.0)
    world.cloud.capacity[("maqam", "qahira", False)] = 3
    try:
        await world.start()
        if not await world.up():
            return 2
        await world.keep_running()
        user = User(world)
        for number in range(4 if TROUBLE else 1):
            body = job(10 + number, "b", kind="service", tasks=12, cores=1.0, run=0.0)
            if await user.submit(body) is None:
                return 2
        await asyncio.sleep(15.0)
        record("of-the-other-team", running=len([key for key, places in world.present.items() if places]))
        body = job(1, "a", tasks=1, cores=4.0, run=3.0)
        if await user.submit(body) is None:
            return 2
        since = now()
        while now() < since + WAITING_S + 0.5 and not world.starts["j-000001/0"]:
            await asyncio.sleep(1.0)
            await user.poll(body["id"])
        if not world.starts["j-000001/0"]:
            world.violation("waits for another team within its guarantee", job=body["id"], waited_s=round(now() - since, 1))
        return 1 if world.violations else 0
    finally:
        world.stop()


run_case(HERE, main)
