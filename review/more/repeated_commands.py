"""Start commands that a worker carried out and answered arrive there again, 1 to 60 s later (cancel: 22 to 60 s).

FORM: failed, crash, preempt, gangs, services or cancel. BINARY: the controllers' program (else as deploy says). With AFTER, the
controllers are ended one by one and come back with that program. SECONDS (90), SEED (1). Prints the copies, and the tasks that
they started again by the program whose holder had let them be forgotten."""

import asyncio
import collections
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness"))
from standins import Node, User, Worker, World, job, now, run_case

FORM = os.environ.get("FORM", "failed")
SECONDS = float(os.environ.get("SECONDS", "90"))
SEED = int(os.environ.get("SEED", "1"))
BINARY, AFTER = os.environ.get("BINARY"), os.environ.get("AFTER")
TEAM = "fariq-amaliyat"
SAVES = dict(vira_s=4.0, guarda_s=1.0)

counts = collections.Counter()
started_again = collections.Counter()


class CopyingWorker(Worker):
    """A worker to which each answered command comes four times more."""

    forgotten_by = None  # by task and attempt: the program of the controller that let it be forgotten

    def execute(self, orders):
        for order in orders:
            if order["ordem"] == "clear":
                program = self.world.nodes[self.node].program
                self.forgotten_by[(order["pao"], order["tentativa"])] = program
        super().execute(orders)

    async def commands(self, method, path, body):
        answer = await super().commands(method, path, body)
        if answer and answer[0] == 200 and path == "/commands":
            first = (22.0, 32.0) if FORM == "cancel" else (1.0, 9.0)
            for earliest, latest in [first, first, first, (max(10.0, first[0]), 60.0)]:
                asyncio.create_task(self.copy(body, random.uniform(earliest, latest)))
        return answer

    async def copy(self, body, delay):
        await asyncio.sleep(delay)
        if self.gone:
            return
        known = set(self.tasks)
        answer = await super().commands("POST", "/commands", body)
        counts["copies"] += 1
        counts["carried out"] += bool(answer and answer[0] == 200)
        for key in set(self.tasks) - known:
            started_again[self.forgotten_by.get(key, "nobody")] += 1


async def main(folder, record):
    teams = [dict(name=TEAM, cpus=64.0, cpus_max=128.0, gpus=0.0, gpus_max=0.0)]
    types = [dict(name="maqam", cores=16.0, accelerators=0.0, ram_gb=64.0, cache_gb=100.0, fetch_gb_per_s=1.0,
                  hourly=1.1, spot_price=0.3, boot_s=2.0, pracas=["qahira"])]
    world = World(folder, record, teams=teams, types=types, zones=("qahira",), report_s=2.0, lease_s=10.0, cancel_s=18.0,
                  gang_wait_s=20.0, write_rps=100.0, seed=SEED)
    world.cloud.capacity[("maqam", "qahira", False)] = 8
    user, ends, number = User(world), now() + SECONDS, 0
    for node in world.nodes:
        node.program = BINARY or world.command[0]

    async def replace_programs():
        for node in world.nodes:
            await asyncio.sleep(SECONDS / 6)
            node.program = AFTER
            node.kill()

    async def crashes():
        while now() < ends:
            await asyncio.sleep(8.0)
            world.random.choice(world.nodes).kill()

    async def sick_machines():
        while now() < ends:
            for worker in world.cloud.workers():
                worker.sick = world.random.random() < 0.4
            await asyncio.sleep(3.0)

    async def check_cancelled():
        while now() < ends:
            world.check_cancelled()
            await asyncio.sleep(1.0)

    async def submit(delay=0.0, cancel_after=None, **fields):
        nonlocal number
        number += 1
        body = job(number, TEAM, **fields)
        await asyncio.sleep(delay)
        if await user.submit(body) is not None and cancel_after is not None:
            await asyncio.sleep(cancel_after)
            await user.abort(body["id"])

    def next_jobs():
        if FORM in ("failed", "crash"):
            return [submit(tasks=world.random.randint(3, 8))]
        if FORM == "preempt":
            return [submit(tasks=24, run=12.0, priority="best_effort", **SAVES),
                    submit(delay=1.5, tasks=12, cores=4.0, run=4.0, priority="urgent")]
        if FORM == "gangs":
            return [submit(kind="group", tasks=6, cores=4.0, run=10.0, priority="best_effort", **SAVES),
                    submit(delay=1.5, tasks=16, cores=4.0, run=3.0, priority="urgent")]
        if FORM == "services":
            return [submit(kind="service", tasks=3, run=0.0, priority="critical", cancel_after=12.0)]
        return [submit(tasks=16, run=60.0, cancel_after=world.random.uniform(1.0, 4.0))]

    try:
        await world.start()
        if not await world.up():
            return 2
        await world.keep_running(delay=0.3)
        troubles = [replace_programs] if AFTER else []
        troubles += [crashes] if FORM == "crash" else []
        troubles += [sick_machines] if FORM in ("failed", "crash", "services") else []
        troubles += [check_cancelled] if FORM == "cancel" else []
        running = [asyncio.create_task(trouble()) for trouble in troubles]
        while now() < ends:
            running += [asyncio.create_task(jobs) for jobs in next_jobs()]
            await asyncio.sleep(4.0 if FORM in ("preempt", "gangs") else 2.0)
        rules = dict(collections.Counter(rule for rule, _ in world.violations))
        print(f"{FORM}: {counts['copies']} copies, {counts['carried out']} carried out, {sum(world.starts.values())} starts; "
              f"started again, by who forgot: {dict(started_again)}; broken: {rules}", flush=True)
        return 1 if world.violations or started_again else 0
    finally:
        world.stop()


plain_start, plain_worker_init = Node.start, Worker.__init__


def start(node):
    node.world.command[0] = node.program
    plain_start(node)


def worker_init(self, *arguments):
    plain_worker_init(self, *arguments)
    self.__class__ = CopyingWorker
    self.forgotten_by = {}


Node.start, Worker.__init__ = start, worker_init
run_case(HERE, main, at_most_s=SECONDS + 25.0)
