"""Tests with real nodes that clients which keep to no limit end no process and keep ordinary callers
from no answer.

  clients.py SCENARIO [--unlimited]

Each scenario sends what a small crowd of such clients sends, keeps the connections open, and checks
what does not depend on the machine's speed: that each process lives, that its memory and its open
descriptors stayed under the stated limits, and that an ordinary request is answered while the crowd
is still connected. With --unlimited, the settings do not state the memory, for nodes that do not
know that setting; the bounds stay the same. Exit code 0 if the scenario holds."""

import asyncio
import os
import socket
import sys

from deployment import run_scenario, wait_until

# Limits of the host, which the settings state.
MEMORY_MB = 96
DESCRIPTORS = 256
# Limit of a request's body, of the configuration.
BODY_BYTES = 1048576
# Memory (160 MB, in units of 1048576 bytes) and largest body of a host that holds few such bodies.
SMALL_HOST_MB = 160e6 / 1048576
LARGE_BODY_BYTES = 64 * 1048576
# A crowd of small bodies that fill the same memory.
SMALL_BODY_BYTES = 60_000
SMALL_BODIES = 2000
# Connections of a crowd whose bodies, taken together, do not fit into the memory.
CROWD = 160
# Answers that one host holds for its clients at the same time, and the slots of the other hosts, which
# hold a small part of them each. The host has descriptors for all of them.
HELD_ANSWERS = 1400
SLOTS_PER_SERVER = 240
MANY_DESCRIPTORS = 4096
# Pause after each group of a crowd.
GROUP_PAUSE = 0.004
# Time in which a node reads what the crowd has sent, before the crowd closes.
SETTLE_TIME = 2.0
# Time in which a client tries to send all; a node that refuses it may close the connection earlier.
SEND_TIMEOUT = 20.0

HEAD = b"POST /look/x HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: 20000\r\nX-Attempt-Id: c\r\n"


class Client:
    """A connection that sends bytes, whatever the node answers, and stays open."""

    def __init__(self):
        self.writer = None
        self.discarding = None

    async def send(self, port, pieces):
        try:
            reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
            self.discarding = asyncio.create_task(self.discard(reader))
            for piece in pieces:
                self.writer.write(piece)
                await self.writer.drain()
        except OSError:
            pass  # Refused or closed by the node, which is allowed.

    async def discard(self, reader):
        try:
            while await reader.read(65536):
                pass
        except OSError:
            pass

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


async def send_all(port, messages):
    """Opens a connection for each message, sends all at the same time, and returns the clients."""
    clients = [Client() for _ in messages]
    await asyncio.wait([asyncio.create_task(client.send(port, message))
                        for client, message in zip(clients, messages)], timeout=SEND_TIMEOUT)
    return clients


def check_limits(host, memory_mb=MEMORY_MB, max_descriptors=DESCRIPTORS):
    assert host.process.poll() is None, f"{host.name} ended with {host.process.returncode}"
    with open(f"/proc/{host.process.pid}/status", encoding="utf-8") as status:
        fields = dict(line.split(":", 1) for line in status)
    peak_mb = int(fields["VmHWM"].split()[0]) / 1024
    descriptors = len(os.listdir(f"/proc/{host.process.pid}/fd"))
    print(f"{host.name}: {peak_mb:.1f} MB at the peak, {descriptors} descriptors")
    assert peak_mb < memory_mb, f"{host.name} held {peak_mb:.1f} MB"
    assert descriptors < max_descriptors, f"{host.name} held {descriptors} descriptors"


async def check_calm(deployment):
    """A single request with the largest body is served, also where it passes another host."""
    for host in deployment.hosts:
        await deployment.wait_until_served(host)
        for _ in range(4):
            status = await deployment.send_request(host, 10, body=b"x" * BODY_BYTES)
            assert status == 200, f"{status} to a single request of the largest size at {host.name}"


async def check_crowd(deployment, port, messages, group=CROWD):
    await check_calm(deployment)
    clients = []
    for start in range(0, len(messages), group):
        clients += await send_all(port, messages[start:start + group])
        await asyncio.sleep(GROUP_PAUSE)
    await asyncio.sleep(SETTLE_TIME)
    for host in deployment.hosts:
        check_limits(host)
        await deployment.wait_until_served(host)
    for client in clients:
        client.close()
    await check_calm(deployment)
    for host in deployment.hosts:
        check_limits(host)


def announced(size, sent, piece_bytes):
    """Pieces of a message whose body has the announced \p size and of which \p sent bytes follow."""
    yield HEAD + f"Content-Length: {size}\r\n\r\n".encode()
    for start in range(0, sent, piece_bytes):
        yield b"x" * min(piece_bytes, sent - start)


def chunked(sent, chunk_bytes, is_ended=False):
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"x" * chunk_bytes + b"\r\n"
    count = max(1, 16384 // chunk_bytes)  # Small chunks are sent many at once.
    for _ in range(0, sent, count * chunk_bytes):
        yield chunk * count
    if is_ended:
        yield b"0\r\n\r\n"


async def bodies_that_stop_short_of_their_end(deployment):
    await check_crowd(deployment, deployment.hosts[0].client_port,
                      [announced(BODY_BYTES, BODY_BYTES - 1, 16384 if number % 2 else BODY_BYTES)
                       for number in range(CROWD)])


async def chunked_bodies_that_stop_short_of_their_end(deployment):
    await check_crowd(deployment, deployment.hosts[0].client_port,
                      [chunked(BODY_BYTES - 65536, 65536) for _ in range(CROWD)])


async def very_small_chunks_that_stop_short_of_their_end(deployment):
    await check_crowd(deployment, deployment.hosts[0].client_port,
                      [chunked(BODY_BYTES // 8, 1) for _ in range(CROWD)])


async def bodies_far_over_the_limit(deployment):
    await check_crowd(deployment, deployment.hosts[0].client_port,
                      [announced(1 << 40, 4 * BODY_BYTES, 65536) if number % 2
                       else chunked(4 * BODY_BYTES, 65536) for number in range(CROWD)])


async def complete_bodies_while_servers_are_silent(deployment):
    """Bodies are held while their requests wait, also where they were passed to another host."""
    await check_calm(deployment)
    for host in deployment.hosts:
        host.backend.answer_event = asyncio.Event()
    clients = await send_all(deployment.hosts[0].client_port,
                             [announced(BODY_BYTES, BODY_BYTES, BODY_BYTES)
                              for _ in range(CROWD)])
    await asyncio.sleep(SETTLE_TIME)
    for host in deployment.hosts:
        check_limits(host)
        host.backend.answer_event.set()
        host.backend.answer_event = None
    for client in clients:
        client.close()
    await check_calm(deployment)
    for host in deployment.hosts:
        check_limits(host)


async def answers_that_wait_behind_an_unfinished_one(deployment):
    """Pipelined requests are answered in order, so that a slow first one holds up the answers of the
    others, which fit into the windows of flow control."""
    for host in deployment.hosts:
        host.backend.answer_bytes = 125_000
        host.backend.answer_seconds = 0.005
        host.backend.held_event = asyncio.Event()
    request = HEAD.replace(b"POST", b"GET") + b"\r\n"
    await check_crowd(deployment, deployment.hosts[0].client_port,
                      [[request.replace(b"/look/x", b"/look/held")] + [request] * 63
                       for _ in range(12)])


async def open_with_small_buffer(port, request):
    """Sends a request on a new connection, whose answer is left to the caller to read."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, ("127.0.0.1", port))
    await loop.sock_sendall(connection, request)
    return connection


def numbered(target):
    return HEAD.replace(b"POST", b"GET").replace(b"/look/x", target).replace(b": c", b": c%d") + b"\r\n"


async def single_answers_that_wait_behind_an_unfinished_one(deployment):
    """As answers_that_wait_behind_an_unfinished_one, with one answer on each of many connections."""
    request = numbered(b"/look/held") + numbered(b"/look/x").replace(b"%d", b"behind")
    for each in deployment.hosts:
        each.backend.answer_bytes = 125_000
        each.backend.answer_seconds = 0.005
        each.backend.held_event = asyncio.Event()
    host = deployment.hosts[0]
    for each in deployment.hosts:
        each.backend.slots = SLOTS_PER_SERVER
        await wait_until(lambda each=each: each.backend.announce(each.announcement_port),
                         "an announcement with many slots")
    await deployment.wait_until_served(host)
    await asyncio.sleep(SETTLE_TIME)  # The hosts report their slots to each other.
    connections = [await open_with_small_buffer(host.client_port, request % number)
                   for number in range(HELD_ANSWERS)]
    await asyncio.sleep(2 * SETTLE_TIME)
    for each in deployment.hosts:
        check_limits(each, max_descriptors=MANY_DESCRIPTORS)
    await deployment.wait_until_served(host)
    for connection in connections:
        connection.close()
    await deployment.wait_until_served(host)
    for each in deployment.hosts:
        check_limits(each, max_descriptors=MANY_DESCRIPTORS)


async def heads_that_stop_short_of_their_end(deployment):
    await check_crowd(deployment, deployment.hosts[0].client_port,
                      [[HEAD] for _ in range(2 * DESCRIPTORS)], group=1)


async def bodies_at_the_other_listeners(deployment):
    host = deployment.hosts[0]
    await check_calm(deployment)
    clients = []
    for port in (host.announcement_port, host.readiness_port, host.metrics_port):
        clients += await send_all(port, [announced(BODY_BYTES, BODY_BYTES - 1, 65536)
                                         for _ in range(CROWD // 2)])
    await asyncio.sleep(SETTLE_TIME)
    check_limits(host)
    assert await host.backend.announce(host.announcement_port), "announcement not acknowledged"
    await deployment.wait_until_served(host)
    for client in clients:
        client.close()


async def strangers_at_the_path_between_nodes(deployment):
    """Connections that announce a large frame and stop short of its end."""
    frame = [(64 << 20).to_bytes(4, "big")] + [b"x" * 65536] * 160
    await check_crowd(deployment, deployment.hosts[0].peer_port, [frame] * 16)


async def idle_strangers_at_the_path_between_nodes(deployment):
    await check_crowd(deployment, deployment.hosts[0].peer_port,
                      [[b"x"] for _ in range(2 * DESCRIPTORS)], group=1)


async def a_large_body_after_a_crowd_of_small_ones_on_a_small_host(deployment):
    """The memory that the small bodies occupied is there for the large one once they have gone."""
    host = deployment.hosts[0]
    await deployment.wait_until_served(host)
    clients = await send_all(host.client_port, [announced(SMALL_BODY_BYTES, SMALL_BODY_BYTES - 1, 16384)
                                                for _ in range(SMALL_BODIES)])
    await asyncio.sleep(SETTLE_TIME)
    for client in clients:
        client.close()
    await asyncio.sleep(SETTLE_TIME / 2)
    status = await deployment.send_request(host, 10, body=b"x" * LARGE_BODY_BYTES)
    check_limits(host, SMALL_HOST_MB, MANY_DESCRIPTORS)
    assert status == 200, f"{status} to a single request"


async def single_bodies_of_the_largest_size_on_a_small_host(deployment):
    """Bodies that take up much of the memory, one after the other, which some pass another host."""
    for host in deployment.hosts:
        await deployment.wait_until_served(host)
    for _ in range(6):
        status = await deployment.send_request(deployment.hosts[0], 10, body=b"x" * LARGE_BODY_BYTES)
        assert status == 200, f"{status} to a single request"
    for host in deployment.hosts:
        check_limits(host, SMALL_HOST_MB)


SCENARIOS = {function.__name__: (function, host_count) for function, host_count in (
    (bodies_that_stop_short_of_their_end, 2),
    (chunked_bodies_that_stop_short_of_their_end, 1),
    (very_small_chunks_that_stop_short_of_their_end, 1),
    (bodies_far_over_the_limit, 1),
    (complete_bodies_while_servers_are_silent, 2),
    (answers_that_wait_behind_an_unfinished_one, 2),
    (single_answers_that_wait_behind_an_unfinished_one, 7),
    (heads_that_stop_short_of_their_end, 1),
    (bodies_at_the_other_listeners, 1),
    (strangers_at_the_path_between_nodes, 2),
    (idle_strangers_at_the_path_between_nodes, 2),
    (a_large_body_after_a_crowd_of_small_ones_on_a_small_host, 1),
    (single_bodies_of_the_largest_size_on_a_small_host, 2))}


def main():
    def options_of(scenario):
        is_large = scenario in (single_bodies_of_the_largest_size_on_a_small_host,
                                a_large_body_after_a_crowd_of_small_ones_on_a_small_host)
        holds_many_answers = scenario == single_answers_that_wait_behind_an_unfinished_one
        has_many_connections = holds_many_answers \
            or scenario == a_large_body_after_a_crowd_of_small_ones_on_a_small_host
        limits = {"descriptors": MANY_DESCRIPTORS if has_many_connections else DESCRIPTORS}
        if "--unlimited" not in sys.argv:
            limits["memory_mb"] = 160 if is_large else MEMORY_MB
        return {"limits": limits, "body_bytes": LARGE_BODY_BYTES if is_large else BODY_BYTES,
                "max_connections": 2 * SLOTS_PER_SERVER if holds_many_answers else 100}

    run_scenario(SCENARIOS, options_of)


if __name__ == "__main__":
    main()
