"""Half of the cheap machines are taken back at once (TROUBLE=0: they are not)."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))
from standins import User, World, job, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
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
    # Two ordinary and two cheap machines are up, and the cloud has more of both.
    for spot in (False, False, True, True):
        world.cloud.create(TYPES[0], "qahira", spot, up_at_once=True)
    for spot in (False, True):
        world.cloud.capacity[("maqam", "qahira", spot)] = 10
    try:
        await asyncio.sleep(0.5)
        world.cloud.lag = 0.0  # they have been up for long
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

        # Live services: 15 replicas on one machine, and two more. A task that saves takes a whole cheap machine.
        amaliyat = "fariq-amaliyat"
        bodies = [
            job(1, amaliyat, kind="service", run=0.0, priority="critical", **size(15, 1.0)),
            job(2, amaliyat, kind="service", run=0.0, priority="critical", **size(2, 1.0)),
            job(3, amaliyat, run=300.0, emprestados=True, vira_s=15.0, guarda_s=2.0,
                **size(1, 16.0)),
        ]
        for body in bodies:
            if await user.submit(body) is None or not await until(lambda: begun(body) == body["paes"], 20):
                return 2
        # The leader may have rented machines meanwhile: each gets a task that fills it.
        fillers = 0
        for _ in range(3):
            await asyncio.sleep(2.0)
            extra = [w for w in world.cloud.workers() if not w.spot and room(w) == 16.0]
            booting = [e for e in world.cloud.machines.values() if e["worker"] is None and e["gone"] is None]
            if not extra and not booting:
                break
            for _ in extra:
                body = job(10 + fillers, amaliyat, run=300.0, **size(1, 16.0))
                fillers += 1
                if await user.submit(body) is None or not await until(lambda: begun(body), 10):
                    return 2
        workers = world.cloud.workers()
        record("room", **{w.id.replace("-", "_"): room(w) for w in workers})
        cheap = [w for w in workers if w.spot]
        # Those with nothing on them; the wave takes at most half of the cheap machines, and these.
        empty = [w for w in workers if room(w) == 16.0]
        if len(empty) != 1 or empty[0] not in cheap or len(cheap) != 2:
            record("unexpected-placement")
            return 2
        if TROUBLE:
            record("taken-back", machine=empty[0].id, share=len(empty) / len(cheap))
            world.cloud.delete(empty[0].id, "cloud")
        over = now()
        await asyncio.sleep(6.5)  # no report of it has come for so long by then
        body = job(4, amaliyat, run=3.0, emprestados=True, **size(1, 4.0))
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
