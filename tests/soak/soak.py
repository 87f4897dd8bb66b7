"""Randomized soak test: runs real node processes, injects faults and checks guarantees meanwhile.

  soak.py [--seed N] [--count N] [--seconds S] [--hosts N] [--profile NAME] [--break NAME]

Each seed determines one run, and --profile its kinds of faults. --break makes the stand-ins violate a guarantee on purpose, which
proves that the soak test detects it. Exit code 0 if no run violated a guarantee (with --break: if a
violation was detected)."""

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
# The ports depend on the process id, so that concurrent runs rarely collide, and lie below the
# kernel's ephemeral range.
FIRST_PORT = 21000 + 160 * (os.getpid() % 70)
STORE_PORT = FIRST_PORT - 10
SERVICES = ("desk", "ledger")
# Bounds of the guarantees in seconds, as the users' deployments require.
DRAIN_BOUND = 2.0
CONFIGURATION_BOUND = 2.5
STOP_TIMEOUT = 6.0
# Time after which a host that had a fault is bound by the guarantees again, and after which the fleet
# must know a limit or a crash.
STABILITY = 3.0
# Length of the window of a limit.
LIMIT_WINDOW = 4.0
# Servers that may end under a request before it counts as crashing, and runs allowed after that.
CRASH_LIMIT = 3
CRASH_RETRIES = 3
# Faults by profile; repeated ones are more frequent.
PROFILES = {
    "all": ["kill", "kill", "pause", "term", "term", "hup", "reset", "silence", "cut", "delay",
            "store", "store", "compact", "store-cut", "drain", "drain", "crash", "garble",
            "publish", "publish", "herd"],
    # Versions that are published while their way to the nodes fails. Few of them, since each route
    # is there for five versions only.
    "configuration": ["publish-once"] * 3 + ["silent-connections"] * 3 + ["store-return"] * 2
                     + ["cut", "silence", "pause", "pause", "kill", "herd", "store", "store-cut",
                        "compact", "drain"],
    # Backend servers that leave while nodes restart, announcements are late and copies are lost.
    "drains": ["drain"] * 6 + ["kill", "kill", "herd", "term", "pause", "silence", "cut", "store",
                               "store", "store-cut", "crash"],
    # Backend servers that name limits, leave by header, and crash on one request.
    "notices": ["limit"] * 4 + ["leave"] * 2 + ["crash-request"] * 4
               + ["kill", "kill", "herd", "term", "pause", "silence", "cut", "store", "store-cut",
                  "crash", "drain"],
}


class Host:
    """One node process, its backend server and the proxies for its peer and store connections."""

    def __init__(self, number, soak):
        self.name = f"host-{number}"
        self.zone = f"zone-{number % 3}"
        self.soak = soak
        base = FIRST_PORT + number * PORTS_PER_HOST
        (self.client_port, self.readiness_port, self.announcement_port, self.peer_port,
         self.metrics_port, self.backend_port, self.peer_proxy_port, self.store_proxy_port) = range(
             base, base + PORTS_PER_HOST)
        self.service = SERVICES[number % 2]
        self.address = f"127.0.0.1:{self.backend_port}"
        self.backend = BackendServer(self.name, self.service, self.address, soak.executions,
                                     soak.random, soak.crashes)
        self.peer_proxy = Proxy(self.peer_port)
        self.store_proxy = Proxy(STORE_PORT)
        self.process = None
        self.is_paused = False
        self.faults_until = 0.0
        # Of those faults that excuse a late configuration: not those of connections to peers alone.
        self.configuration_faults_until = 0.0
        self.stop_requested_at = None
        self.is_stop_only_fault = False  # No other fault overlaps the stop.
        self.settings = os.path.join(soak.folder, self.name + ".json")
        self.log = open(os.path.join(soak.folder, self.name + ".log"), "ab")

    def write_settings(self):
        local = "127.0.0.1:"
        document = {
            "host": self.name, "availability_zone": self.zone, "service": self.service,
            "backend_server": self.address,
            "listen": {"clients": f"{local}{self.client_port}",
                       "readiness": f"{local}{self.readiness_port}",
                       "announcements": f"{local}{self.announcement_port}",
                       "peers": f"{local}{self.peer_port}",
                       "advertised_peers": f"{local}{self.peer_proxy_port}",
                       "metrics": f"{local}{self.metrics_port}"},
            "store": f"{local}{self.store_proxy_port}", "limits": {"descriptors": 1024},
            "bounds": {"announcement_interval": "870ms", "stop_timeout": f"{STOP_TIMEOUT}s",
                       "configuration_apply_limit": f"{CONFIGURATION_BOUND}s",
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

    def record_fault(self, seconds, excuses_configuration=True):
        until = time.monotonic() + seconds
        self.faults_until = max(self.faults_until, until)
        if excuses_configuration:
            self.configuration_faults_until = max(self.configuration_faults_until, until)
        self.is_stop_only_fault = False

    def must_be_current(self, since):
        return self.configuration_faults_until + STABILITY < since


class SoakRun:
    """One run of the soak test: traffic, faults and checks."""

    def __init__(self, seed, seconds, hosts, injected_violation, profile="all"):
        self.seed = seed
        self.random = random.Random(seed)
        # A generator of its own, so that the course of a drain does not change a seed's faults.
        self.drain_random = random.Random(f"drain-{seed}")
        self.profile = profile
        self.seconds = seconds
        self.injected_violation = injected_violation
        self.folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
        self.executions = {}
        self.crashes = {}  # As in BackendServer, of all hosts.
        self.senders = {}  # request id -> (host that it was sent to, time)
        self.limit_periods = []  # (backend server id, limit, begin, end)
        self.violations = []
        self.status_counts = {}
        self.events = []
        self.store = Store()
        self.version = 0
        self.versions = []  # (time of publication, version)
        self.hosts = [Host(number, self) for number in range(hosts)]
        self.last_request_number = 0
        self.is_stopping = False
        self.store_faults_until = 0.0
        self.is_store_returning = False

    def record_event(self, text):
        self.events.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def record_violation(self, guarantee, text):
        self.record_event(f"VIOLATED {guarantee}: {text}")
        self.violations.append((guarantee, text))

    def publish(self):
        self.version += 1
        self.store.put("op", "config", self.encode_configuration())
        self.versions.append((time.monotonic(), self.version))

    def encode_configuration(self):
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
        return json.dumps({"version": f"{self.version:08x}", "resources": resources}).encode()

    async def send_request(self, host, stream, target, method, body):
        """Returns the status, None without an answer, and whether the connection can be reused."""
        self.last_request_number += 1
        request = f"{self.seed:x}-{self.last_request_number}"
        sent = time.monotonic()
        self.senders[request] = (host, sent)
        try:
            await stream.send_message(f"{method} {target} HTTP/1.1",
                                      {"Host": "a.example", "X-Attempt-Id": request,
                                       "X-Deadline-Ms": "2000"}, body)
            answer = await asyncio.wait_for(stream.read_message(), 4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        status = int(answer[0].split(" ")[1]) if answer else None
        self.status_counts[status] = self.status_counts.get(status, 0) + 1
        self.check_answer(request, target, method, body, status, answer, sent, host)
        return status, answer is not None and answer[1].get("connection") != "close"

    def check_answer(self, request, target, method, body, status, answer, sent, host):
        executions = self.executions.get(request, [])
        if self.injected_violation == "twice" and method == "POST" and executions \
                and self.random.random() < 0.02:
            executions.append(executions[0])
        if method == "POST" and len(executions) > 1:
            self.record_violation("at most once", f"{request} was executed {len(executions)} times")
        if status in (408, 421, 429, 503):
            if self.injected_violation == "refused":
                self.executions.setdefault(request, []).append((sent, "", None, target))
            asyncio.get_running_loop().call_later(3, self.check_refused, request, status)
        if status == 200:
            expected = f"{method} {target} {len(body)} ".encode()
            if self.injected_violation == "whole" and self.random.random() < 0.01:
                expected = b"other"
            if answer[1].get("x-attempt-id") != request or not answer[2].startswith(expected):
                self.record_violation("complete matching answer",
                                      f"{request} got an incomplete or another answer")
        if status == 404:
            published = [version for published_at, version in self.versions
                         if published_at + CONFIGURATION_BOUND < sent
                         and target == f"/v{version}/x"]
            is_current = published and published[0] > self.version - 5
            if self.injected_violation == "configuration" or (
                    is_current and self.must_be_current(host, sent)):
                self.record_violation("configuration in force",
                                      f"{request} 404 for {target} at {host.name}")

    def must_be_current(self, host, since):
        return host.must_be_current(since) and self.store_faults_until + STABILITY < since

    def check_refused(self, request, status):
        if self.executions.get(request):
            self.record_violation("refused requests are not executed",
                                  f"{request} got {status} and was executed")

    def check_drains(self):
        for request, executions in self.executions.items():
            for start, server, drained_at, _ in executions:
                if drained_at is not None and start > drained_at + DRAIN_BOUND:
                    self.record_violation("drain", f"{request} was executed at {server} "
                                          f"{start - drained_at:.2f} s after its drain "
                                          "was acknowledged")

    def is_in_touch(self, request, since):
        """Whether the host that the request was sent to has had no fault for a while at \p since."""
        host, _ = self.senders[request]
        return host.faults_until + STABILITY < since

    def check_limits(self):
        for server, limit, begin, end in self.limit_periods:
            starts = sorted(start for request, executions in self.executions.items()
                            for start, id, _, _ in executions
                            if id == server and begin + STABILITY <= start <= end)
            allowed = 1.5 * limit * LIMIT_WINDOW + 5
            for first in starts:
                count = sum(first <= start < first + LIMIT_WINDOW for start in starts)
                if count > allowed:
                    self.record_violation("limit", f"{server} got {count} requests in {LIMIT_WINDOW:g} s "
                                          f"at a limit of {limit} a second; allowed {allowed:g}")
                    break

    def check_crashes(self):
        for target, runs in self.crashes.items():
            if len(runs) <= CRASH_LIMIT:
                continue
            known = runs[CRASH_LIMIT - 1][0] + STABILITY
            late = [run for run in runs if run[0] > known and self.is_in_touch(run[2], run[0])]
            if len(late) > CRASH_RETRIES:
                self.record_violation("crashing request", f"{target} ended {len(runs)} servers, "
                                      f"{len(late)} of them {STABILITY:g} s after the third")

    async def run_client(self):
        """Sends up to 40 requests on a connection to a random host, then connects to another."""
        while not self.is_stopping:
            host = self.random.choice(self.hosts)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", host.client_port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            stream = HttpStream(reader, writer)
            for _ in range(self.random.randint(1, 40)):
                if self.is_stopping:
                    break
                draw = self.random.random()
                version = max(1, self.version - self.random.randint(0, 4))
                target, method, body = ("/look/x?a=%20b", "GET", b"") if draw < 0.5 else (
                    ("/pay/now", "POST", b"p" * 500) if draw < 0.8 else (f"/v{version}/x", "GET",
                                                                         b""))
                sent = time.monotonic()
                status, is_reusable = await self.send_request(host, stream, target, method, body)
                if status is None:
                    self.check_aborted_request(host, sent)
                if not is_reusable:
                    break
                await asyncio.sleep(self.random.uniform(0, 0.05))
            writer.close()

    def check_aborted_request(self, host, sent):
        """A graceful stop without other faults must not abort an accepted request."""
        stop_time = host.stop_requested_at
        if stop_time is not None and stop_time - 1 <= sent < stop_time + 2 \
                and host.is_stop_only_fault:
            self.record_violation("graceful stop", f"{host.name} aborted an accepted request")

    async def announce_periodically(self, host):
        while not self.is_stopping:
            if host.backend.state in ("ready", "draining"):
                await host.backend.announce(host.announcement_port)
            await asyncio.sleep(0.3)

    async def restart_after_exit(self, host):
        while not self.is_stopping:
            if host.process.poll() is not None:
                if host.process.returncode not in (0, 3, -signal.SIGKILL):
                    self.record_violation("no crash",
                                          f"{host.name} exited with {host.process.returncode}")
                host.record_fault(1)
                await asyncio.sleep(self.random.uniform(0.05, 0.5))
                host.stop_requested_at = None
                host.start()
            await asyncio.sleep(0.05)

    async def inject_fault(self):
        host = self.random.choice(self.hosts)
        name = self.random.choice(PROFILES[self.profile])
        duration = self.random.uniform(0.3, 3)
        self.record_event(f"{name} {host.name} {duration:.1f}")
        await getattr(self, "fault_" + name.replace("-", "_"))(host, duration)

    async def fault_kill(self, host, duration):
        host.record_fault(duration)
        host.signal(signal.SIGKILL)

    # Kills most hosts at once, so that their nodes restart together.
    async def fault_herd(self, host, duration):
        for other in self.hosts:
            if self.random.random() < 0.6:
                await self.fault_kill(other, duration)

    async def fault_pause(self, host, duration):
        host.record_fault(duration)
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        host.signal(signal.SIGCONT)

    async def fault_term(self, host, duration):
        is_only_fault = host.faults_until < time.monotonic()
        host.record_fault(STOP_TIMEOUT)
        host.is_stop_only_fault = is_only_fault
        host.stop_requested_at = time.monotonic()
        host.signal(signal.SIGKILL if self.injected_violation == "shutdown" else signal.SIGTERM)

    async def fault_hup(self, host, duration):
        host.signal(signal.SIGHUP)

    async def fault_reset(self, host, duration):
        host.record_fault(0.5)
        host.peer_proxy.reset_all()

    # Drops the bytes of the host's peer connections in one direction or both.
    async def fault_silence(self, host, duration):
        host.record_fault(duration, excuses_configuration=False)
        host.peer_proxy.dropped_directions = set(
            self.random.choice([("up",), ("down",), ("up", "down")]))
        await asyncio.sleep(duration)
        host.peer_proxy.dropped_directions = set()

    # All open connections between the nodes and to the store go silent for good; new ones work.
    async def fault_silent_connections(self, host, duration):
        for other in self.hosts:
            other.record_fault(0)
            other.peer_proxy.silence_open_connections()
            other.store_proxy.silence_open_connections()
        await asyncio.sleep(self.random.uniform(0, 1))
        self.publish()

    async def fault_cut(self, host, duration):
        host.record_fault(duration, excuses_configuration=False)
        host.peer_proxy.is_refusing = True
        host.peer_proxy.reset_all()
        await asyncio.sleep(duration)
        host.peer_proxy.is_refusing = False

    async def fault_delay(self, host, duration):
        host.record_fault(duration)
        host.peer_proxy.delay = 0.2
        await asyncio.sleep(duration)
        host.peer_proxy.delay = 0

    async def fault_store(self, host, duration):
        self.store_faults_until = max(self.store_faults_until, time.monotonic() + duration)
        self.store.mode = self.random.choice(["refusing", "silent", "slow", "losing"])
        await asyncio.sleep(duration)
        self.store.mode = "ok"

    async def fault_store_cut(self, host, duration):
        host.record_fault(duration)
        host.store_proxy.is_refusing = True
        host.store_proxy.reset_all()
        await asyncio.sleep(duration)
        host.store_proxy.is_refusing = False

    # The store is away and returns from a copy, in which the operator writes the newest version again.
    async def fault_store_return(self, host, duration):
        if self.is_store_returning:
            return
        self.is_store_returning = True
        copy = self.store.copy()
        await asyncio.sleep(duration)
        away = self.random.uniform(0.1, 1.5)
        self.store_faults_until = max(self.store_faults_until, time.monotonic() + away)
        self.store.mode = "silent"
        await asyncio.sleep(away)
        self.store.return_from_copy(copy)
        self.store.put("op", "config", self.encode_configuration())
        self.is_store_returning = False

    async def fault_compact(self, host, duration):
        self.store.compact()

    async def fault_drain(self, host, duration):
        """Drains the backend server, which keeps running for a while before a new one replaces it.
        Announcements from before the drain arrive late, and the node may restart at any moment."""
        backend, draw = host.backend, self.drain_random
        if backend.state != "ready":
            return
        until = time.monotonic() + DRAIN_BOUND + duration
        disturbance = asyncio.create_task(self.disturb_drain(host, backend.sequence, until))
        if self.injected_violation == "drain":
            backend.drained_at = time.monotonic()
        elif draw.random() < 0.5:
            backend.state = "draining"
        else:
            await asyncio.sleep(draw.uniform(0, 0.5))
            while not await backend.deregister(host.announcement_port) \
                    and time.monotonic() < until:
                await asyncio.sleep(0.1)
        await asyncio.sleep(max(0, until - time.monotonic()))
        await disturbance
        host.backend.state = "gone"
        await asyncio.sleep(0.3)
        host.backend.restart()

    async def disturb_drain(self, host, last_sequence, until):
        """Restarts the node and delivers announcements that were sent while the server was ready."""
        draw = self.drain_random
        while time.monotonic() < until:
            if draw.random() < 0.2:
                await self.fault_kill(host, 0.5)
            await asyncio.sleep(draw.uniform(0, 0.6))
            if host.backend.state != "ready" and last_sequence > 0:
                await host.backend.announce(host.announcement_port, state="ready",
                                            sequence=draw.randint(1, last_sequence))

    async def fault_limit(self, host, duration):
        backend, limit = host.backend, self.drain_random.choice([2, 5, 10, 20])
        if backend.state != "ready" or backend.request_limit is not None:
            return
        server, begin = backend.id, time.monotonic()
        backend.request_limit = limit
        while time.monotonic() < begin + 3 + 2 * duration and backend.id == server \
                and not self.is_stopping:
            await asyncio.sleep(0.05)
        self.limit_periods.append((server, limit, begin, time.monotonic()))
        backend.request_limit = None

    # The backend server leaves and says so in its answers only.
    async def fault_leave(self, host, duration):
        backend = host.backend
        if backend.state != "ready":
            return
        backend.is_stating_departure = True
        await asyncio.sleep(DRAIN_BOUND + duration)
        if backend.state == "ready" and backend.is_stating_departure:
            backend.state = "gone"
            await asyncio.sleep(0.3)
            backend.restart()

    # A request that ends each server that runs it comes again at several hosts.
    async def fault_crash_request(self, host, duration):
        number = self.drain_random.randint(1, 3)
        until = time.monotonic() + 2 * STABILITY + duration
        while time.monotonic() < until and not self.is_stopping:
            other = self.drain_random.choice(self.hosts)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", other.client_port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            await self.send_request(other, HttpStream(reader, writer), f"/look/crash-{number}", "GET",
                                    b"")
            writer.close()
            await asyncio.sleep(self.drain_random.uniform(0, 0.3))

    async def restart_crashed_server(self, host):
        """Starts the backend server again some time after a request has ended it."""
        while not self.is_stopping:
            if not host.backend.listener.is_serving():
                await asyncio.sleep(self.drain_random.uniform(0.5, 2))
                await host.backend.restart_after_crash()
            await asyncio.sleep(0.05)

    async def fault_crash(self, host, duration):
        if host.backend.state != "ready":
            return
        host.backend.state = "gone"
        await asyncio.sleep(duration)
        host.backend.restart()

    # Makes the backend server truncate some of its answers.
    async def fault_garble(self, host, duration):
        host.backend.truncation_probability = 0.2
        await asyncio.sleep(duration)
        host.backend.truncation_probability = 0

    async def fault_publish(self, host, duration):
        for _ in range(self.random.randint(1, 5)):
            self.publish()
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def fault_publish_once(self, host, duration):
        self.publish()

    async def inject_faults(self):
        pending = set()
        until = self.started_at + self.seconds
        while time.monotonic() < until:
            pending.add(asyncio.create_task(self.inject_fault()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*pending)

    async def check_recovery(self):
        """Checks that every host serves requests again after the last fault."""
        deadline = time.monotonic() + 15
        for host in self.hosts:
            while True:
                status = None
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", host.client_port)
                    status, _ = await self.send_request(host, HttpStream(reader, writer),
                                                        f"/v{self.version}/x", "GET", b"")
                    writer.close()
                except OSError:
                    pass  # The node is starting.
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    self.record_violation("recovery",
                                          f"{host.name} answers {status} 15 s after the faults")
                    return
                await asyncio.sleep(0.1)

    async def run(self):
        self.started_at = time.monotonic()
        servers = [await self.store.start(STORE_PORT)]
        self.publish()
        for host in self.hosts:
            await host.backend.start(host.backend_port)
            servers.append(await host.peer_proxy.start(host.peer_proxy_port))
            servers.append(await host.store_proxy.start(host.store_proxy_port))
            host.write_settings()
            host.start()
        tasks = [asyncio.create_task(self.announce_periodically(host)) for host in self.hosts]
        tasks += [asyncio.create_task(self.restart_after_exit(host)) for host in self.hosts]
        tasks += [asyncio.create_task(self.restart_crashed_server(host)) for host in self.hosts]
        await asyncio.sleep(2)
        tasks += [asyncio.create_task(self.run_client()) for _ in range(3 * len(self.hosts))]
        await self.inject_faults()
        await self.check_recovery()
        await asyncio.sleep(3)
        self.is_stopping = True
        self.check_drains()
        self.check_limits()
        self.check_crashes()
        for host in self.hosts:
            host.signal(signal.SIGKILL)
            host.process.wait()
            host.log.close()
        for task in tasks:
            task.cancel()
        for server in servers + [host.backend.listener for host in self.hosts]:
            server.close()


def run_seed(seed, arguments):
    soak = SoakRun(seed, arguments.seconds, arguments.hosts, arguments.broken, arguments.profile)
    try:
        asyncio.run(soak.run())
    finally:
        for host in soak.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
    total = sum(soak.status_counts.values())
    print(f"seed {seed}: {total} requests, {soak.status_counts.get(200, 0)} answered, "
          f"{len(soak.violations)} violations")
    if soak.violations:
        for guarantee, text in soak.violations[:5]:
            print(f"  {guarantee}: {text}")
        with open(os.path.join(soak.folder, "events.log"), "w", encoding="utf-8") as file:
            file.write("\n".join(soak.events) + "\n")
        print(f"  logs and events in {soak.folder}")
    if soak.status_counts.get(200, 0) * 4 < total:
        print("  less than a quarter of the requests were answered")
        return ["service"]
    return [guarantee for guarantee, _ in soak.violations]


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--profile", choices=sorted(PROFILES), default="all")
    parser.add_argument("--break", dest="broken", default=None,
                        choices=["twice", "refused", "whole", "configuration", "drain", "shutdown"])
    arguments = parser.parse_args()
    first = arguments.seed if arguments.seed is not None else random.SystemRandom().randrange(10**6)
    failed_runs = 0
    for seed in range(first, first + arguments.count):
        failed_runs += 1 if run_seed(seed, arguments) else 0
    print(f"{arguments.count - failed_runs} runs without violations, {failed_runs} with violations")
    if arguments.broken:
        return 0 if failed_runs else 1
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
