"""A machine fails every task that it starts, for some seconds (TROUBLE=0: it does not)."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))
from standins import User, World, job, now, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SICK_S = 10.0
WAITING_S = 90.0  # the bound of the page, counted from the end of the trouble

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
    # All that the cloud has for this operator: two machines.
    world.cloud.capacity[("maqam", "qahira", False)] = 10
    try:
        await world.start()
        if not await world.up():
            return 2
        await world.keep_running()
        user = User(world)

        async def until(condition, seconds):
            ends = now() + seconds
            while now() < ends and not condition():
                await asyncio.sleep(0.1)
            return condition()

        def begun(body):
            return sum(1 for key in world.starts if key.startswith(body["id"] + "/"))

        def room(worker):
            return worker.kind["cores"] - sum(t.job["cores"] for t in worker.tasks.values() if t.state != "exited")

        def size(tasks, cores):
            return dict(tasks=tasks, cores=cores, ram=1.0)

        # A live service on one machine, long tasks on the other.
        service = job(1, "fariq-amaliyat", kind="service", run=0.0, priority="critical", **size(1, 1.0))
        long = job(2, "fariq-amaliyat", run=300.0, **size(1, 15.0))
        for body in (service, long):
            if await user.submit(body) is None or not await until(lambda: begun(body) == body["paes"], 20):
                return 2
        await asyncio.sleep(5.0)
        for k, w in enumerate(world.cloud.workers()):
            if room(w) == 16.0:
                f = job(50 + k, "fariq-amaliyat", run=300.0, **size(1, 15.0))
                await user.submit(f)
                await until(lambda: begun(f) == 1, 10)
        workers = world.cloud.workers()
        record("room", **{w.id.replace("-", "_"): room(w) for w in workers})
        spacious = max(workers, key=room)
        if room(spacious) != 15.0 or not begun(service):
            record("unexpected-placement")
            return 2
        spacious.sick = TROUBLE
        record("sick", machine=spacious.id, is_sick=spacious.sick)
        # Two jobs come in the seconds in which the machine fails what it starts.
        for number in (3, 4):
            if await user.submit(job(number, "fariq-amaliyat", run=3.0, **size(1, 4.0))) is None:
                return 2
        await asyncio.sleep(SICK_S)
        spacious.sick = False
        over = now()
        record("sick", machine=spacious.id, is_sick=False)
        body = job(5, "fariq-amaliyat", run=3.0, **size(1, 4.0))
        if await user.submit(body) is None:
            return 2
        since = now()
        fitting = {w.id for w in world.cloud.workers() if room(w) >= 4.0}
        while now() < since + WAITING_S + 0.5 and not begun(body):
            await asyncio.sleep(0.5)
            await user.poll(body["id"])
            record("room", **{w.id.replace("-", "_"): room(w) for w in world.cloud.workers()})
            # Machines that had room for it all the time.
            fitting &= {w.id for w in world.cloud.workers() if room(w) >= 4.0}
        if not begun(body):
            if not fitting:
                return 2
            world.violation("left waiting for 90 s", job=body["id"], waited_s=round(now() - since, 1),
                            after_trouble_s=round(now() - over, 1), room_all_the_time_on=sorted(fitting))
        return 1 if world.violations else 0
    finally:
        world.stop()


run_case(HERE, main)
