"""Stand-ins for the soak test: store, backend servers, and a TCP proxy that injects faults."""

import asyncio
import base64
import json
import random
import time


class HttpStream:
    """Reads requests or responses and writes messages on one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.mutate = None  # If set, changes the bytes of each message that is sent.
        # If set, gets each start line; bytes that it returns are sent before the body is read, and
        # the connection is reset.
        self.answer_early = None

    async def read_message(self):
        """Returns start line, fields by lower-case name and body; None at the end of the stream."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        start_line, *lines = head[:-4].split("\r\n")
        if self.answer_early and (answer := self.answer_early(start_line)):
            self.writer.write(answer)
            self.writer.transport.abort()
            return None
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        if fields.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    return start_line, fields, body
                body += chunk[:-2]
        return start_line, fields, await self.reader.readexactly(int(fields.get(
            "content-length", 0)))

    async def send_message(self, start_line, fields, body=b""):
        lines = [start_line] + [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        # Surrogate escapes stand for bytes that are no text.
        message = "\r\n".join(lines).encode(errors="surrogateescape") + b"\r\n\r\n" + body
        self.writer.write(self.mutate(message) if self.mutate else message)
        await self.writer.drain()


class Store:
    """In-memory store with one revision counter for all rows; `mode` selects a fault."""

    def __init__(self):
        self.rows = {}
        self.change_log = []
        self.revision = 0
        self.calls = {}  # Number of executed calls, by the last part of the path and the table.
        self.oldest_watchable_revision = 0
        # ok, refusing (503), silent (no answer), slow, losing (executes the call and closes the
        # connection without an answer)
        self.mode = "ok"
        self.change_event = asyncio.Event()
        self.era = 1  # Rises each time the store returns from a copy.
        self.mutate = None  # If set, changes the bytes of each answer.

    async def start(self, port):
        return await asyncio.start_server(self.serve_connection, "127.0.0.1", port)

    def copy(self):
        """A copy of the content, for return_from_copy()."""
        return dict(self.rows), list(self.change_log), self.revision

    def return_from_copy(self, copy):
        """Forgets what was written since the copy was made; gives revisions out again."""
        rows, change_log, self.revision = copy
        self.rows, self.change_log = dict(rows), list(change_log)
        self.era += 1
        self.mode = "ok"

    def put(self, table, key, value):
        self.revision += 1
        row = {"table": table, "part": "", "key": key, "ver": self.revision,
               "value": base64.b64encode(value).decode()}
        self.rows[(table, key)] = row
        self.change_log.append(row)
        self.change_event.set()
        self.change_event = asyncio.Event()

    def remove(self, table, key):
        self.revision += 1
        self.rows.pop((table, key), None)
        self.change_log.append({"table": table, "part": "", "key": key, "ver": self.revision,
                                "deleted": True})

    def compact(self):
        self.oldest_watchable_revision = self.revision

    async def serve_connection(self, reader, writer):
        stream = HttpStream(reader, writer)
        stream.mutate = self.mutate
        try:
            while (message := await stream.read_message()) is not None:
                if not await self.handle_message(stream, message):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The node abandoned the call, or the run is over.
        writer.close()

    async def handle_message(self, stream, message):
        """Returns False if the connection is to be closed without an answer."""
        start_line, _, body = message
        _, target, _ = start_line.split(" ")
        mode = self.mode
        if mode == "silent":
            await asyncio.sleep(30)
            return False
        if mode == "refusing":
            await stream.send_message("HTTP/1.1 503 Service Unavailable",
                                      {"Store-Era": self.era})
            return True
        if mode == "slow":
            await asyncio.sleep(0.3)
        era = self.era
        status, result = await self.execute(target, body)
        if mode == "losing" or era != self.era:
            return False  # Calls that are open when the store goes away get no answer.
        await stream.send_message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json",
                                                           "Store-Era": self.era},
                                  json.dumps(result).encode())
        return True

    async def execute(self, target, body):
        path, _, query = target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        call_name = path.rpartition("/")[2], arguments.get("table")
        self.calls[call_name] = self.calls.get(call_name, 0) + 1
        if path.endswith("rows-tx"):
            call = json.loads(body)
            present = [self.rows.get((row["table"], row["key"])) for row in call["expected_rev"]]
            if any((row["ver"] if row else 0) != expected["ver"]
                   for row, expected in zip(present, call["expected_rev"])):
                return 412, self.result(rows=[row for row in present if row])
            for row in call["writes"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["remove"]:
                self.remove(row["table"], row["key"])
            return 200, self.result()
        if path.endswith("rows-get"):
            start, end = arguments.get("from", ""), arguments.get("target")
            rows = [row for (table, key), row in sorted(self.rows.items())
                    if table == arguments["table"] and key >= start
                    and (end is None or key < end)]
            return 200, self.result(rows=rows, has_more=False)
        return await self.watch(arguments)

    async def watch(self, arguments):
        after = int(arguments["after"])
        deadline = time.monotonic() + int(arguments["wait_ms"]) / 1000
        while True:
            if after < self.oldest_watchable_revision or after > self.revision:
                return 410, {"error": "history"}
            rows = [row for row in self.change_log
                    if row["ver"] > after and row["table"] == arguments["table"]]
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return 200, self.result(rows=rows)
            try:
                await asyncio.wait_for(self.change_event.wait(), remaining)
            except asyncio.TimeoutError:
                pass  # The long poll timed out without a change.

    def result(self, **extra):
        return {"ver": self.revision, "now": f"{int(time.monotonic() * 1000)}ms", **extra}


class BackendServer:
    """One backend server, which records each execution of a request."""

    def __init__(self, host, service, address, executions, random_source=random, crashes=None):
        self.host = host
        self.service = service
        self.address = address
        # request id -> [(start, backend server id, drained_at, target)]
        self.executions = executions
        self.random = random_source
        self.generation = 0
        self.sequence = 0
        self.state = "gone"
        self.drained_at = None  # Time at which the drain was acknowledged.
        self.truncation_probability = 0.0
        # Runs of requests that end the server: target -> [(start, origin of the request)].
        self.crashes = crashes if crashes is not None else {}
        self.is_stating_departure = False  # Its answers say that it leaves.
        self.listener = None
        self.port = 0
        self.writers = set()
        self.request_limit = None  # Requests per second that it names in its answers.
        self.names_limit_in_health = True
        self.fails_health_check = False
        self.health_id = None  # If set, health answers name this id.
        self.mutate = None  # If set, changes the bytes of each answer.
        self.answer_early = None  # If set, as in HttpStream.
        self.answer_seconds = None  # If set, requests run for this time.
        self.answer_bytes = None  # If set, answers have bodies of this size.
        self.slots = 8
        self.held_event = None  # If set, requests whose target ends with /held run until it happens.
        self.answer_event = None  # If set, requests run until it happens instead of a short time.
        self.restart()

    def restart(self):
        self.generation += 1
        self.id = f"i-{self.host}-{self.generation}"
        self.started_unix_ms = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.drained_at = None
        self.is_stating_departure = False

    async def start(self, port):
        self.port = port
        self.listener = await asyncio.start_server(self.serve_connection, "127.0.0.1", port)

    def crash(self):
        """Ends the process: all connections are reset, and new ones refused."""
        self.state = "gone"
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart_after_crash(self):
        await self.start(self.port)
        self.restart()

    async def announce(self, announcement_port, state=None, sequence=None):
        """Sends one announcement, by default the next one in the present state; true if it was
        acknowledged."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        state = state or self.state
        body = json.dumps({"service": self.service, "address": self.address, "zone": "z",
                           "version": "v1", "slots": self.slots, "state": state,
                           "cold_remaining": "0ms",
                           "sequence": sequence, "born": self.started_unix_ms}).encode()
        return await self.call_node(announcement_port, "Heartbeat", body, state == "draining")

    async def deregister(self, announcement_port):
        """Stops being ready and sends a deregistration; true if it was acknowledged."""
        self.state = "leaving"
        return await self.call_node(announcement_port, "Deregister", b"", True)

    async def call_node(self, announcement_port, call, body, is_drain):
        """Sends a call to the node and records when a drain is acknowledged."""
        server = self.id
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", announcement_port)
            stream = HttpStream(reader, writer)
            await stream.send_message(f"POST /godwitlift/Instances.{call}/{server} HTTP/1.1",
                                      {"Host": "n"}, body)
            answer = await asyncio.wait_for(stream.read_message(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        is_acknowledged = answer is not None and " 200 " in answer[0] + " "
        if is_acknowledged and is_drain and server == self.id and self.drained_at is None:
            self.drained_at = time.monotonic()
        return is_acknowledged

    def notice_fields(self):
        """What the server says about itself in each of its answers."""
        fields = {}
        if self.request_limit is not None:
            fields["Server-Limit"] = f"{self.request_limit:g}"
        if self.is_stating_departure:
            fields["Server-Leaving"] = "1"
            self.drained_at = self.drained_at or time.monotonic()
        return fields

    async def serve_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve_requests(reader, writer)
        finally:
            self.writers.discard(writer)

    async def serve_requests(self, reader, writer):
        stream = HttpStream(reader, writer)
        stream.mutate = self.mutate
        stream.answer_early = self.answer_early
        try:
            while (message := await stream.read_message()) is not None:
                if not await self.handle_message(stream, message):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The gate cancelled the request, or the run is over.
        writer.close()

    async def handle_message(self, stream, message):
        start_line, fields, body = message
        method, target, _ = start_line.split(" ")
        if target == "/health":
            is_healthy = self.state == "ready" and not self.fails_health_check
            status = "200 OK" if is_healthy else "503 Service Unavailable"
            await stream.send_message(f"HTTP/1.1 {status}", {"X-Instance-Id": self.health_id or self.id,
                                                             "X-Server-Load": f"0,0,{self.slots}",
                                                             **(self.notice_fields()
                                                                if self.names_limit_in_health
                                                                else {})})
            return True
        expected = fields.get("x-expect-instance", self.id)
        if expected != self.id or self.state == "gone":
            await stream.send_message("HTTP/1.1 421 Misdirected Request",
                                      {"X-Instance-Id": self.id, "X-Not-Executed": "1"})
            return True
        request = fields.get("x-attempt-id")
        if request is None:
            await stream.send_message("HTTP/1.1 400 Bad Request",
                                      {"X-Instance-Id": self.id, "X-Not-Executed": "1"})
            return True
        self.executions.setdefault(request, []).append(
            (time.monotonic(), self.id, self.drained_at, target))
        if target.startswith("/look/crash"):
            self.crashes.setdefault(target, []).append((time.monotonic(), self.id, request))
            await asyncio.sleep(0.05)
            self.crash()
            return False
        if self.held_event is not None and target.endswith("/held"):
            await self.held_event.wait()
        elif self.answer_event is not None:
            await self.answer_event.wait()
        elif self.answer_seconds is not None:
            await asyncio.sleep(self.answer_seconds)
        else:
            await asyncio.sleep(self.random.uniform(0.01, 0.08))
        text = f"{method} {target} {len(body)} ".encode() + b"x" * (len(target) * 37 % 4000)
        if self.answer_bytes is not None:
            text = b"x" * self.answer_bytes
        if self.random.random() < self.truncation_probability:
            stream.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + text)
            await stream.writer.drain()
            return False
        await stream.send_message("HTTP/1.1 200 OK",
                                  {"X-Attempt-Id": request, "X-Response-Seal": "s",
                                   **self.notice_fields()}, text)
        return True


class Proxy:
    """Forwards TCP connections to one port; can delay, reset or refuse them, or drop their bytes."""

    RECORDED_PIECES = 200

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay = 0.0
        self.is_refusing = False
        self.dropped_directions = set()  # Directions in which bytes are dropped: "up", "down".
        self.connections = set()
        self.open_connections = []  # For each one, the directions in which it drops bytes.
        self.recorded = []  # Pieces that were forwarded, the first RECORDED_PIECES of them.

    async def start(self, port):
        return await asyncio.start_server(self.serve_connection, "127.0.0.1", port)

    def silence_open_connections(self):
        """Drops all further bytes of the open connections, which are not reset; new ones work."""
        for is_dropping in self.open_connections:
            is_dropping.update(up=True, down=True)

    def reset_all(self):
        for writers in list(self.connections):
            for writer in writers:
                writer.transport.abort()

    async def serve_connection(self, reader, writer):
        if self.is_refusing:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        writer_pair = (writer, upstream_writer)
        self.connections.add(writer_pair)
        # A connection that has lost bytes keeps dropping them; new connections work again.
        is_dropping = {"up": False, "down": False}
        self.open_connections.append(is_dropping)
        try:
            await asyncio.gather(self.forward(reader, upstream_writer, "up", is_dropping),
                                 self.forward(upstream_reader, writer, "down", is_dropping))
        except asyncio.CancelledError:
            pass  # The run is over.
        self.open_connections = [each for each in self.open_connections if each is not is_dropping]
        self.connections.discard(writer_pair)
        for each_writer in writer_pair:
            each_writer.close()

    async def forward(self, reader, writer, direction, is_dropping):
        try:
            while data := await reader.read(65536):
                is_dropping[direction] = is_dropping[direction] \
                    or direction in self.dropped_directions
                if is_dropping[direction]:
                    continue
                if len(self.recorded) < self.RECORDED_PIECES:
                    self.recorded.append(data)
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError, asyncio.CancelledError):
            writer.transport.abort()
