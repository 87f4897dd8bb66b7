"""Starts real nodes with stand-ins on loopback addresses, for the scripts of the cases.

The nodes are started as the deploy file says: `target/packages/godwitliftd/godwitliftd mesh`, with the
path of the settings in GODWITLIFT_SETTINGS and the repository's root as working directory. The store
and the instances are the project's own stand-ins of tests/soak/standins.py.
"""

import asyncio
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
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from standins import BackendServer, HttpStream, Proxy, Store  # noqa: E402

NODE = os.path.join("target", "packages", "godwitliftd", "godwitliftd")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PORTS_PER_MACHINE = 8


class CouldNotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def is_trouble_on():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """A block of free ports below the kernel's ephemeral range."""
    for _ in range(200):
        first = random.randrange(10000, 32000 - count)
        sockets = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CouldNotRun("no free ports")


class Record:
    """record.txt of a case: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Machine:
    """A node, the instance beside it, and proxies on the node's ways from its peers and to the store."""

    def __init__(self, cluster, number, service, first_port):
        self.cluster = cluster
        self.number = number
        self.name = f"side-{number}"
        self.service = service
        (self.client_port, self.ready_port, self.control_port, self.peer_port, self.metrics_port,
         self.app_port, self.peer_proxy_port, self.store_proxy_port) = range(
             first_port, first_port + PORTS_PER_MACHINE)
        self.app_address = f"127.0.0.1:{self.app_port}"
        self.peer_proxy = Proxy(self.peer_port)
        self.store_proxy = Proxy(cluster.store_port)
        self.instance = None
        self.process = None
        self.settings = os.path.join(cluster.folder, self.name + ".json")
        self.log_path = os.path.join(cluster.folder, self.name + ".log")
        self.beating = True

    def write_settings(self, is_first_start):
        local = "127.0.0.1:"
        bounds = {"announcement_interval": "870ms", "configuration_apply_limit": "2s",
                  "stop_timeout": "6s", "retry_ratio": 0.2, "retry_slack": 64, "retry_window": "10s"}
        bounds.update(self.cluster.bounds)
        document = {
            "host": self.name, "availability_zone": f"zone-{self.number % self.cluster.zones}",
            "service": self.service, "backend_server": self.app_address,
            "listen": {"clients": f"{local}{self.client_port}", "readiness": f"{local}{self.ready_port}",
                       "announcements": f"{local}{self.control_port}",
                       "peers": f"{local}{self.peer_port}",
                       "advertised_peers": f"{local}{self.peer_proxy_port}",
                       "metrics": f"{local}{self.metrics_port}"},
            "store": f"{local}{self.store_proxy_port}", "first_start": is_first_start,
            "limits": self.cluster.limits, "bounds": bounds}
        with open(self.settings + ".new", "w", encoding="utf-8") as file:
            json.dump(document, file)
        os.replace(self.settings + ".new", self.settings)

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([NODE, "mesh"], cwd=ROOT, stdout=log, stderr=log,
                                            env={"PATH": os.environ.get("PATH", ""),
                                                 "GODWITLIFT_SETTINGS": self.settings})

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def beat(self):
        """The heartbeats of the instance."""
        while True:
            if self.beating and self.instance.state in ("ready", "draining"):
                await self.instance.announce(self.control_port)
            await asyncio.sleep(0.87)


class Cluster:
    """A store, machines and their instances."""

    def __init__(self, record, services, zones=3, limits=None, bounds=None, instance_class=BackendServer):
        if not os.path.exists(os.path.join(ROOT, NODE)):
            raise CouldNotRun("the deploy file's build has not run: no " + NODE)
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="godwitlift-review-")
        self.zones = zones
        self.limits = limits or {"memory_mb": 260, "descriptors": 1024, "link_mbps": 1000}
        self.bounds = bounds or {}
        self.executions = {}
        self.crashes = {}
        first = free_ports(len(services) * PORTS_PER_MACHINE + 1)
        self.store_port = first
        self.store = Store()
        self.machines = [Machine(self, number, service, first + 1 + number * PORTS_PER_MACHINE)
                         for number, service in enumerate(services)]
        for machine in self.machines:
            machine.instance = instance_class(machine.name, machine.service, machine.app_address,
                                              self.executions, crashes=self.crashes)
        self.tasks = []
        self.listeners = []
        self.last_request = 0

    async def start(self, configuration):
        self.listeners.append(await self.store.start(self.store_port))
        self.store.put("op", "config", json.dumps(configuration).encode())
        for machine in self.machines:
            await machine.instance.start(machine.app_port)
            self.listeners.append(await machine.peer_proxy.start(machine.peer_proxy_port))
            self.listeners.append(await machine.store_proxy.start(machine.store_proxy_port))
            machine.write_settings(True)
            machine.start()
            self.tasks.append(asyncio.create_task(machine.beat()))
        await self.wait_until_ready()
        for machine in self.machines:
            machine.write_settings(False)  # For later starts of the process.

    async def wait_until_ready(self, seconds=15):
        deadline = time.monotonic() + seconds
        for machine in self.machines:
            while await self.readiness(machine) != 200:
                if time.monotonic() > deadline:
                    raise CouldNotRun(f"{machine.name} was not ready in time")
                await asyncio.sleep(0.1)

    async def readiness(self, machine):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", machine.ready_port)
            stream = HttpStream(reader, writer)
            await stream.send_message("GET /godwitlift/ready HTTP/1.1", {"Host": "n"})
            answer = await asyncio.wait_for(stream.read_message(), 1)
            writer.close()
            return int(answer[0].split(" ")[1]) if answer else None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    def next_id(self, prefix="r"):
        self.last_request += 1
        return f"{prefix}-{self.last_request}"

    async def request(self, machine, target, method="GET", body=b"", deadline_ms=1500, id=None,
                      fields=None):
        """One client attempt on a new connection. Returns its id, the status and the answer."""
        id = id or self.next_id()
        answer = None
        self.record.write(f"sent {id} {method} {target}, {len(body)} bytes, to {machine.name}")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", machine.client_port)
            stream = HttpStream(reader, writer)
            await stream.send_message(f"{method} {target} HTTP/1.1",
                                      {"Host": "a.example", "X-Attempt-Id": id,
                                       "X-Deadline-Ms": str(deadline_ms), **(fields or {})}, body)
            answer = await asyncio.wait_for(stream.read_message(), deadline_ms / 1000 + 2)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        status = int(answer[0].split(" ")[1]) if answer else None
        self.record.write(f"answered {id} {status if answer else 'not at all'}")
        return id, status, answer

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.kill()
        for listener in self.listeners:
            listener.close()

    def remove(self):
        for machine in self.machines:
            machine.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(routes, services, version=1, limits=None):
    """\p routes: name -> fields of the spec; \p services: names."""
    defaults = {"host": "a.example", "kind": "safe", "timeout": "1500ms", "target_latency": "500ms",
                "priority": 0, "max_attempts": 2}
    resources = [{"entry_kind": "routes", "metadata": {"name": name},
                  "spec": {**defaults, "prefix": f"/{name}/", **spec}} for name, spec in routes.items()]
    resources += [{"entry_kind": "services", "metadata": {"name": name},
                   "spec": {"health_path": "/health", "max_connections": 100}} for name in services]
    resources.append({"entry_kind": "limits", "metadata": {},
                      "spec": limits or {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                                         "header_timeout": "3000ms", "idle_timeout": "15s"}})
    return {"version": f"{version:08x}", "resources": resources}


def write_runs(cluster, record):
    """What the instances have run, in the order of their begin."""
    runs = [(run[0], id, run[1], run[3]) for id, all_runs in cluster.executions.items()
            for run in all_runs]
    for begun, id, instance, target in sorted(runs):
        record.write(f"run {id} {target} by {instance}, begun at {begun - record.start:.3f}")


def run_case(folder, make_cluster, play, check):
    """Plays a case and exits with its result. \p check returns the text of each violation."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # Ends the nodes, too.
    record = Record(folder)
    cluster = None
    code = COULD_NOT_RUN

    async def run():
        await play(cluster, record)
        await cluster.stop()

    try:
        cluster = make_cluster(record)
        asyncio.run(run())
        write_runs(cluster, record)
        violations = check(cluster, record)
        for violation in violations:
            record.say("BROKEN: " + violation)
        if not violations:
            record.say("held")
        code = BROKEN if violations else HELD
    except Exception as problem:  # Says nothing about the rule.
        traceback.print_exc()
        record.say(f"could not run: {problem!r}")
    finally:
        if cluster is not None:
            cluster.remove()
        record.file.close()
    sys.exit(code)
