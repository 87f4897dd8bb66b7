"""A heartbeat of another writer, with an id that cannot be read, reaches one node while requests on
kept connections run."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from harness import *  # noqa: E402,F403

CLIENTS = 8
WORK = 0.6


async def keep_sending(deployment, node, number, ended):
    """Requests one after the other on one kept connection; adds those that got no answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.outbound)
    stream = Stream(reader, writer)
    for count in range(5):
        request = f"c{number}-{count}"
        deployment.record(f"client sends {request} to {node.name}, connection {number}")
        await stream.send("GET /look/x HTTP/1.1", {"Host": "a.example", "X-Attempt-Id": request,
                                                   "X-Deadline-Ms": "2000"})
        answer = await asyncio.wait_for(stream.read(), 4)
        if answer is None:
            deployment.record(f"connection {number} ends, no answer to {request}")
            ended.append((request, count))
            return
        deployment.record(f"client gets {answer[0]} for {request}")
    writer.close()


async def scenario(deployment):
    for number, zone in enumerate(["z1", "z1", "z2"]):
        deployment.add(f"side-{number + 1}", zone, "desk", lambda target: WORK)
    deployment.configure(1, [route("look", "/look/", "desk"), service("desk"), LIMITS])
    await deployment.start()
    node = deployment.nodes[0]
    ended = []
    clients = [asyncio.create_task(keep_sending(deployment, node, number, ended))
               for number in range(CLIENTS)]
    await asyncio.sleep(2 * WORK + WORK / 2)  # The third request of each connection runs.
    if TROUBLE:
        deployment.record(f"another writer sends a heartbeat to {node.name}: id 'i-' + bytes fe ff")
        status = await call_control(node.control, b"Instances.Heartbeat/i-\xfe\xff", {
            "service": "desk", "address": f"127.0.0.1:{node.app}", "zone": "z1", "version": "v1",
            "slots": SLOTS, "state": "draining", "cold_remaining": "0ms", "sequence": 1,
            "born": node.instance.born})
        deployment.record(f"another writer gets {status}")
    await asyncio.gather(*clients)
    exit_code = node.process.poll()
    if exit_code is not None:
        deployment.record(f"the process of {node.name} has ended by itself: {exit_code}")
    ran = {run[1] for each in deployment.nodes for run in each.instance.runs}
    lost = [request for request, count in ended if request in ran and count > 0]
    if len(lost) > 3:
        return [f"LOST: {len(lost)} requests on kept connections were passed on to sound instances,"
                f" and the connections closed without an answer: {' '.join(lost)}"]
    return []


main(FOLDER, scenario)
