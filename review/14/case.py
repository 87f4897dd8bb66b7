"""EXPOSURE: an order of a roll-out that the store gives a lower version after it came back older."""

import asyncio
import json
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))

import mesh as lib  # noqa: E402

SERVICE = "catalogue"
DURATION = 12.0
EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK = 0.1, 50, 5.0
STABILITY = 3.0
STORM_CHANGES, STORM_GAP = 31, 0.16
REQUESTS_PER_SECOND = 80
FAILING_SHARE = 0.6    # Of the answers of the bad version, from BAD_AFTER on.
BAD_AFTER = 7.0        # Seconds after the order; a version may be bad at once or later.
BOUNDS = {"configuration_apply_limit": "2500ms", "exposure_share": EXPOSE_SHARE,
          "exposure_slack": EXPOSE_SLACK, "rollback_limit": "5000ms", "retry_slack": 218}


class Operator:
    """Writes to op/ and writes its newest rows again when the store has come back older."""

    def __init__(self, mesh):
        self.mesh, self.version, self.written = mesh, 1, {}

    def put(self, key, value):
        self.written[key] = value
        self.mesh.store.put("op", key, value)
        self.mesh.record.write("operator", key=key, revision=self.mesh.store.revision)

    def change_configuration(self):
        self.version += 1
        self.put("config", self.mesh.configuration(self.version))

    def order(self, target):
        self.put(f"rollout/{SERVICE}", json.dumps(
            {"service": SERVICE, "target": target, "duration": f"{int(DURATION)}s"}).encode())

    def write_again(self):
        for key, value in self.written.items():
            self.put(key, value)

    def status(self):
        row = self.mesh.store.rows.get(("status", f"rollout/{SERVICE}"))
        return json.loads(lib.base64.b64decode(row["value"])) if row else {}


async def send_traffic(mesh, sent):
    while True:
        nodes = [node for node in mesh.nodes if node.takes_clients]
        attempt = mesh.next_id()
        node = random.choice(nodes)
        sent[attempt] = time.monotonic(), node
        asyncio.create_task(mesh.request(node, "GET", "/look/a", attempt=attempt))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def add_version(mesh, version):
    nodes = []
    for _ in range(3):
        node = await mesh.add_node(version)
        node.started = time.monotonic()
        nodes.append(node)
    for node in nodes:
        await lib.wait_for(node.is_ready, 5, f"{node.name} ready")
        node.takes_clients = True
    return nodes


async def scenario(mesh, has_trouble):
    operator = Operator(mesh)
    operator.written["config"] = mesh.configuration(1)
    old = list(mesh.nodes)
    for node in old:
        node.takes_clients = True
    sent = {}
    mesh.tasks.append(asyncio.create_task(send_traffic(mesh, sent)))
    await asyncio.sleep(1.0)
    copy = mesh.store.copy()
    mesh.record.write("copy", revision=mesh.store.revision)
    for _ in range(STORM_CHANGES):
        operator.change_configuration()
        await asyncio.sleep(STORM_GAP)
    good = await add_version(mesh, "v2")
    operator.order("v2")
    await asyncio.sleep(1.0)
    if has_trouble:
        mesh.store.go_away()
        mesh.record.write("store-away")
        await asyncio.sleep(0.5)
        mesh.store.return_from(copy)
        mesh.record.write("store-back", era=mesh.store.era, revision=mesh.store.revision)
        operator.write_again()

    async def is_completed():
        status = operator.status()
        if status.get("target") == "v2" and status.get("state") == "rolled_back":
            raise lib.CannotRun("the good version was rolled back")
        return status.get("target") == "v2" and status.get("state") == "completed"

    await lib.wait_for(is_completed, DURATION + 3, "completion of the good version")
    mesh.record.write("status", **operator.status())
    for node in old:  # At `completed`, the old instances stop immediately.
        node.takes_clients = False
        node.instance.crash()
        node.signal(signal.SIGTERM)
        mesh.nodes.remove(node)
        mesh.removed.append(node)
    await asyncio.sleep(15.0)  # Longer than stability; the roll-out is over for everyone.

    bad = await add_version(mesh, "v3")
    ordered = time.monotonic()
    operator.order("v3")
    await asyncio.sleep(BAD_AFTER)
    for node in bad:
        node.instance.failing_share = FAILING_SHARE
    mesh.record.write("bad-from-now", version="v3")
    await asyncio.sleep(DURATION - BAD_AFTER + 1.0)
    deadline = ordered + DURATION
    mesh.record.write("status", **operator.status())

    def runs_of(nodes):
        return [run for node in nodes for run in node.instance.runs if ordered <= run[0] <= deadline]

    def is_in_touch(run):
        """A machine is in touch from stability after its start on."""
        time_sent, node = sent[run[1]]
        return time_sent >= node.started + STABILITY

    reached_bad = [run for run in runs_of(bad) if is_in_touch(run)]
    reached_all = runs_of(bad + good)
    failures = sorted(answer[0] for node in bad for answer in node.instance.answers
                      if answer[1] == "500")
    limit = EXPOSE_SHARE * len(reached_all) + EXPOSE_SLACK
    mesh.record.write("exposure", bad=len(reached_bad), all=len(reached_all), limit=f"{limit:.0f}",
                      failures=len(failures))
    violations = []
    if len(reached_bad) > limit:
        violations.append(f"EXPOSURE: the bad version got {len(reached_bad)} of {len(reached_all)} "
                          f"requests between the order and its deadline; the limit is {limit:.0f}")
    if len(failures) >= 50:
        late = [run for node in bad for run in node.instance.runs
                if sent[run[1]][0] > failures[49] + ROLLBACK and is_in_touch(run)]
        if late:
            violations.append(f"EXPOSURE: the bad version got {len(late)} requests that were sent "
                              f"later than {ROLLBACK:.0f} s after its 50th bad answer")
    return violations


class RolloutMesh(lib.Mesh):
    def routes(self):
        return [("look", "safe", "2s")]


lib.main(scenario, FOLDER, lambda record: RolloutMesh(record, 3, services=(SERVICE,),
                                                      slots=12, bounds=BOUNDS))
