"""Stand-ins of the platform for the soak: store, backend servers, and a TCP proxy that misbehaves."""

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

    async def message(self):
        """First line, fields by lower-case name, body; None at the end of the stream."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        first, *lines = head[:-4].split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        if fields.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                piece = await self.reader.readexactly(size + 2)
                if size == 0:
                    return first, fields, body
                body += piece[:-2]
        return first, fields, await self.reader.readexactly(int(fields.get("content-length", 0)))

    async def send(self, first, fields, body=b""):
        lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()


class Store:
    """Rows with one counter of revisions, in a state that the soak may disturb."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.revision = 0
        self.history_from = 0
        self.mode = "ok"  # ok, refusing, silent, slow, losing
        self.changed = asyncio.Event()

    async def start(self, port):
        return await asyncio.start_server(self.serve, "127.0.0.1", port)

    def put(self, table, key, value):
        self.revision += 1
        row = {"table": table, "part": "", "key": key, "ver": self.revision,
               "value": base64.b64encode(value).decode()}
        self.rows[(table, key)] = row
        self.log.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, table, key):
        self.revision += 1
        self.rows.pop((table, key), None)
        self.log.append({"table": table, "part": "", "key": key, "ver": self.revision,
                         "deleted": True})

    def compact(self):
        self.history_from = self.revision

    async def serve(self, reader, writer):
        stream = HttpStream(reader, writer)
        try:
            while (message := await stream.message()) is not None:
                if not await self.answer(stream, message):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The node gave the call up, or the run is over.
        writer.close()

    async def answer(self, stream, message):
        """False if the connection is to be closed without an answer."""
        first, _, body = message
        _, target, _ = first.split(" ")
        mode = self.mode
        if mode == "silent":
            await asyncio.sleep(30)
            return False
        if mode == "refusing":
            await stream.send("HTTP/1.1 503 Service Unavailable", {})
            return True
        if mode == "slow":
            await asyncio.sleep(0.3)
        status, result = await self.perform(target, body)
        if mode == "losing":
            return False
        await stream.send(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                          json.dumps(result).encode())
        return True

    async def perform(self, target, body):
        path, _, query = target.partition("?")
        arguments = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path.endswith("rows-tx"):
            call = json.loads(body)
            for row in call["writes"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["remove"]:
                self.remove(row["table"], row["key"])
            return 200, self.result()
        if path.endswith("rows-get"):
            start = arguments.get("from", "")
            rows = [row for (table, key), row in sorted(self.rows.items())
                    if table == arguments["table"] and key >= start]
            return 200, self.result(rows=rows, has_more=False)
        return await self.feed(arguments)

    async def feed(self, arguments):
        after = int(arguments["after"])
        until = time.monotonic() + int(arguments["wait_ms"]) / 1000
        while True:
            if after < self.history_from:
                return 410, {"error": "history"}
            rows = [row for row in self.log
                    if row["ver"] > after and row["table"] == arguments["table"]]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self.result(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass  # The wait has ended without a change.

    def result(self, **members):
        return {"ver": self.revision, "now": f"{int(time.monotonic() * 1000)}ms", **members}


class BackendServer:
    """One backend server; it records every run with its start."""

    def __init__(self, host, service, address, runs, random_source):
        self.host = host
        self.service = service
        self.address = address
        self.runs = runs  # request id -> list of (start, backend server id)
        self.random = random_source
        self.number = 0
        self.sequence = 0
        self.state = "gone"
        self.drained_at = None  # When the drain was acknowledged.
        self.garble = 0.0
        self.restart()

    def restart(self):
        self.number += 1
        self.id = f"i-{self.host}-{self.number}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.drained_at = None

    async def start(self, port):
        return await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def announce(self, control_port):
        """One announcement; remembers when a drain was acknowledged."""
        self.sequence += 1
        state, server = self.state, self.id
        body = json.dumps({"service": self.service, "address": self.address, "zone": "z",
                           "version": "v1", "slots": 8, "state": state, "cold_remaining": "0ms",
                           "sequence": self.sequence, "born": self.born}).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", control_port)
            stream = HttpStream(reader, writer)
            await stream.send(f"POST /godwitlift/Instances.Heartbeat/{server} HTTP/1.1",
                              {"Host": "n"}, body)
            answer = await asyncio.wait_for(stream.message(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        if (answer is not None and " 200 " in answer[0] + " " and state == "draining"
                and server == self.id and self.drained_at is None):
            self.drained_at = time.monotonic()

    async def serve(self, reader, writer):
        stream = HttpStream(reader, writer)
        try:
            while (message := await stream.message()) is not None:
                if not await self.answer(stream, message):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The gate cancelled the request, or the run is over.
        writer.close()

    async def answer(self, stream, message):
        first, fields, body = message
        method, target, _ = first.split(" ")
        if target == "/health":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            await stream.send(f"HTTP/1.1 {status}", {"X-Instance-Id": self.id,
                                                     "X-Server-Load": "0,0,8"})
            return True
        expected = fields.get("x-expect-instance", self.id)
        if expected != self.id or self.state == "gone":
            await stream.send("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.id,
                                                                   "X-Not-Executed": "1"})
            return True
        request = fields["x-attempt-id"]
        self.runs.setdefault(request, []).append(
            (time.monotonic(), self.id, self.drained_at, target))
        await asyncio.sleep(self.random.uniform(0.01, 0.08))
        text = f"{method} {target} {len(body)} ".encode() + b"x" * (len(target) * 37 % 4000)
        if self.random.random() < self.garble:
            stream.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + text)
            await stream.writer.drain()
            return False
        await stream.send("HTTP/1.1 200 OK", {"X-Attempt-Id": request, "X-Response-Seal": "s"},
                          text)
        return True


class Proxy:
    """Forwards TCP to one address; connections may be delayed, reset, silenced or refused."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay = 0.0
        self.is_refusing = False
        self.silenced = set()  # Directions in which bytes are swallowed: "up", "down".
        self.pairs = set()

    async def start(self, port):
        return await asyncio.start_server(self.serve, "127.0.0.1", port)

    def reset_all(self):
        for writers in list(self.pairs):
            for writer in writers:
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.is_refusing:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self.pairs.add(pair)
        # A connection that is silenced once stays so; new ones work again.
        state = {"up": False, "down": False}
        try:
            await asyncio.gather(self.pump(reader, up_writer, "up", state),
                                 self.pump(up_reader, writer, "down", state))
        except asyncio.CancelledError:
            pass  # The run is over.
        self.pairs.discard(pair)
        for end in pair:
            end.close()

    async def pump(self, reader, writer, direction, state):
        try:
            while data := await reader.read(65536):
                state[direction] = state[direction] or direction in self.silenced
                if state[direction]:
                    continue
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError, asyncio.CancelledError):
            writer.transport.abort()
