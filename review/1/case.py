"""A pipeline of stages; jobs of its classes come three times as often (TROUBLE=0: as usual)."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))
from standins import User, World, job, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
USUAL = 5  # jobs of a stage
FACTOR = 3 if TROUBLE else 1
STAGES = 11
FIRST_S, GROWTH = 2.0, 2.0  # estimates: 2 to 4 s in the first stage, twice as long in each further one
ASKED_S = 80.0  # how long the users' questions go on once all is submitted
ANSWERED_WITHIN_S = 75.0

TEAMS = [
    dict(name="fariq-amaliyat", cpus=152.0, cpus_max=504.0),
    dict(name="fariq-kurat", cpus=72.0, cpus_max=256.0),
    dict(name="fariq-firaq", cpus=112.0, cpus_max=376.0),
]
TYPES = [
    dict(name="maqam", cores=16.0, accelerators=0.0, ram_gb=32.0, cache_gb=100.0, fetch_gb_per_s=0.5, hourly=1.1,
         spot_price=0.3, boot_s=20.0, pracas=["qahira", "iskandariya"]),
]


async def main(folder, record):
    world = World(folder, record, teams=TEAMS, types=TYPES, zones=("qahira", "iskandariya"), report_s=2.0, lease_s=14.0,
                  cancel_s=44.0, write_rps=100.0, ram_mb=72.0)
    for zone in world.zones:
        world.cloud.capacity[("maqam", zone, False)] = 10
        world.cloud.capacity[("maqam", zone, True)] = 10
    try:
        await world.start()
        if not await world.up():
            return 2
        await world.keep_running()
        user = User(world)
        # A job that has nothing to do with the pipeline.
        bystander = job(1, "fariq-kurat", kind="service", tasks=2, run=0.0, priority="critical")
        if await user.submit(bystander) is None:
            return 2
        # Each stage needs the one before it; the longest jobs of a stage are submitted first. Only the last job has the
        # priority and the deadline.
        number, previous = 100, []
        width = USUAL * FACTOR
        for stage in range(STAGES):
            bodies = []
            for place in range(width):
                number += 1
                estimate = FIRST_S * GROWTH ** stage * (2.0 - place / width)
                bodies.append(job(number, "fariq-amaliyat", tasks=1, run=estimate, priority="best_effort",
                                  fornada=f"etapa-{stage}", espera=previous))
            answers = await asyncio.gather(*(user.submit(body) for body in bodies))
            if any(answer not in ("queued", "running", "done") for answer in answers):
                record("not-accepted", answers=answers)
                return 2
            previous = [body["id"] for body in bodies]
        last = job(number + 1, "fariq-amaliyat", tasks=1, run=8.0, priority="urgent", espera=previous,
                   fornada="etapa-fim", entrega_s=20_000.0)
        begun = now()
        submitted = asyncio.create_task(user.submit(last, give_up=ASKED_S))
        # From here on no trouble is left: no jobs come any more.
        answered = {}
        asked = {"j-000001": begun, "j-000101": begun}
        while now() < begun + ASKED_S:
            for name in asked:
                status, _ = await user.poll(name)
                if status == 200:
                    answered[name] = now()
            await asyncio.sleep(1.0)
        submitted.cancel()
        for name in asked:
            gap = now() - answered.get(name, begun)
            record("last-answer", job=name, seconds_ago=round(gap, 1))
            if gap >= ANSWERED_WITHIN_S:
                world.violation("forgotten", job=name, unanswered_s=round(gap, 1))
        for node in world.nodes:
            record("node", node=node.name, ends=node.ends, mb=round(node.memory_mb()))
        return 1 if world.violations else 0
    finally:
        world.stop()


run_case(HERE, main)
