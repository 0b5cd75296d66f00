"""A large gang; the state service lowers its limits (TROUBLE=0: it keeps them, and the settings announce nothing)."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))
from standins import User, World, job, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMBERS = int(os.environ.get("MEMBERS", 400))
WAITING_S = 90.0  # the bound of the page, counted from when the limits have been lowered
NEXT = dict(write_rps=70.0, value_kb=2.0, txn_ops=16)

TEAMS = [
    dict(name="fariq-amaliyat", cpus=152.0, cpus_max=504.0, gpus=8.0, gpus_max=40.0),
    dict(name="fariq-kurat", cpus=72.0, cpus_max=256.0, gpus=8.0, gpus_max=16.0),
    dict(name="fariq-firaq", cpus=112.0, cpus_max=376.0, gpus=8.0, gpus_max=40.0),
    dict(name="fariq-sawtiyat", cpus=152.0, cpus_max=256.0, gpus=8.0, gpus_max=32.0),
]
TYPES = [
    dict(name="maqam", cores=16.0, accelerators=0.0, ram_gb=32.0, cache_gb=100.0, fetch_gb_per_s=0.5, hourly=1.1,
         spot_price=0.3, boot_s=20.0, pracas=["qahira"]),
    dict(name="watar", cores=12.0, accelerators=2.0, ram_gb=48.0, cache_gb=100.0, fetch_gb_per_s=0.5, hourly=6.06,
         spot_price=1.58, boot_s=45.0, pracas=["qahira"]),
]


async def main(folder, record):
    world = World(folder, record, teams=TEAMS, types=TYPES, zones=("qahira",), report_s=2.0, lease_s=14.0, cancel_s=44.0,
                  write_rps=100.0, next_limits=NEXT if TROUBLE else None, ram_mb=200.0)
    maqam = TYPES[0]
    for _ in range(30):  # machines that were up before
        world.cloud.create(maqam, "qahira", False, up_at_once=True)
    world.cloud.capacity[("maqam", "qahira", False)] = 10
    try:
        await asyncio.sleep(0.5)
        world.cloud.lag = 0.0  # they have been up for long
        await world.start()
        if not await world.up():
            return 2
        await world.keep_running()
        user = User(world)
        small = job(1, "fariq-kurat", tasks=20, cores=2.0, run=5.0)
        gang = job(2, "fariq-amaliyat", kind="group", tasks=MEMBERS, cores=1.0, ram=1.0, run=20.0, priority="urgent")
        for body in (small, gang):
            if await user.submit(body) not in ("queued", "running"):
                return 2
        if TROUBLE:
            await asyncio.sleep(2.0)
            world.store.lower_limits(**NEXT)
            record("limits-lowered", **NEXT)
        since = now()
        begun = None
        while now() < since + WAITING_S + 1.0 and begun is None:
            await asyncio.sleep(1.0)
            for body in (small, gang):
                await user.poll(body["id"])
            if len([key for key in world.starts if key.startswith(gang["id"])]) == MEMBERS:
                begun = now()
            free = [w.kind["cores"] - sum(t.job["cores"] for t in w.tasks.values() if t.state != "exited")
                    for w in world.cloud.workers()]
            room = sum(int(f) for f in free)
            record("room", machines=len(free), for_tasks_of_1_core=room, begun=begun is not None)
            if begun is None and room < MEMBERS and now() > since + 15.0:
                record("no-room")
                return 2
        if begun is None:
            world.violation("left waiting for 90 s", job=gang["id"], waited_s=round(now() - since, 1))
        return 1 if world.violations else 0
    finally:
        world.stop()


run_case(HERE, main)
