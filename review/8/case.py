"""A request that crashes instances, whose path other callers ask for with success; see claim.txt."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

from harness import BackendServer, Cluster, configuration, is_trouble_on, run_case  # noqa: E402

# The machines of cordao-mesh.
SERVICES = ["pedidos"] * 7 + ["arte"] * 5
CRASHING_CALLER = "arte"
PATH = "/stock/today"
STABILITY = 3.0
CRASH_LIMIT = 3
CRASH_RETRIES = 3
INSTANCE_DOWN_SECONDS = 3.0
WORK_SECONDS = 0.05
# The crashing request comes again once in this time, at a random machine of its caller.
REPEAT_SECONDS = 1.0
SPELL_SECONDS = 20.0
# Each machine of the other caller asks for the same path about once in this time.
ORDINARY_SECONDS = 0.5
# For a run that shows the quarantine at work: OTHER_CALLERS=0 lets them ask for other paths.
ORDINARY_PATH = PATH if os.environ.get("OTHER_CALLERS", "1") != "0" else "/stock/yesterday"


class Instance(BackendServer):
    """Ends when it runs the path for one caller, and answers it for the others."""

    async def handle_message(self, stream, message):
        start_line, fields, _ = message
        target = start_line.split(" ")[1]
        if target == "/health" or fields.get("x-expect-instance", self.id) != self.id:
            return await super().handle_message(stream, message)
        id = fields["x-attempt-id"]
        self.executions.setdefault(id, []).append((time.monotonic(), self.id, None, target))
        is_crashing = is_trouble_on() and target == PATH \
            and fields.get("x-caller-service") == CRASHING_CALLER
        if is_crashing:
            self.crashes.setdefault(PATH, []).append((time.monotonic(), self.id, id))
        await asyncio.sleep(WORK_SECONDS)
        if is_crashing:
            self.crash()
            return False
        await stream.send_message("HTTP/1.1 200 OK", {"X-Attempt-Id": id, "X-Response-Seal": "s"}, b"x" * 500)
        return True


async def ordinary_client(cluster, machine, until):
    while time.monotonic() < until:
        await cluster.request(machine, ORDINARY_PATH)
        await asyncio.sleep(random.uniform(0.5, 1.5) * ORDINARY_SECONDS)


async def send_crashing(cluster):
    machine = random.choice([each for each in cluster.machines if each.service == CRASHING_CALLER])
    id = cluster.next_id("crash")
    await cluster.request(machine, PATH, id=id)


async def restart_instance(cluster, record, machine):
    while True:
        if not machine.instance.listener.is_serving():
            record.write(f"instance of {machine.name} ended")
            await asyncio.sleep(INSTANCE_DOWN_SECONDS)
            await machine.instance.restart_after_crash()
            record.write(f"started {machine.instance.id} at {machine.name}")
        await asyncio.sleep(0.02)


async def play(cluster, record):
    await cluster.start(configuration({"stock": {"service": "pedidos", "max_attempts": 1}},
                                      ["pedidos", "arte"]))
    await asyncio.sleep(3)
    for machine in cluster.machines:
        cluster.tasks.append(asyncio.create_task(restart_instance(cluster, record, machine)))
    until = time.monotonic() + 2 + SPELL_SECONDS
    clients = [asyncio.create_task(ordinary_client(cluster, machine, until))
               for machine in cluster.machines if machine.service != CRASHING_CALLER]
    await asyncio.sleep(2)
    while time.monotonic() < until:
        clients.append(asyncio.create_task(send_crashing(cluster)))
        await asyncio.sleep(REPEAT_SECONDS)
    await asyncio.gather(*clients)


def check(cluster, record):
    runs = cluster.crashes.get(PATH, [])
    record.say(f"the request reached instances {len(runs)} times")
    if len(runs) < CRASH_LIMIT:
        return []
    known = runs[CRASH_LIMIT - 1][0] + WORK_SECONDS + STABILITY
    late = {id for begun, _, id in runs if begun > known}
    record.say(f"{len(late)} of them by client attempts later than {STABILITY:g} s after the third crash")
    if len(late) > CRASH_RETRIES:
        return [f"BUDGET: the request reached instances in {len(late)} retries sent later than "
                f"{STABILITY:g} s after it had crashed the third; allowed are {CRASH_RETRIES}"]
    return []


run_case(FOLDER, lambda record: Cluster(record, SERVICES, zones=4, instance_class=Instance), play, check)
