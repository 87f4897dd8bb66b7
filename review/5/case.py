"""An instance deregisters while the store is down; then all nodes are killed, and a heartbeat that was
sent before the deregistration arrives late."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from harness import *  # noqa: E402,F403

DRAIN, STABILITY = 2.0, 3.0
# Seconds from the moment at which the store goes down.
DEREGISTERED, KILLED, RESTARTED, STORE_BACK, HEARTBEAT_ARRIVES, END = 0.3, 0.6, 1.0, 1.5, 5.0, 7.0


async def send_forever(deployment, sent):
    """The clients: a request to each node every 50 ms."""
    requests, count = [], 0
    try:
        while True:
            for node in deployment.nodes:
                sent[f"r{count}-{node.name}"] = time.monotonic()
                requests.append(asyncio.create_task(node.request(f"r{count}-{node.name}",
                                                                 "/look/x")))
            count += 1
            await asyncio.sleep(0.05)
    except asyncio.CancelledError:
        await asyncio.gather(*requests)


async def scenario(deployment):
    record, store = deployment.record, deployment.store
    for number, zone in enumerate(["z1", "z2", "z3"]):
        deployment.add(f"side-{number + 1}", zone, "desk", lambda target: 0.2)
    deployment.configure(1, [route("look", "/look/", "desk"), service("desk"), LIMITS])
    await deployment.start()
    sent = {}
    clients = asyncio.create_task(send_forever(deployment, sent))
    await asyncio.sleep(1)
    node = deployment.nodes[0]
    leaving = node.instance
    begin = time.monotonic()

    async def wait_for(moment):
        await asyncio.sleep(max(0, begin + moment - time.monotonic()))

    if TROUBLE:
        record("store: down")
        store.go_away()
    late_call, late_body = leaving.next_beat()
    leaving.beats.cancel()
    record(f"{leaving.id} sends a heartbeat ({late_body['state']}), which is held up on its way")
    await wait_for(DEREGISTERED)
    leaving.state = "leaving"
    status = await call_control(node.control, f"Instances.Deregister/{leaving.id}", {})
    acknowledged = time.monotonic()
    record(f"{leaving.id} deregisters at {node.name}: {status}")
    if status != 200:
        raise CannotRun("the deregistration was not acknowledged")
    if TROUBLE:
        await wait_for(KILLED)
        for each in deployment.nodes:
            each.signal(signal.SIGKILL)
            each.process.wait()
            each.write_settings(False)
        await wait_for(RESTARTED)
        for each in deployment.nodes:
            each.start()
        await wait_for(STORE_BACK)
        record("store: back, with all that it has acknowledged")
        await store.come_back()
    await wait_for(HEARTBEAT_ARRIVES)
    status = await call_control(node.control, late_call, late_body)
    record(f"the late heartbeat of {leaving.id} reaches {node.name}: {status}")
    await wait_for(END)
    clients.cancel()
    await clients
    # In touch: `stability` after the restart of the machines and the return of the store.
    in_touch = begin + STORE_BACK + STABILITY
    reached = [run[1] for run in leaving.runs
               if run[0] > acknowledged + DRAIN and sent[run[1]] > in_touch]
    return [f"DRAIN: {len(reached)} requests reached {leaving.id} more than {DRAIN} s after its "
            f"leaving was acknowledged, sent by machines in touch: {' '.join(reached)}"] \
        if reached else []


main(FOLDER, scenario)
