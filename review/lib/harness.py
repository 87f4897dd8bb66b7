"""Stand-ins and helpers of the review's scripts: the platform's store, application instances, the
mesh nodes as the deploy file starts them, clients, and the record of a run."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
USED_PORTS = set()
# As in the small site files.
SLOTS = 18
HEARTBEAT = 0.87
GRACE = 6.0


def run_command():
    """The command of the role in the deploy file, split at spaces."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split(" ")
    return [os.path.join(ROOT, command[0])] + command[1:]


def free_ports(count):
    """Free ports below the ephemeral range, whose ports outgoing connections may occupy."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            ports.append(port)
    return ports


class Record:
    """Writes record.txt in the folder of the case; times are seconds from the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


class Stream:
    """HTTP/1.1 messages on one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def read(self):
        """Returns start line, fields by lower-case name and body; None at the end of the stream."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            start_line, *lines = head[:-4].split("\r\n")
            fields = {}
            for line in lines:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            return start_line, fields, await self.reader.readexactly(
                int(fields.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def send(self, start_line, fields, body=b""):
        lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        await self.writer.drain()


class Store:
    """The platform's store: rows with one counter, conditional transactions, and a feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.log = []
        self.ver = 0
        self.era = 1
        self.oldest = 0
        self.silent = set()  # Connections on which an answer was lost.
        self.changed = asyncio.Event()
        self.writers = set()
        self.calls = []

    async def start(self, port):
        self.port = port
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def put(self, table, key, value):
        self.ver += 1
        row = {"table": table, "part": "", "key": key, "ver": self.ver,
               "value": base64.b64encode(value).decode()}
        self.rows[(table, key)] = row
        self.log.append(row)
        self._wake()

    def remove(self, table, key):
        self.ver += 1
        self.rows.pop((table, key), None)
        self.log.append({"table": table, "part": "", "key": key, "ver": self.ver, "deleted": True})
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return dict(self.rows), list(self.log), self.ver

    def go_away(self):
        """Stops: no call is answered any more, new connections are refused."""
        self.listener.close()
        self.silent |= self.writers

    async def come_back(self, copy=None):
        """Returns, from `copy` if it is given. Connections of before stay silent."""
        if copy is not None:
            self.rows, self.log, self.ver = dict(copy[0]), list(copy[1]), copy[2]
            self.era += 1
        await self.start(self.port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        stream = Stream(reader, writer)
        try:
            while (message := await stream.read()) is not None:
                if writer in self.silent:
                    continue
                status, body = await self.execute(message)
                if writer in self.silent:
                    continue
                await stream.send(f"HTTP/1.1 {status} X", {"Content-Type": "application/json",
                                                           "Store-Era": str(self.era)},
                                  json.dumps(body).encode())
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def execute(self, message):
        start_line, _, body = message
        _, target, _ = start_line.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        await asyncio.sleep(0.004)
        self.calls.append((time.monotonic(), target))
        if path.endswith("rows-tx"):
            call = json.loads(body)
            if any(row["table"] in ("op", "servers") for row in call["writes"] + call["remove"]):
                return 403, {}
            present = [self.rows.get((row["table"], row["key"])) for row in call["expected_rev"]]
            if any((row["ver"] if row else 0) != expected["ver"]
                   for row, expected in zip(present, call["expected_rev"])):
                return 412, self.result(rows=[row for row in present if row])
            for row in call["writes"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
                self.record(f"store: a node writes {row['table']}/{row['key']}, ver {self.ver}")
            for row in call["remove"]:
                self.remove(row["table"], row["key"])
                self.record(f"store: a node removes {row['table']}/{row['key']}, ver {self.ver}")
            return 200, self.result()
        if path.endswith("rows-get"):
            start, end = arguments.get("from", ""), arguments.get("target")
            rows = [row for (table, key), row in sorted(self.rows.items())
                    if table == arguments["table"] and key >= start and (end is None or key < end)]
            return 200, self.result(rows=rows, has_more=False)
        if path.endswith("rows-feed"):
            return await self.feed(arguments)
        return 404, {}

    async def feed(self, arguments):
        after = int(arguments["after"])
        deadline = time.monotonic() + int(arguments["wait_ms"]) / 1000
        while True:
            if after < self.oldest or after > self.ver:
                return 410, {}
            rows = [row for row in self.log
                    if row["ver"] > after and row["table"] == arguments["table"]]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, self.result(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def result(self, **extra):
        return {"ver": self.ver, "now": f"{int(time.monotonic() * 1000)}ms", **extra}


class Instance:
    """An application instance. It runs `slots` requests at once, queues others, drops a request
    whose connection closes, and sends heartbeats to the node of its machine."""

    def __init__(self, record, name, service, port, control_port, work=lambda target: 0.1):
        self.record = record
        self.id = f"i-{name}"
        self.service = service
        self.port = port
        self.control_port = control_port
        self.work = work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"  # Or draining, or leaving after a deregistration.
        self.runs = []  # (time, request id, target)
        self.slots = asyncio.Semaphore(SLOTS)
        self.writers = set()
        self.beats = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def begin_heartbeats(self):
        self.beats = asyncio.create_task(self.beat_forever())

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT)

    async def beat(self):
        return await call_control(self.control_port, *self.next_beat())

    def next_beat(self):
        """The call and body of the next heartbeat."""
        self.sequence += 1
        return f"Instances.Heartbeat/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1",
            "version": "v1", "slots": SLOTS, "state": self.state, "cold_remaining": "0ms",
            "sequence": self.sequence, "born": self.born}

    def notices(self):
        """What an instance that leaves says in all its answers."""
        return {} if self.state == "ready" else {"Server-Leaving": "1"}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        stream = Stream(reader, writer)
        try:
            while (message := await stream.read()) is not None:
                start_line, fields, body = message
                _, target, _ = start_line.split(" ")
                if target == "/health":
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    await stream.send(f"HTTP/1.1 {status}",
                                      {"X-Instance-Id": self.id, "X-Server-Load": f"0,0,{SLOTS}",
                                       **self.notices()})
                    continue
                if fields.get("x-expect-instance", self.id) != self.id:
                    await stream.send("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.id})
                    continue
                if not await self.run(stream, fields, target, body):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, stream, fields, target, body):
        request = fields.get("x-attempt-id", "")
        async with self.slots:
            self.runs.append((time.monotonic(), request, target))
            self.record(f"{self.id} ({self.service}) runs {request} {target}")
            work = asyncio.create_task(asyncio.sleep(self.work(target)))
            closed = asyncio.create_task(stream.reader.read(1))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if closed.done():
                work.cancel()
                self.record(f"{self.id} drops {request}: its connection was closed")
                return False
            closed.cancel()
            try:
                await closed
            except asyncio.CancelledError:
                pass
        await stream.send("HTTP/1.1 200 OK", {"X-Attempt-Id": request, "X-Response-Seal": "s-1",
                                              "X-Server-Load": f"1,0,{SLOTS}",
                                              **self.notices()},
                          f"{self.id} {target} {len(body)}".encode())
        self.record(f"{self.id} has answered {request}")
        return True


async def call_control(port, call, body, timeout=1.0):
    """Sends a call to a node's control address; returns the status or None without an answer."""
    if isinstance(call, str):
        call = call.encode()
    data = json.dumps(body).encode()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /godwitlift/" + call + b" HTTP/1.1\r\nHost: n\r\nContent-Type: "
                     b"application/json\r\nContent-Length: " + str(len(data)).encode()
                     + b"\r\n\r\n" + data)
        answer = await asyncio.wait_for(Stream(reader, writer).read(), timeout)
        writer.close()
        return int(answer[0].split(" ")[1]) if answer else None
    except (OSError, asyncio.TimeoutError):
        return None


class Node:
    """A mesh node, started as the deploy file says, and restarted by the platform if it ends."""

    def __init__(self, deployment, name, zone, service, work=lambda target: 0.1):
        self.deployment = deployment
        self.record = deployment.record
        self.name = name
        (self.outbound, self.ready, self.control, self.peers, self.metrics,
         self.app) = free_ports(6)
        self.instance = Instance(self.record, name, service, self.app, self.control, work)
        self.zone = zone
        self.service = service
        self.settings = os.path.join(deployment.folder, name + ".json")
        self.log = os.path.join(deployment.folder, name + ".log")
        self.process = None
        self.write_settings(True)

    def write_settings(self, bootstrap, **overrides):
        local = "127.0.0.1:{}".format
        document = {
            "host": self.name, "availability_zone": self.zone, "service": self.service,
            "backend_server": local(self.app),
            "listen": {"clients": local(self.outbound), "readiness": local(self.ready),
                       "announcements": local(self.control), "peers": local(self.peers),
                       "metrics": local(self.metrics)},
            "store": local(self.deployment.store_port), "first_start": bootstrap,
            "limits": {"descriptors": 4100, "link_mbps": 1000.0},
            "bounds": {"announcement_interval": "870ms", "stop_timeout": "6s", "retry_ratio": 0.2,
                       "retry_slack": 64, "retry_window": "10s"}, **overrides}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(document, file)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(run_command(), cwd=ROOT, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL,
                                            env={**environment,
                                                 "GODWITLIFT_SETTINGS": self.settings})

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /godwitlift/ready HTTP/1.1\r\nHost: n\r\n\r\n")
            answer = await asyncio.wait_for(Stream(reader, writer).read(), 1)
            writer.close()
            return bool(answer) and " 200 " in answer[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def request(self, request, target, method="GET", deadline_ms=2000, host="a.example",
                      body=b""):
        """One client attempt on a connection of its own: (status, body), or (None, b"")."""
        self.record(f"client sends {request} {method} {target} to {self.name}")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.outbound)
            stream = Stream(reader, writer)
            await stream.send(f"{method} {target} HTTP/1.1",
                              {"Host": host, "X-Attempt-Id": request,
                               "X-Deadline-Ms": str(deadline_ms)}, body)
            answer = await asyncio.wait_for(stream.read(), deadline_ms / 1000 + 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            answer = None
        status = int(answer[0].split(" ")[1]) if answer else None
        self.record(f"client gets {status} for {request}")
        return status, answer[2] if answer else b""


class Deployment:
    """A store and nodes in a temporary folder; ends all that it has started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        (self.store_port,) = free_ports(1)
        self.store = Store(self.record)
        self.nodes = []

    def add(self, name, zone, service, work=lambda target: 0.1):
        node = Node(self, name, zone, service, work)
        self.nodes.append(node)
        return node

    def configure(self, version, resources):
        self.store.put("op", "config", json.dumps(
            {"version": f"{version:08x}", "resources": resources}).encode())
        self.record(f"operator: configuration {version:08x} acknowledged, ver {self.store.ver}")

    async def start(self):
        if not os.path.exists(run_command()[0]):
            raise CannotRun("the program of the deploy file is not built")
        await self.store.start(self.store_port)
        for node in self.nodes:
            await node.instance.start()
            node.start()
        for node in self.nodes:
            await until(node.is_ready, 15, f"{node.name} is ready")
            node.instance.begin_heartbeats()
        await asyncio.sleep(2)

    def stop(self, keep_logs=False):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if keep_logs:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


async def until(condition, seconds, text):
    deadline = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > deadline:
            raise CannotRun(f"not within {seconds} s: {text}")
        await asyncio.sleep(0.05)


def route(name, prefix, service, kind="safe", timeout="2s"):
    return {"entry_kind": "routes", "metadata": {"name": name},
            "spec": {"host": "a.example", "prefix": prefix, "kind": kind, "timeout": timeout,
                     "target_latency": "500ms", "priority": 0, "service": service,
                     "max_attempts": 2}}


def service(name):
    return {"entry_kind": "services", "metadata": {"name": name},
            "spec": {"health_path": "/health", "max_connections": 130}}


LIMITS = {"entry_kind": "limits", "metadata": {},
          "spec": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                   "header_timeout": "3000ms", "idle_timeout": "15s"}}


def main(folder, scenario):
    """Runs `scenario(deployment)`, which returns what broke the rule, as a list of texts."""
    deployment = Deployment(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(deployment), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        deployment.record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(CANNOT_RUN)
    finally:
        deployment.stop(os.environ.get("KEEP_LOGS") == "1")
    for text in broken:
        deployment.record("BROKEN: " + text)
        print("BROKEN: " + text)
    print("rule broken" if broken else "rule held")
    deployment.record("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)
