"""The store is away for a second and comes back from a copy a few seconds old; the operator's next
configuration is given a version that the nodes have already seen."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from harness import *  # noqa: E402,F403

CONFIG_APPLY, STABILITY, MAX_STRETCH = 2.0, 3.0, 5.0


def resources(look, extras):
    return [route("look", "/look/", look),
            *[route(f"extra-{number}", f"/extra-{number}/", "desk") for number in extras],
            service("desk"), service("ledger"), LIMITS]


async def scenario(deployment):
    store = deployment.store
    for number, (zone, name) in enumerate([("z1", "desk"), ("z2", "ledger"), ("z3", "desk")]):
        deployment.add(f"side-{number + 1}", zone, name)
    deployment.configure(1, resources("desk", []))
    await deployment.start()
    copy = store.copy()
    deployment.record(f"store: a copy is taken at ver {store.ver}")
    await asyncio.sleep(1)
    deployment.configure(2, resources("desk", [2]))
    await asyncio.sleep(1)
    deployment.configure(3, resources("desk", [2, 3]))
    await asyncio.sleep(0.8)
    if TROUBLE:
        deployment.record("store: away")
        store.go_away()
        await asyncio.sleep(1)
        await store.come_back(copy)
        deployment.record(f"store: back from the copy of ver {store.ver}, Store-Era {store.era}")
        deployment.configure(3, resources("desk", [2, 3]))  # The operator's row, written again.
        await asyncio.sleep(0.5)
    # Moves /look/ to the other service and adds a route.
    deployment.configure(4, resources("ledger", [2, 3, 4]))
    # The longest bound that the rules allow, however their spans are added up.
    await asyncio.sleep(CONFIG_APPLY + STABILITY + MAX_STRETCH + 1)
    old = []
    for count in range(10):
        for node in deployment.nodes:
            status, body = await node.request(f"look-{count}-{node.name}", "/look/x")
            if status == 200 and body.startswith((b"i-side-1 ", b"i-side-3 ")):
                old.append(f"look-{count}-{node.name} was run by the old service")
            status, _ = await node.request(f"extra-{count}-{node.name}", "/extra-4/x")
            if status == 404:
                old.append(f"extra-{count}-{node.name} got 404 though the route is there")
        await asyncio.sleep(0.3)
    feeds = sorted({target for _, target in store.calls[-12:] if "rows-feed" in target})
    deployment.record(f"the nodes' latest reads: {feeds}; the store is at ver {store.ver}")
    return [f"CONFIG: {len(old)} of 60 requests, sent 11 s and more after the acknowledgement of "
            f"00000004, were handled as only 00000003 allows: {old[0]}; {old[1]}"] if old else []


main(FOLDER, scenario)
