"""Real nodes with stand-ins of the store and the backend servers, for tests of processes."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

from standins import BackendServer, HttpStream, Proxy, Store  # noqa: E402

NODE = os.path.join(os.environ.get("GODWITLIFT_BUILD", os.path.join(ROOT, "build")),
                    "packages", "godwitliftd", "godwitliftd")
# Below the kernel's ephemeral range, whose ports outgoing connections may occupy.
FIRST_PORT = 13000 + 60 * (os.getpid() % 100)
STORE_PORT = FIRST_PORT
# Longest wait for a state that a scenario builds on.
READY_TIMEOUT = 10.0
# Time in which requests are sent after an acknowledged drain. Longer than a node's tick, its links'
# reconnect delay and the interval of its reports, so that everything that reopens a gate is seen.
OBSERVATION_TIME = 3.0


class Host:
    """A node process and its backend server."""

    def __init__(self, number, folder, executions, crashes, is_first_start, zone_count, limits):
        self.name = f"host-{number}"
        (self.client_port, self.readiness_port, self.announcement_port, self.peer_port,
         self.metrics_port, self.backend_port, self.peer_proxy_port,
         self.store_proxy_port) = range(FIRST_PORT + 10 * (number + 1),
                                        FIRST_PORT + 10 * (number + 1) + 8)
        self.peer_proxy = Proxy(self.peer_port)  # On the way from the other nodes.
        self.store_proxy = Proxy(STORE_PORT)     # On the way to the store.
        address = f"127.0.0.1:{self.backend_port}"
        self.backend = BackendServer(self.name, "desk", address, executions, crashes=crashes)
        self.settings = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        self.process = None
        listen = {"clients": self.client_port, "readiness": self.readiness_port,
                  "announcements": self.announcement_port, "peers": self.peer_port,
                  "advertised_peers": self.peer_proxy_port, "metrics": self.metrics_port}
        document = {
            "host": self.name, "availability_zone": f"zone-{number % zone_count}", "service": "desk",
            "backend_server": address,
            "listen": {name: f"127.0.0.1:{port}" for name, port in listen.items()},
            "store": f"127.0.0.1:{self.store_proxy_port}", "limits": limits,
            "first_start": is_first_start,
            "bounds": {"announcement_interval": "870ms", "stop_timeout": "6s", "retry_ratio": 0.2,
                       "retry_slack": 60, "retry_window": "10s"}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(document, file)

    async def start_proxies(self):
        await self.peer_proxy.start(self.peer_proxy_port)
        await self.store_proxy.start(self.store_proxy_port)

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([NODE, "mesh", "--settings", self.settings],
                                            stdout=log, stderr=log)

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def kill(self):
        self.process.kill()
        self.process.wait()

    async def restart(self):
        """Ends the node alone, without notice, and waits until it accepts announcements again."""
        self.kill()
        self.start()
        await wait_until(lambda: can_connect(self.announcement_port), f"start of {self.name}")


async def can_connect(port):
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


async def wait_until(condition, description):
    deadline = asyncio.get_running_loop().time() + READY_TIMEOUT
    while not await condition():
        if asyncio.get_running_loop().time() > deadline:
            raise AssertionError(f"{description}: not within {READY_TIMEOUT} s")
        await asyncio.sleep(0.02)


class Deployment:
    """A store and hosts whose backend servers all run the same service."""

    def __init__(self, folder, host_count, is_first_start=False, zone_count=1, limits=None,
                 body_bytes=1048576, max_connections=100):
        self.store = Store()
        self.executions = {}
        self.crashes = {}  # As in BackendServer, of all hosts.
        limits = limits or {"descriptors": 1024}
        self.hosts = [Host(number, folder, self.executions, self.crashes, is_first_start, zone_count,
                           limits)
                      for number in range(host_count)]
        self.last_request_number = 0
        self.version = 0
        self.body_limit = body_bytes
        self.max_connections = max_connections  # Of each backend server.

    async def start(self):
        await self.store.start(STORE_PORT)
        self.publish()
        for host in self.hosts:
            await host.start_proxies()
            await host.backend.start(host.backend_port)
            host.start()

    def publish(self):
        """Writes the next version of the configuration, which adds the route /vN/."""
        self.version += 1
        self.store.put("op", "config", self.encode_configuration(self.version))

    def encode_configuration(self, version):
        names = ["look"] + [f"v{number}" for number in range(1, version + 1)]
        routes = [{"entry_kind": "routes", "metadata": {"name": name},
                   "spec": {"host": "a.example", "prefix": f"/{name}/", "kind": "safe",
                            "timeout": "20s", "target_latency": "500ms", "priority": 0,
                            "service": "desk", "max_attempts": 2}} for name in names]
        service = {"entry_kind": "services", "metadata": {"name": "desk"},
                   "spec": {"health_path": "/health",
                            "max_connections": self.max_connections}}
        limits = {"entry_kind": "limits", "metadata": {},
                  "spec": {"max_header_bytes": 16384, "max_body_bytes": self.body_limit,
                           "header_timeout": "3000ms", "idle_timeout": "15s"}}
        return json.dumps({"version": f"{version:08x}",
                           "resources": [*routes, service, limits]}).encode()

    async def send_request(self, host, timeout=1, target="/look/x", body=None):
        """Returns the status of the answer, or None without one within a second after \p timeout."""
        self.last_request_number += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", host.client_port)
            stream = HttpStream(reader, writer)
            method = "GET" if body is None else "POST"
            await stream.send_message(f"{method} {target} HTTP/1.1",
                                      {"Host": "a.example", "X-Deadline-Ms": f"{timeout * 1000}",
                                       "X-Attempt-Id": f"r-{self.last_request_number}"}, body or b"")
            answer = await asyncio.wait_for(stream.read_message(), timeout + 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return None
        return int(answer[0].split(" ")[1]) if answer else None

    async def read_metrics(self, host):
        """Returns the status and the text of the host's metrics."""
        reader, writer = await asyncio.open_connection("127.0.0.1", host.metrics_port)
        stream = HttpStream(reader, writer)
        await stream.send_message("GET /metrics HTTP/1.1", {"Host": "n"})
        answer = await asyncio.wait_for(stream.read_message(), 2)
        writer.close()
        return int(answer[0].split(" ")[1]), answer[2].decode()

    async def wait_until_served(self, host, server=None):
        """Waits until a request that arrives at \\p host runs, at \\p server if that is given."""
        async def is_served():
            status = await self.send_request(host)
            runs = self.executions.get(f"r-{self.last_request_number}", [])
            return status == 200 and (server is None or any(run[1] == server for run in runs))
        await wait_until(is_served, f"first request served through {host.name}")

    async def check_unreached(self, server, late_announcements):
        """Sends requests to all hosts while late announcements arrive, and requires that none runs
        at \\p server."""
        self.executions.clear()
        deadline = asyncio.get_running_loop().time() + OBSERVATION_TIME
        while asyncio.get_running_loop().time() < deadline:
            await late_announcements()
            for host in self.hosts:
                await self.send_request(host)
            await asyncio.sleep(0.05)
        reached = [request for request, runs in self.executions.items()
                   if any(run[1] == server for run in runs)]
        assert not reached, f"{len(reached)} requests ran at {server} after its drain"


async def run(scenario, host_count, folder, options):
    deployment = Deployment(folder, host_count, **options)
    await deployment.start()
    try:
        await scenario(deployment)
        return True
    except AssertionError as failure:
        print(f"FAILED: {failure}")
        for host in deployment.hosts:
            with open(host.log, encoding="utf-8", errors="replace") as log:
                print(f"--- {host.name}\n{log.read()}")
        return False
    finally:
        for host in deployment.hosts:
            host.kill()


def run_scenario(scenarios, options_of):
    """Runs the scenario named on the command line and exits with 0 if it holds."""
    scenario, host_count = scenarios[sys.argv[1]]
    with tempfile.TemporaryDirectory(prefix="process-test-") as folder:
        sys.exit(0 if asyncio.run(run(scenario, host_count, folder, options_of(scenario))) else 1)
