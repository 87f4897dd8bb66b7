"""A node is killed while answers that pass it wait behind others on pipelined connections; see claim.txt."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

from harness import BackendServer, Cluster, HttpStream, configuration, is_trouble_on, run_case  # noqa: E402

# The machines of cordao-mesh.
SERVICES = ["pedidos"] * 7 + ["arte"] * 5
SLOTS = 18
ZONES = 4
# The machine whose clients are observed, and the one that is killed: beside an instance of arte, in the
# same zone.
OBSERVED, KILLED = 0, 8
CLIENTS = 60
# A stock-check: within its route's timeout of 800 ms, its deadline of 1,500 ms and its largest work.
STOCK_WORK_SECONDS = 0.6
STOCK_TIMEOUT, STOCK_DEADLINE_MS = "800ms", 1500
STOCK_BYTES = 5000
# A proof-download: its mean work and deadline, and an answer of less than its largest size.
PROOF_WORK_SECONDS = 0.096
PROOF_DEADLINE_MS = 1500
PROOF_BYTES = 400000
KILL_AFTER_SECONDS = 4.0
RESTART_SECONDS = 0.5
SECONDS = 8.0
# Lost answers that the rule allows a machine.
ALLOWED = 3


class Instance(BackendServer):
    """Answers stock-checks and proof-downloads, and records when it has answered in full."""

    answered = {}  # request id -> time at which the whole answer was handed to the kernel

    async def announce(self, announcement_port, state=None, sequence=None):
        self.sequence += 1
        body = json.dumps({"service": self.service, "address": self.address, "zone": "z",
                           "version": "v1", "slots": SLOTS, "state": self.state,
                           "cold_remaining": "0ms", "sequence": self.sequence,
                           "born": self.started_unix_ms}).encode()
        return await self.call_node(announcement_port, "Heartbeat", body, False)

    async def handle_message(self, stream, message):
        start_line, fields, _ = message
        target = start_line.split(" ")[1]
        if target == "/health" or fields.get("x-expect-instance", self.id) != self.id:
            return await super().handle_message(stream, message)
        id = fields["x-attempt-id"]
        self.executions.setdefault(id, []).append((time.monotonic(), self.id, None, target))
        is_proof = target.startswith("/proof/")
        await asyncio.sleep(PROOF_WORK_SECONDS if is_proof else STOCK_WORK_SECONDS)
        await stream.send_message("HTTP/1.1 200 OK", {"X-Attempt-Id": id, "X-Response-Seal": "s"},
                                  b"x" * (PROOF_BYTES if is_proof else STOCK_BYTES))
        self.answered[id] = time.monotonic()
        return True


def request_bytes(target, id, deadline_ms):
    return (f"GET {target} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n\r\n").encode()


async def pipelining_client(cluster, record, losses, until):
    """Sends a stock-check and, before its answer, a proof-download; keeps its connection."""
    machine = cluster.machines[OBSERVED]
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", machine.client_port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        stream = HttpStream(reader, writer)
        is_kept = False
        while time.monotonic() < until:
            stock, proof = cluster.next_id("stock"), cluster.next_id("proof")
            sent = time.monotonic()
            writer.write(request_bytes("/stock/x", stock, STOCK_DEADLINE_MS)
                         + request_bytes("/proof/x", proof, PROOF_DEADLINE_MS))
            answers = []
            try:
                for _ in range(2):
                    answer = await asyncio.wait_for(stream.read_message(), 4)
                    if answer is None:
                        break
                    answers.append(answer[0].split(" ")[1])
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            age = time.monotonic() - sent
            record.write(f"sent {stock} {proof} on a {'kept' if is_kept else 'new'} connection: "
                         f"answers {answers} after {age:.3f} s")
            if not answers:
                losses.append((stock, proof, sent, age, is_kept))
            if len(answers) < 2:
                break
            is_kept = True
        writer.close()


async def play(cluster, record):
    cluster.losses = []
    await cluster.start(configuration(
        {"stock": {"service": "pedidos", "timeout": STOCK_TIMEOUT, "target_latency": "400ms"},
         "proof": {"service": "arte", "kind": "download", "timeout": "1500ms",
                   "target_latency": "400ms"}}, ["pedidos", "arte"]))
    await asyncio.sleep(3)
    until = time.monotonic() + SECONDS
    clients = []
    for _ in range(CLIENTS):
        clients.append(asyncio.create_task(pipelining_client(cluster, record, cluster.losses, until)))
        await asyncio.sleep(STOCK_WORK_SECONDS / CLIENTS)
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if is_trouble_on():
        killed = cluster.machines[KILLED]
        killed.kill()
        record.write(f"killed the node of {killed.name}")
        await asyncio.sleep(RESTART_SECONDS)
        killed.start()
    await asyncio.gather(*clients)


def check(cluster, record):
    killed = cluster.machines[KILLED].instance.id
    count = 0
    for stock, _, sent, age, is_kept in cluster.losses:
        runs = cluster.executions.get(stock, [])
        is_passed_on = bool(runs) and all(run[1] != killed for run in runs)
        answered = Instance.answered.get(stock)
        is_in_time = answered is not None and answered - sent < 0.8 and age < 0.8
        record.write(f"lost {stock}: runs {[(round(run[0] - sent, 3), run[1]) for run in runs]}, answered by "
                     f"the instance after {answered and round(answered - sent, 3)} s, "
                     f"connection closed after {age:.3f} s")
        count += is_kept and is_passed_on and is_in_time
    record.say(f"{count} stock-checks that a sound instance had answered in time were lost on kept connections "
               f"at {cluster.machines[OBSERVED].name}")
    if count > ALLOWED:
        return [f"LOST: {count} requests from kept connections were passed on to sound instances, and the "
                f"connection was closed without an answer; allowed are {ALLOWED}"]
    return []


run_case(FOLDER, lambda record: Cluster(record, SERVICES, zones=ZONES, instance_class=Instance,
                                        limits={"memory_mb": 260, "descriptors": 4100,
                                                "link_mbps": 1000}), play, check)
