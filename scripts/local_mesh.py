"""Starts a mesh of real processes on loopback addresses, for the demonstration and measurements.

Every process started here is ended here, by its own id.
"""

import atexit
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "operator-token-of-the-local-mesh"
MESH_SECRET = "secret-of-the-local-mesh"
PEERS_PORT, CALLS_PORT, OPERATORS_PORT, LOCAL_PORT, BACKEND_PORT = 7400, 7401, 7403, 7404, 7410


class Node:
    """One node process and the backend servers on its host."""

    def __init__(self, index, host, zone, region):
        self.ip = f"127.{10 + index // 62500}.{(index // 250) % 250}.{index % 250 + 1}"
        self.host, self.zone, self.region = host, zone, region
        self.process = None
        self.backends = []

    def address(self, port):
        return f"{self.ip}:{port}"


class LocalMesh:
    """Owns the processes of one mesh and ends them when closed."""

    def __init__(self, build=None, control=None, limits=None):
        self.build = pathlib.Path(build or os.environ.get("GODWITLIFT_BUILD", ROOT / "build"))
        self.folder = tempfile.TemporaryDirectory(prefix="godwitlift-")
        self.nodes = []
        self.processes = []
        self.platform_address = "127.9.0.1:7300"
        self.control = control or {}
        self.limits = limits or {}
        atexit.register(self.close)
        # An interrupted run must end its processes too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))

    def path(self, name):
        return pathlib.Path(self.folder.name) / name

    def spawn(self, arguments, log):
        process = subprocess.Popen(
            [str(a) for a in arguments],
            stdout=subprocess.DEVNULL,
            stderr=open(self.path(log), "ab"),
        )
        self.processes.append(process)
        return process

    def start_platform(self):
        process = self.spawn(
            [self.build / "tests/platform-standin", self.platform_address], "platform.log"
        )
        time.sleep(0.3)
        if process.poll() is not None:
            raise RuntimeError(f"the platform's stand-in ended: {self.log('platform')}")
        return process

    def faults(self, **faults):
        query = "&".join(f"{key}={value}" for key, value in faults.items())
        return http_request(self.platform_address, "POST", f"/.faults?{query}")[2].decode()

    def add_node(self, host, zone, region, start=True):
        node = Node(len(self.nodes), host, zone, region)
        self.nodes.append(node)
        if start:
            self.start_node(node)
        return node

    def start_node(self, node):
        seeds = [other.address(PEERS_PORT) for other in self.nodes[:3] if other is not node]
        settings = {
            "host": node.host,
            "zone": node.zone,
            "region": node.region,
            "listen": {
                "peers": node.address(PEERS_PORT),
                "calls": node.address(CALLS_PORT),
                "operators": node.address(OPERATORS_PORT),
                "local": node.address(LOCAL_PORT),
            },
            "seeds": seeds,
            "mesh_secret": MESH_SECRET,
            "operators": {"dispatcher": TOKEN},
            "platform": {
                "kind": "network",
                "table_url": f"http://{self.platform_address}",
                "object_url": f"http://{self.platform_address}",
                "access_key": "local",
                "secret_key": "local-secret",
            },
            "control": self.control,
            "limits": self.limits,
        }
        file = self.path(f"{node.host}.json")
        file.write_text(json.dumps(settings, indent=2))
        daemon = self.build / "packages/godwitliftd/godwitliftd"
        node.process = self.spawn([daemon, "--settings", file], f"{node.host}.log")

    def add_backend(self, node, name, service, slots=20):
        port = BACKEND_PORT + len(node.backends)
        process = self.spawn(
            [
                self.build / "tests/backend-standin",
                "--id", name, "--service", service, "--slots", slots,
                "--address", node.address(port), "--node", node.address(LOCAL_PORT),
            ],
            f"{name}.log",
        )
        node.backends.append((name, node.address(port), process))
        return process

    def ctl(self, node, *arguments, check=True):
        done = subprocess.run(
            [
                str(self.build / "packages/godwitliftctl/godwitliftctl"),
                "--node", node.address(OPERATORS_PORT), "--token", TOKEN,
                *[str(a) for a in arguments],
            ],
            capture_output=True, text=True, timeout=120,
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments}: exit {done.returncode}: {done.stderr}{done.stdout}")
        return done

    def wait_ready(self, nodes=None, timeout=60):
        deadline = time.monotonic() + timeout
        for node in nodes or self.nodes:
            while True:
                try:
                    if http_request(node.address(LOCAL_PORT), "GET", "/health")[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{node.host} is not ready: {self.log(node.host)[-2000:]}")
                time.sleep(0.05)

    def wait_members(self, timeout=60):
        """Waits until every node knows all hosts."""
        deadline = time.monotonic() + timeout
        for node in self.nodes:
            while metric(node, 'godwitlift_state{what="hosts"}') < len(self.nodes):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{node.host} does not know all hosts")
                time.sleep(0.1)

    def publish(self, node, path, note="", wait=True):
        plan = self.path("plan.json")
        self.ctl(node, "plan", path, "--save", plan)
        options = [] if wait else ["--no-wait"]
        return self.ctl(node, "confirm", plan, "--yes", "--note", note or "-", *options).stdout

    def log(self, name):
        return self.path(f"{name}.log").read_text()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.processes = []


def http_request(address, method, path, body=None, headers=None, timeout=30):
    """One request on a connection of its own: (status, headers, body)."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def metrics(node):
    """All samples of a node by their full name."""
    text = http_request(node.address(LOCAL_PORT), "GET", "/metrics")[2].decode()
    samples = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            samples[name] = float(value)
    return samples


def metric(node, name):
    return metrics(node).get(name, 0.0)
