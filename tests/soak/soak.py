"""Randomized soak: real nodes as separate processes, faults from outside, promises checked meanwhile.

  soak.py [--seed N] [--count N] [--seconds S] [--hosts N] [--break NAME]

Each seed plays one run. --break disturbs the stand-ins so that a promise is broken on purpose, which
proves that the soak sees it. Exit code 0 if every run kept every promise (with --break: if one was
caught)."""

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

from standins import BackendServer, HttpStream, Proxy, Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(os.environ.get("GODWITLIFT_BUILD", os.path.join(ROOT, "build")),
                    "packages", "godwitliftd", "godwitliftd")
PORTS_PER_HOST = 8
# Runs beside each other use ports of their own, below those that the kernel hands out.
FIRST_PORT = 21000 + 160 * (os.getpid() % 70)
STORE_PORT = FIRST_PORT - 10
SERVICES = ("desk", "ledger")
# Bounds of the promises, in seconds: those of the users' deployments.
DRAIN_BOUND = 2.0
CONFIGURATION_BOUND = 2.5
CALM_BEFORE_CHECK = 4.0
STOP_TIMEOUT = 6.0


class Host:
    """One node process, its backend server and the proxies around them."""

    def __init__(self, number, run):
        self.name = f"host-{number}"
        self.zone = f"zone-{number % 3}"
        self.run = run
        base = FIRST_PORT + number * PORTS_PER_HOST
        (self.clients, self.ready, self.control, self.peers, self.metrics, self.backend_port,
         self.peer_proxy_port, self.store_proxy_port) = range(base, base + PORTS_PER_HOST)
        self.service = SERVICES[number % 2]
        self.address = f"127.0.0.1:{self.backend_port}"
        self.backend = BackendServer(self.name, self.service, self.address, run.runs, run.random)
        self.peer_proxy = Proxy(self.peers)
        self.store_proxy = Proxy(STORE_PORT)
        self.process = None
        self.is_paused = False
        self.disturbed_until = 0.0
        self.stopping_since = None
        self.is_stop_clean = False  # Nothing else disturbs this host while it stops.
        self.settings = os.path.join(run.folder, self.name + ".json")
        self.log = open(os.path.join(run.folder, self.name + ".log"), "ab")

    def write_settings(self):
        local = "127.0.0.1:"
        document = {
            "host": self.name, "availability_zone": self.zone, "service": self.service,
            "backend_server": self.address,
            "listen": {"clients": f"{local}{self.clients}", "readiness": f"{local}{self.ready}",
                       "announcements": f"{local}{self.control}", "peers": f"{local}{self.peers}",
                       "advertised_peers": f"{local}{self.peer_proxy_port}",
                       "metrics": f"{local}{self.metrics}"},
            "store": f"{local}{self.store_proxy_port}", "limits": {"descriptors": 1024},
            "bounds": {"announcement_interval": "870ms", "stop_timeout": f"{STOP_TIMEOUT}s",
                       "retry_ratio": 0.2, "retry_slack": 60, "retry_window": "10s"}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(document, file)

    def start(self):
        self.process = subprocess.Popen([NODE, "mesh", "--settings", self.settings],
                                        stdout=self.log, stderr=self.log)
        self.is_paused = False

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def disturb(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)
        self.is_stop_clean = False

    def is_calm(self, since):
        return self.disturbed_until + CALM_BEFORE_CHECK < since


class Run:
    """One seed: traffic, faults and checks."""

    def __init__(self, seed, seconds, hosts, broken):
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.broken = broken
        self.folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.runs = {}
        self.violations = []
        self.counts = {}
        self.events = []
        self.store = Store()
        self.version = 0
        self.versions = []  # (time acknowledged, version)
        self.hosts = [Host(number, self) for number in range(hosts)]
        self.last_request = 0
        self.is_ending = False
        self.store_disturbed_until = 0.0

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def violate(self, promise, text):
        self.note(f"BROKEN {promise}: {text}")
        self.violations.append((promise, text))

    def publish(self):
        self.version += 1
        routes = [("safe", "/look/", "safe"), ("pay", "/pay/", "unsafe")]
        routes += [(f"v{version}", f"/v{version}/", "safe")
                   for version in range(max(1, self.version - 5), self.version + 1)]
        resources = [{"entry_kind": "routes", "metadata": {"name": name},
                      "spec": {"host": "a.example", "prefix": prefix, "kind": kind,
                               "timeout": "1500ms", "target_latency": "500ms", "priority": index % 2,
                               "service": SERVICES[index % 2], "max_attempts": 2}}
                     for index, (name, prefix, kind) in enumerate(routes)]
        resources += [{"entry_kind": "services", "metadata": {"name": name},
                       "spec": {"health_path": "/health", "max_connections": 100}}
                      for name in SERVICES]
        resources.append({"entry_kind": "limits", "metadata": {},
                          "spec": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                                   "header_timeout": "3000ms", "idle_timeout": "15s"}})
        document = {"version": f"{self.version:08x}", "resources": resources}
        self.store.put("op", "config", json.dumps(document).encode())
        self.versions.append((time.monotonic(), self.version))

    async def request(self, host, stream, target, method, body):
        """One client attempt on an open connection: the status or None, whether it stays open."""
        self.last_request += 1
        request = f"{self.seed:x}-{self.last_request}"
        sent = time.monotonic()
        try:
            await stream.send(f"{method} {target} HTTP/1.1",
                              {"Host": "a.example", "X-Attempt-Id": request,
                               "X-Deadline-Ms": "2000"}, body)
            answer = await asyncio.wait_for(stream.message(), 4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        status = int(answer[0].split(" ")[1]) if answer else None
        self.counts[status] = self.counts.get(status, 0) + 1
        self.check_answer(request, target, method, body, status, answer, sent, host)
        return status, answer is not None and answer[1].get("connection") != "close"

    def check_answer(self, request, target, method, body, status, answer, sent, host):
        runs = self.runs.get(request, [])
        if self.broken == "twice" and method == "POST" and runs and self.random.random() < 0.02:
            runs.append(runs[0])
        if method == "POST" and len(runs) > 1:
            self.violate("at most once", f"{request} ran {len(runs)} times")
        if status in (408, 421, 429, 503):
            if self.broken == "refused":
                self.runs.setdefault(request, []).append((sent, "", None, target))
            asyncio.get_running_loop().call_later(3, self.check_refused, request, status)
        if status == 200:
            expected = f"{method} {target} {len(body)} ".encode()
            if self.broken == "whole" and self.random.random() < 0.01:
                expected = b"other"
            if answer[1].get("x-attempt-id") != request or not answer[2].startswith(expected):
                self.violate("own whole answer", f"{request} got another answer")
        if status == 404:
            due = [version for acked, version in self.versions
                   if acked + CONFIGURATION_BOUND < sent and target == f"/v{version}/x"]
            is_current = due and due[0] > self.version - 5
            if self.broken == "configuration" or (is_current and self.is_calm(host, sent)):
                self.violate("configuration in force", f"{request} 404 for {target} at {host.name}")

    def is_calm(self, host, since):
        return host.is_calm(since) and self.store_disturbed_until + CALM_BEFORE_CHECK < since

    def check_refused(self, request, status):
        if self.runs.get(request):
            self.violate("refused is not run", f"{request} got {status} and ran")

    def check_drains(self):
        for request, runs in self.runs.items():
            for start, server, drained_at, _ in runs:
                if drained_at is not None and start > drained_at + DRAIN_BOUND:
                    self.violate("drain", f"{request} ran at {server} {start - drained_at:.2f} s "
                                          "after its drain was acknowledged")

    async def client(self):
        """Keeps a connection to one host as long as it lives, then goes to another."""
        while not self.is_ending:
            host = self.random.choice(self.hosts)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", host.clients)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            stream = HttpStream(reader, writer)
            for _ in range(self.random.randint(1, 40)):
                if self.is_ending:
                    break
                kind = self.random.random()
                version = max(1, self.version - self.random.randint(0, 4))
                target, method, body = ("/look/x?a=%20b", "GET", b"") if kind < 0.5 else (
                    ("/pay/now", "POST", b"p" * 500) if kind < 0.8 else (f"/v{version}/x", "GET",
                                                                         b""))
                began = time.monotonic()
                status, is_kept = await self.request(host, stream, target, method, body)
                if status is None:
                    self.check_cut(host, began)
                if not is_kept:
                    break
                await asyncio.sleep(self.random.uniform(0, 0.05))
            writer.close()

    def check_cut(self, host, began):
        """A node that is only being stopped as planned cuts nothing that it has taken."""
        planned = host.stopping_since
        if planned is not None and planned - 1 <= began < planned + 2 and host.is_stop_clean:
            self.violate("graceful stop", f"{host.name} cut a request that it had taken")

    async def announce(self, host):
        while not self.is_ending:
            if host.backend.state != "gone":
                await host.backend.announce(host.control)
            await asyncio.sleep(0.3)

    async def watch_process(self, host):
        while not self.is_ending:
            if host.process.poll() is not None:
                if host.process.returncode not in (0, 3, -signal.SIGKILL):
                    self.violate("no crash", f"{host.name} ended with {host.process.returncode}")
                host.disturb(1)
                await asyncio.sleep(self.random.uniform(0.05, 0.5))
                host.stopping_since = None
                host.start()
            await asyncio.sleep(0.05)

    async def fault(self):
        host = self.random.choice(self.hosts)
        name = self.random.choice([
            "kill", "kill", "pause", "term", "term", "hup", "reset", "silence", "cut", "delay",
            "store", "store", "compact", "store-cut", "drain", "drain", "crash", "garble",
            "publish", "publish", "herd"])
        length = self.random.uniform(0.3, 3)
        self.note(f"{name} {host.name} {length:.1f}")
        await getattr(self, "fault_" + name.replace("-", "_"))(host, length)

    async def fault_kill(self, host, length):
        host.disturb(length)
        host.signal(signal.SIGKILL)

    async def fault_herd(self, host, length):
        for other in self.hosts:
            if self.random.random() < 0.6:
                await self.fault_kill(other, length)

    async def fault_pause(self, host, length):
        host.disturb(length)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        host.signal(signal.SIGCONT)

    async def fault_term(self, host, length):
        is_undisturbed = host.disturbed_until < time.monotonic()
        host.disturb(STOP_TIMEOUT)
        host.is_stop_clean = is_undisturbed
        host.stopping_since = time.monotonic()
        host.signal(signal.SIGKILL if self.broken == "shutdown" else signal.SIGTERM)

    async def fault_hup(self, host, length):
        host.signal(signal.SIGHUP)

    async def fault_reset(self, host, length):
        host.disturb(0.5)
        host.peer_proxy.reset_all()

    async def fault_silence(self, host, length):
        host.disturb(length)
        host.peer_proxy.silenced = set(self.random.choice([("up",), ("down",), ("up", "down")]))
        await asyncio.sleep(length)
        host.peer_proxy.silenced = set()

    async def fault_cut(self, host, length):
        host.disturb(length)
        host.peer_proxy.is_refusing = True
        host.peer_proxy.reset_all()
        await asyncio.sleep(length)
        host.peer_proxy.is_refusing = False

    async def fault_delay(self, host, length):
        host.disturb(length)
        host.peer_proxy.delay = 0.2
        await asyncio.sleep(length)
        host.peer_proxy.delay = 0

    async def fault_store(self, host, length):
        self.store_disturbed_until = max(self.store_disturbed_until, time.monotonic() + length)
        self.store.mode = self.random.choice(["refusing", "silent", "slow", "losing"])
        await asyncio.sleep(length)
        self.store.mode = "ok"

    async def fault_store_cut(self, host, length):
        host.disturb(length)
        host.store_proxy.is_refusing = True
        host.store_proxy.reset_all()
        await asyncio.sleep(length)
        host.store_proxy.is_refusing = False

    async def fault_compact(self, host, length):
        self.store.compact()

    async def fault_drain(self, host, length):
        """The backend server is handed back, works on for a while and a new one takes its place."""
        if host.backend.state != "ready":
            return
        if self.broken == "drain":
            host.backend.drained_at = time.monotonic()
        else:
            host.backend.state = "draining"
        await asyncio.sleep(DRAIN_BOUND + length)
        host.backend.state = "gone"
        await asyncio.sleep(0.3)
        host.backend.restart()

    async def fault_crash(self, host, length):
        if host.backend.state != "ready":
            return
        host.backend.state = "gone"
        await asyncio.sleep(length)
        host.backend.restart()

    async def fault_garble(self, host, length):
        host.backend.garble = 0.2
        await asyncio.sleep(length)
        host.backend.garble = 0

    async def fault_publish(self, host, length):
        for _ in range(self.random.randint(1, 5)):
            self.publish()
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def faults(self):
        pending = set()
        until = self.began + self.seconds
        while time.monotonic() < until:
            pending.add(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*pending)

    async def recovered(self):
        """After the last fault every host serves again."""
        deadline = time.monotonic() + 15
        for host in self.hosts:
            while True:
                status = None
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", host.clients)
                    status, _ = await self.request(host, HttpStream(reader, writer),
                                                   f"/v{self.version}/x", "GET", b"")
                    writer.close()
                except OSError:
                    pass  # The node is starting.
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    self.violate("recovery", f"{host.name} answers {status} 15 s after the faults")
                    return
                await asyncio.sleep(0.1)

    async def play(self):
        self.began = time.monotonic()
        servers = [await self.store.start(STORE_PORT)]
        self.publish()
        for host in self.hosts:
            servers.append(await host.backend.start(host.backend_port))
            servers.append(await host.peer_proxy.start(host.peer_proxy_port))
            servers.append(await host.store_proxy.start(host.store_proxy_port))
            host.write_settings()
            host.start()
        tasks = [asyncio.create_task(self.announce(host)) for host in self.hosts]
        tasks += [asyncio.create_task(self.watch_process(host)) for host in self.hosts]
        await asyncio.sleep(2)
        tasks += [asyncio.create_task(self.client()) for _ in range(3 * len(self.hosts))]
        await self.faults()
        await self.recovered()
        await asyncio.sleep(3)
        self.is_ending = True
        self.check_drains()
        for host in self.hosts:
            host.signal(signal.SIGKILL)
            host.process.wait()
            host.log.close()
        for task in tasks:
            task.cancel()
        for server in servers:
            server.close()


def play(seed, arguments):
    run = Run(seed, arguments.seconds, arguments.hosts, arguments.broken)
    try:
        asyncio.run(run.play())
    finally:
        for host in run.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
    total = sum(run.counts.values())
    print(f"seed {seed}: {total} requests, {run.counts.get(200, 0)} answered, "
          f"{len(run.violations)} promises broken")
    if run.violations:
        for promise, text in run.violations[:5]:
            print(f"  {promise}: {text}")
        with open(os.path.join(run.folder, "events.log"), "w", encoding="utf-8") as file:
            file.write("\n".join(run.events) + "\n")
        print(f"  logs and events in {run.folder}")
    if run.counts.get(200, 0) * 4 < total:
        print("  less than a quarter of the requests was answered")
        return ["service"]
    return [promise for promise, _ in run.violations]


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--break", dest="broken", default=None,
                        choices=["twice", "refused", "whole", "configuration", "drain", "shutdown"])
    arguments = parser.parse_args()
    first = arguments.seed if arguments.seed is not None else random.SystemRandom().randrange(10**6)
    broken = 0
    for seed in range(first, first + arguments.count):
        broken += 1 if play(seed, arguments) else 0
    print(f"{arguments.count - broken} runs kept every promise, {broken} did not")
    if arguments.broken:
        return 0 if broken else 1
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
