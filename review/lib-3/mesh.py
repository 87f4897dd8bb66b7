"""Stand-ins of the store, instances and clients, and node processes, for the cases of the third review.

Everything runs on loopback addresses and the real clock. The stand-ins follow PROTOCOL.md. A case
writes what was sent, answered and run to record.txt and exits with 1 if the rule was broken, 0 if it
held, and 2 if the case could not run.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target", "packages", "godwitliftd", "godwitliftd")
HOST_HEADER = "ficu95.example"
HEARTBEAT = 0.87
GRACE = 6.0


class CannotRun(Exception):
    """The case could not be brought to the point at which the rule is checked."""


class Record:
    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8", buffering=1)

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.start:9.3f} {event} {text}\n")


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def read_message(reader):
    """Start line, fields by lower-case name and body; None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    start_line, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return start_line, fields, body
            body += chunk[:-2]
    return start_line, fields, await reader.readexactly(int(fields.get("content-length", 0)))


def encode_message(start_line, fields, body=b""):
    lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: rows, conditional writes, ranges and the feed."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.revision = 0
        self.changed = asyncio.Event()
        self.port = 0
        self.era = 1
        self.is_away = False
        self.writers = set()

    def copy(self):
        return dict(self.rows), list(self.log), self.revision

    def go_away(self):
        """Resets all connections; new ones are reset, too, until return_from()."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def return_from(self, copy):
        """Forgets what was written since the copy; its revisions are given out again."""
        rows, log, self.revision = copy
        self.rows, self.log = dict(rows), list(log)
        self.era += 1
        self.is_away = False

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def transact(self, writes, removals):
        self.revision += 1
        for table, key, value in writes:
            row = {"table": table, "part": "", "key": key, "value": value, "ver": self.revision}
            self.rows[(table, key)] = row
            self.log.append(row)
        for table, key in removals:
            if self.rows.pop((table, key), None):
                self.log.append({"table": table, "part": "", "key": key, "ver": self.revision,
                                 "deleted": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.transact([(table, key, base64.b64encode(value).decode())], [])

    async def serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                era = self.era
                await asyncio.sleep(0.004)
                status, result = await self.execute(message)
                if era != self.era or self.is_away:
                    break  # A connection on which a response is lost delivers nothing further.
                writer.write(encode_message(f"HTTP/1.1 {status} Answer",
                                            {"Content-Type": "application/json",
                                             "Store-Era": era}, json.dumps(result).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The caller has gone, or the case is over.
        finally:
            self.writers.discard(writer)
            writer.close()

    def result(self, **extra):
        return {"ver": self.revision, "now": f"{int(time.monotonic() * 1000)}ms", **extra}

    async def execute(self, message):
        target = message[0].split(" ")[1]
        path, _, query = target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path == "/godwitlift/rows-tx":
            call = json.loads(message[2])
            for expected in call["expected_rev"]:
                row = self.rows.get((expected["table"], expected["key"]))
                if (row["ver"] if row else 0) != expected["ver"]:
                    present = [self.rows.get((each["table"], each["key"]))
                               for each in call["expected_rev"]]
                    return 412, self.result(rows=[row for row in present if row])
            self.transact([(row["table"], row["key"], row["value"]) for row in call["writes"]],
                          [(row["table"], row["key"]) for row in call["remove"]])
            return 200, self.result()
        if path == "/godwitlift/rows-get":
            first, end = arguments.get("from", ""), arguments.get("target")
            rows = [row for (table, key), row in sorted(self.rows.items())
                    if table == arguments["table"] and key >= first and (not end or key < end)]
            return 200, self.result(rows=rows, has_more=False)
        if path == "/godwitlift/rows-feed":
            deadline = time.monotonic() + int(arguments["wait_ms"]) / 1000
            while True:
                changed = self.changed
                if int(arguments["after"]) > self.revision:
                    return 410, {}
                rows = [row for row in self.log if row["ver"] > int(arguments["after"])
                        and row["table"] == arguments["table"]]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, self.result(rows=rows)
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Instance:
    """An application instance beside a node. Runs requests as PROTOCOL.md says."""

    def __init__(self, name, service, record, slots=18):
        self.name, self.service, self.record, self.slots = name, service, record, slots
        self.id = f"i-{name}-1"
        self.born = int(time.time() * 1000)
        self.version = "v1"
        self.sequence = 0
        self.state = "ready"
        self.is_up = False
        self.port = 0
        self.control_port = 0
        self.work_seconds = lambda target: 0.05
        self.failing_share = 0.0  # Of the requests that it runs, with a 500.
        self.runs = []  # (time, attempt id, instance id, born, drain acknowledged at)
        self.answers = []  # (time, status) of what it ran
        self.drain_acknowledged = None
        self.listener = None
        self.writers = set()

    async def start(self, port):
        self.port = port
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.is_up = True

    def crash(self):
        """Ends the process: its connections are reset, and its address refuses new ones."""
        self.is_up = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write("instance-crashed", id=self.id, born=self.born)

    async def heartbeat(self):
        """One heartbeat in the present state; true if it is acknowledged."""
        self.sequence += 1
        state = self.state
        body = json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}",
                           "zone": "caruaru", "version": self.version, "slots": self.slots,
                           "state": state, "cold_remaining": "0ms",
                           "sequence": self.sequence, "born": self.born}).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
            writer.write(encode_message(
                f"POST /godwitlift/Instances.Heartbeat/{self.id} HTTP/1.1",
                {"Host": "node", "Content-Type": "application/json"}, body))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        is_acknowledged = answer is not None and answer[0].split(" ")[1] == "200"
        if is_acknowledged and state == "draining" and self.drain_acknowledged is None:
            self.drain_acknowledged = time.monotonic()
        return is_acknowledged

    async def keep_beating(self):
        while True:
            if self.is_up and self.control_port:
                await self.heartbeat()
            await asyncio.sleep(HEARTBEAT)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self.answer(message))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The node has given the request up, or the case is over.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message):
        start_line, fields, body = message
        method, target, _ = start_line.split(" ")
        if target == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            return encode_message(f"HTTP/1.1 {status}", {"X-Instance-Id": self.id,
                                                         "X-Server-Load": f"0,0,{self.slots}"})
        if fields.get("x-expect-instance", self.id) != self.id:
            return encode_message("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.id})
        attempt = fields.get("x-attempt-id", "none")
        self.runs.append((time.monotonic(), attempt, self.id, self.born, self.drain_acknowledged))
        self.record.write("run", instance=self.id, born=self.born, request=attempt,
                          method=method, target=target)
        await asyncio.sleep(self.work_seconds(target))
        text = f"{method} {target} {len(body)}".encode()
        status = "200 OK"
        if random.random() < self.failing_share:
            status = "500 Internal Server Error"
        self.answers.append((time.monotonic(), status[:3]))
        return encode_message(f"HTTP/1.1 {status}", {"X-Attempt-Id": attempt,
                                                  "X-Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1"},
                              text)


class Node:
    """A node process, started as deploy/system.toml has it, and its instance."""

    def __init__(self, mesh, number, service):
        self.mesh, self.name = mesh, f"sidecar-{number}"
        self.zone = mesh.zones[number % len(mesh.zones)]
        self.service = service
        ports = free_ports(6)
        (self.client_port, self.ready_port, self.control_port, self.peer_port, self.metrics_port,
         self.app_port) = ports
        self.instance = Instance(self.name, service, mesh.record, mesh.slots)
        self.settings = os.path.join(mesh.folder, self.name + ".json")
        self.log = os.path.join(mesh.folder, self.name + ".log")
        self.process = None
        self.takes_clients = False  # For cases that choose the nodes of their clients by it.

    def start(self, is_first_start):
        listen = {"clients": self.client_port, "readiness": self.ready_port,
                  "announcements": self.control_port, "peers": self.peer_port,
                  "metrics": self.metrics_port}
        document = {
            "host": self.name, "availability_zone": self.zone, "service": self.service,
            "backend_server": f"127.0.0.1:{self.app_port}",
            "listen": {name: f"127.0.0.1:{port}" for name, port in listen.items()},
            "store": f"127.0.0.1:{self.mesh.store.port}", "first_start": is_first_start,
            "limits": self.mesh.limits,
            "bounds": {"announcement_interval": "870ms", "configuration_apply_limit": "2000ms",
                       "stop_timeout": "6s", "retry_ratio": 0.2, "retry_slack": 64,
                       "retry_window": "10s", **self.mesh.bounds}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(document, file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [NODE, "mesh"], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={**environment, "GODWITLIFT_SETTINGS": self.settings})
        self.mesh.record.write("node-started", node=self.name, pid=self.process.pid)

    def signal(self, number):
        self.process.send_signal(number)
        self.mesh.record.write("signal", node=self.name, signal=signal.Signals(number).name)

    def resident_bytes(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(encode_message("GET /godwitlift/ready HTTP/1.1", {"Host": "node"}))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer[0].split(" ")[1] == "200"


class Platform:
    """Checks a node's readiness once a second; two misses in a row take it out."""

    def __init__(self, record, node):
        self.record, self.node = record, node
        self.is_in = True

    async def run(self):
        misses = 0
        while True:
            misses = 0 if await self.node.is_ready() else misses + 1
            if self.is_in != (misses < 2):
                self.is_in = misses < 2
                self.record.write("platform", node=self.node.name, takes_clients=self.is_in)
            await asyncio.sleep(1.0)


class Mesh:
    """A store, nodes and instances."""

    def __init__(self, record, node_count, services=("pedidos",), zones=("caruaru",), slots=18,
                 limits=None, bounds=None):
        self.record, self.zones, self.slots = record, zones, slots
        self.bounds = bounds or {}
        self.limits = limits or {"memory_mb": 260, "descriptors": 4100, "link_mbps": 1000.0}
        self.folder = tempfile.mkdtemp(prefix="godwitlift-review-")
        self.store = Store()
        self.tasks = []
        self.nodes = [Node(self, number, services[number % len(services)])
                      for number in range(node_count)]
        self.node_count = node_count
        self.removed = []
        self.services = services
        self.last_request = 0

    def routes(self):
        return [("look", "safe", "12s"), ("order", "unsafe", "12s")]

    def configuration(self, version=1):
        entries = [{"entry_kind": "routes", "metadata": {"name": f"r-{prefix}"},
                    "spec": {"host": HOST_HEADER, "prefix": f"/{prefix}/", "kind": kind,
                             "timeout": timeout, "target_latency": "500ms", "priority": 0,
                             "service": self.services[0], "max_attempts": 2}}
                   for prefix, kind, timeout in self.routes()]
        entries += [{"entry_kind": "services", "metadata": {"name": name},
                     "spec": {"health_path": "/health", "max_connections": 130, "protocol": "h1",
                              "tls": False}} for name in self.services]
        entries.append({"entry_kind": "limits", "metadata": {},
                        "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                                 "header_timeout": "3000ms", "idle_timeout": "15000ms"}})
        return json.dumps({"version": f"{version:08x}", "resources": entries}).encode()

    async def start(self):
        await self.store.start()
        self.store.put("op", "config", self.configuration())
        for node in self.nodes:
            await self.start_node(node, True)
        await wait_for(self.are_all_served, 15, "every node ready and serving")

    async def start_node(self, node, is_first_start):
        await node.instance.start(node.app_port)
        node.instance.control_port = node.control_port
        node.start(is_first_start)
        self.tasks.append(asyncio.create_task(node.instance.keep_beating()))

    async def add_node(self, version):
        """A machine that is added during the day, with an instance of that version."""
        self.node_count += 1
        node = Node(self, self.node_count - 1, self.services[0])
        node.instance.version = version
        self.nodes.append(node)
        await self.start_node(node, False)
        return node

    async def are_all_served(self):
        for node in self.nodes:
            if not await node.is_ready():
                return False
            if (await self.request(node, "GET", "/look/ready")).status != 200:
                return False
        return True

    async def request(self, node, method, target, timeout=2.0, attempt=None, body=b""):
        """One client attempt on a new connection."""
        attempt = attempt or self.next_id()
        outcome = Outcome(attempt)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.client_port)
            writer.write(encode_message(f"{method} {target} HTTP/1.1",
                                        {"Host": HOST_HEADER, "X-Attempt-Id": attempt,
                                         "X-Deadline-Ms": int(timeout * 1000)}, body))
            answer = await asyncio.wait_for(read_message(reader), timeout + 0.5)
            writer.close()
            outcome.set_answer(answer)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            outcome.problem = type(error).__name__
        self.record.write("client", node=node.name, request=attempt, target=target,
                          status=outcome.status, problem=outcome.problem)
        return outcome

    def next_id(self):
        self.last_request += 1
        return f"{random.getrandbits(32):08x}{self.last_request:08x}"

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in [*self.nodes, *self.removed]:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Outcome:
    def __init__(self, attempt):
        self.attempt, self.status, self.problem, self.answer = attempt, None, None, None

    def set_answer(self, answer):
        self.answer = answer
        if answer is None:
            self.problem = "closed"
        else:
            self.status = int(answer[0].split(" ")[1])


async def wait_for(condition, seconds, description):
    deadline = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > deadline:
            raise CannotRun(f"{description}: not within {seconds} s")
        await asyncio.sleep(0.05)


def main(scenario, folder, make_mesh):
    """Runs \\p scenario(mesh, has_trouble), which returns the list of violations."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write("begin", trouble=int(has_trouble))

    async def run():
        mesh = make_mesh(record)
        try:
            await mesh.start()
            return await asyncio.wait_for(scenario(mesh, has_trouble), 105)
        finally:
            mesh.stop()

    if not os.access(NODE, os.X_OK):
        print("the node is not built")
        sys.exit(2)
    try:
        violations = asyncio.run(run())
    except CannotRun as problem:
        record.write("cannot-run", problem=problem)
        print(f"could not run: {problem}")
        sys.exit(2)
    except Exception:  # A fault of the case itself shows nothing about the system.
        record.write("cannot-run", problem=traceback.format_exc().replace("\n", " | "))
        traceback.print_exc()
        sys.exit(2)
    for violation in violations:
        record.write("violation", text=violation)
        print(violation)
    record.write("end", violations=len(violations))
    print("BROKEN" if violations else "held")
    sys.exit(1 if violations else 0)
