"""Runs a mesh of real processes on loopback addresses, for the demonstration and the measurements.

The module signals only processes that it started itself, by process id.
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
PEER_PORT, CALLER_PORT, OPERATOR_PORT, LOCAL_API_PORT, FIRST_SERVER_PORT = 7400, 7401, 7403, 7404, 7410


class Node:
    """One host: its node process and its backend servers as (name, address, process)."""

    def __init__(self, index, host, zone, region):
        self.ip = f"127.{10 + index // 62500}.{(index // 250) % 250}.{index % 250 + 1}"
        self.host, self.zone, self.region = host, zone, region
        self.process = None
        self.backend_servers = []

    def address(self, port):
        return f"{self.ip}:{port}"


class LocalMesh:
    """Starts the processes of one mesh and kills them in close()."""

    def __init__(self, build_folder=None, control_settings=None, limit_settings=None):
        self.build_folder = pathlib.Path(
            build_folder or os.environ.get("GODWITLIFT_BUILD", ROOT / "build"))
        self.temporary_folder = tempfile.TemporaryDirectory(prefix="godwitlift-")
        self.nodes = []
        self.processes = []
        self.platform_address = "127.9.0.1:7300"
        self.control_settings = control_settings or {}
        self.limit_settings = limit_settings or {}
        atexit.register(self.close)
        # On SIGTERM, exits through atexit, so that the processes are killed too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))

    def path(self, name):
        return pathlib.Path(self.temporary_folder.name) / name

    def spawn(self, arguments, log_name):
        process = subprocess.Popen(
            [str(a) for a in arguments],
            stdout=subprocess.DEVNULL,
            stderr=open(self.path(log_name), "ab"),
        )
        self.processes.append(process)
        return process

    def start_platform_standin(self):
        process = self.spawn(
            [self.build_folder / "tests/platform-standin", self.platform_address], "platform.log"
        )
        time.sleep(0.3)
        if process.poll() is not None:
            raise RuntimeError(f"the platform stand-in exited: {self.read_log('platform')}")
        return process

    # Sets faults of the platform stand-in; returns its counts of reads and writes as text.
    def set_platform_faults(self, **faults):
        query = "&".join(f"{key}={value}" for key, value in faults.items())
        return http_request(self.platform_address, "POST", f"/.faults?{query}")[2].decode()

    def add_node(self, host, zone, region, start=True):
        node = Node(len(self.nodes), host, zone, region)
        self.nodes.append(node)
        if start:
            self.start_node(node)
        return node

    def start_node(self, node):
        seeds = [other.address(PEER_PORT) for other in self.nodes[:3] if other is not node]
        settings = {
            "host": node.host,
            "zone": node.zone,
            "region": node.region,
            "listen": {
                "peers": node.address(PEER_PORT),
                "calls": node.address(CALLER_PORT),
                "operators": node.address(OPERATOR_PORT),
                "local": node.address(LOCAL_API_PORT),
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
            "control": self.control_settings,
            "limits": self.limit_settings,
        }
        settings_file = self.path(f"{node.host}.json")
        settings_file.write_text(json.dumps(settings, indent=2))
        daemon = self.build_folder / "packages/godwitliftd/godwitliftd"
        node.process = self.spawn([daemon, "--settings", settings_file], f"{node.host}.log")

    def add_backend_server(self, node, name, service, slots=20):
        port = FIRST_SERVER_PORT + len(node.backend_servers)
        process = self.spawn(
            [
                self.build_folder / "tests/backend-standin",
                "--id", name, "--service", service, "--slots", slots,
                "--address", node.address(port), "--node", node.address(LOCAL_API_PORT),
            ],
            f"{name}.log",
        )
        node.backend_servers.append((name, node.address(port), process))
        return process

    def run_ctl(self, node, *arguments, check=True):
        result = subprocess.run(
            [
                str(self.build_folder / "packages/godwitliftctl/godwitliftctl"),
                "--node", node.address(OPERATOR_PORT), "--token", TOKEN,
                *[str(a) for a in arguments],
            ],
            capture_output=True, text=True, timeout=120,
        )
        if check and result.returncode != 0:
            raise RuntimeError(
                f"{arguments}: exit {result.returncode}: {result.stderr}{result.stdout}")
        return result

    def wait_until_ready(self, nodes=None, timeout=60):
        deadline = time.monotonic() + timeout
        for node in nodes or self.nodes:
            while True:
                try:
                    if http_request(node.address(LOCAL_API_PORT), "GET", "/health")[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{node.host} did not become ready: {self.read_log(node.host)[-2000:]}")
                time.sleep(0.05)

    def wait_until_all_joined(self, timeout=60):
        """Waits until every node lists all hosts as members."""
        deadline = time.monotonic() + timeout
        for node in self.nodes:
            while read_metric(node, 'godwitlift_state{what="hosts"}') < len(self.nodes):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{node.host} does not list all hosts as members")
                time.sleep(0.1)

    def publish(self, node, path, note="", wait=True):
        plan = self.path("plan.json")
        self.run_ctl(node, "plan", path, "--save", plan)
        options = [] if wait else ["--no-wait"]
        return self.run_ctl(node, "confirm", plan, "--yes", "--note", note or "-", *options).stdout

    def read_log(self, name):
        return self.path(f"{name}.log").read_text()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.processes = []


def http_request(address, method, path, body=None, headers=None, timeout=30):
    """Sends one request on a new connection; returns (status, headers, body)."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def read_metrics(node):
    """All metric samples of a node by name, labels included."""
    text = http_request(node.address(LOCAL_API_PORT), "GET", "/metrics")[2].decode()
    samples = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            samples[name] = float(value)
    return samples


def read_metric(node, name):
    return read_metrics(node).get(name, 0.0)
