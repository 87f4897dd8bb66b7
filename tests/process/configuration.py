"""Tests with real nodes that each version of the configuration is in force in time at every node that
reaches the store, whichever single part of its way there fails, and that nodes find each other again.

  configuration.py SCENARIO

Exit code 0 if the scenario holds. The nodes' logs are printed if it does not."""

import asyncio
import time

from deployment import run_scenario, wait_until

# The users' bounds in seconds: from the acknowledgement of a version until it is in force, and from
# the reset of a host's connections until bounds hold for the host again.
APPLY_LIMIT = 2.0
STABILITY = 3.0
# Changes a scenario makes, each at another phase of the nodes' timers.
CHANGE_COUNT = 5
# Time between the end of one fault and the next.
RECOVERY_TIME = 4.5


async def wait_until_in_force(deployment):
    """Waits until all hosts serve the newest version."""
    for host in deployment.hosts:
        await host.backend.announce(host.announcement_port)

        async def is_in_force(host=host):
            return await deployment.send_request(host, target=f"/v{deployment.version}/x") == 200
        await wait_until(is_in_force, f"version {deployment.version} at {host.name}")


async def check_in_force(deployment, judged_from):
    """Requires that no host answers as before the newest version to requests sent from \\p judged_from on."""
    await asyncio.sleep(max(judged_from - time.monotonic(), 0))
    for _ in range(5):
        statuses = await asyncio.gather(*(deployment.send_request(
            host, target=f"/v{deployment.version}/x") for host in deployment.hosts))
        late = [host.name for host, status in zip(deployment.hosts, statuses) if status == 404]
        assert not late, (f"version {deployment.version} is not in force at {', '.join(late)}, "
                          f"{time.monotonic() - judged_from:.2f} s after the bound")
        await asyncio.sleep(0.1)


async def announce_all(deployment):
    """Announces the backend servers again and again, as they do."""
    while True:
        for host in deployment.hosts:
            await host.backend.announce(host.announcement_port)
        await asyncio.sleep(0.87)


async def change_during(deployment, begin, end, excuses=False):
    """Publishes a version shortly after each of several faults, and requires that it is in force in time.

    \\p excuses tells whether hosts that the fault has met are excused for STABILITY."""
    announcements = asyncio.ensure_future(announce_all(deployment))
    await wait_until_in_force(deployment)
    for number in range(CHANGE_COUNT):
        await asyncio.sleep(RECOVERY_TIME + 0.37 * number)
        begun = time.monotonic()
        begin()
        await asyncio.sleep(0.1 + 0.2 * number)
        deployment.publish()
        judged_from = time.monotonic() + APPLY_LIMIT
        await check_in_force(deployment, max(judged_from, begun + STABILITY) if excuses else judged_from)
        end()
    announcements.cancel()


# Guards against a node that relies on the watcher of its zone after it has lost all peers (incident
# late-configuration).
async def nodes_cut_off_from_each_other(deployment):
    def cut():
        for host in deployment.hosts:
            host.peer_proxy.dropped_directions = {"up", "down"}

    def heal():
        for host in deployment.hosts:
            host.peer_proxy.dropped_directions = set()
            host.peer_proxy.reset_all()

    await change_during(deployment, cut, heal)


# Guards against watchers that wait for an answer on a connection that went silent (incident
# late-configuration).
async def silent_connections_to_the_store(deployment):
    def silence():
        for host in deployment.hosts:
            host.store_proxy.silence_open_connections()

    await change_during(deployment, silence, lambda: None, excuses=True)


# Guards against timeouts of links and of store calls that follow each other (incident late-configuration).
async def silent_connections_everywhere(deployment):
    def silence():
        for host in deployment.hosts:
            host.store_proxy.silence_open_connections()
            host.peer_proxy.silence_open_connections()

    await change_during(deployment, silence, lambda: None, excuses=True)


# Guards against a zone that waits until it has noticed that its watcher no longer runs (incident
# late-configuration).
async def frozen_watcher(deployment):
    frozen = []

    def watchers():
        """Hosts whose latest `watching` line, if any, says that they watch; all watch at their start."""
        result = []
        for host in deployment.hosts:
            with open(host.log, encoding="utf-8") as log:
                lines = [line for line in log if "event=watching" in line]
            if not lines or "active=yes" in lines[-1]:
                result.append(host)
        return result

    def freeze():
        frozen[:] = watchers()
        for host in frozen:
            host.freeze()

    def resume():
        for host in frozen:
            host.resume()
        frozen.clear()

    announcements = asyncio.ensure_future(announce_all(deployment))
    await wait_until_in_force(deployment)
    all_hosts = deployment.hosts
    for number in range(CHANGE_COUNT):
        await asyncio.sleep(RECOVERY_TIME + 0.37 * number)
        freeze()
        assert 0 < len(frozen) < len(all_hosts), [host.name for host in frozen]
        await asyncio.sleep(0.1 + 0.2 * number)
        deployment.publish()
        deployment.hosts = [host for host in all_hosts if host not in frozen]
        await check_in_force(deployment, time.monotonic() + APPLY_LIMIT)
        deployment.hosts = all_hosts
        resume()
    announcements.cancel()


# Guards against a read position of the store's earlier history, which skips versions (incident
# late-configuration).
async def store_that_returns_from_a_copy(deployment):
    announcements = asyncio.ensure_future(announce_all(deployment))
    await wait_until_in_force(deployment)
    for lost in (2, 3, 4):
        copy = deployment.store.copy()
        for _ in range(lost):
            deployment.publish()
        await wait_until_in_force(deployment)
        deployment.store.mode = "silent"
        await asyncio.sleep(1)
        deployment.store.return_from_copy(copy)
        # The operator writes its newest version again, others write as well, and one more version
        # gets the revision of the newest one that the nodes have read.
        deployment.store.put("op", "config", deployment.encode_configuration(deployment.version))
        for number in range(lost - 2):
            deployment.store.put("servers", f"i-{number}", b"{}")
        deployment.publish()
        await check_in_force(deployment, time.monotonic() + max(APPLY_LIMIT, STABILITY))
    announcements.cancel()


# Guards against a partition of more than a minute that never ends for the nodes (review report).
async def partition_of_more_than_a_minute(deployment):
    async def has_all_links(host):
        status, body = await deployment.read_metrics(host)
        return status == 200 and f'value="links_up"}} {len(deployment.hosts) - 1}\n' in body

    async def wait_for_links(description):
        for host in deployment.hosts:
            await wait_until(lambda host=host: has_all_links(host), f"{description} of {host.name}")

    await wait_until_in_force(deployment)
    await wait_for_links("links")
    for host in deployment.hosts:
        host.peer_proxy.is_refusing = True
        host.peer_proxy.reset_all()
    await asyncio.sleep(63)
    # Also without the store.
    deployment.store.mode = "refusing"
    for host in deployment.hosts:
        host.peer_proxy.is_refusing = False
    healed = time.monotonic()
    await wait_for_links("links after the partition")
    assert time.monotonic() - healed <= 6, f"links after {time.monotonic() - healed:.1f} s"


SCENARIOS = {function.__name__: (function, host_count) for function, host_count in (
    (nodes_cut_off_from_each_other, 4),
    (silent_connections_to_the_store, 4),
    (silent_connections_everywhere, 4),
    (frozen_watcher, 4),
    (store_that_returns_from_a_copy, 3),
    (partition_of_more_than_a_minute, 3))}
# Each host alone in its zone, so that none reads on behalf of another.
ZONE_COUNTS = {"store_that_returns_from_a_copy": 3, "partition_of_more_than_a_minute": 3}


def main():
    run_scenario(SCENARIOS, lambda scenario: {"zone_count": ZONE_COUNTS.get(scenario.__name__, 2)})


if __name__ == "__main__":
    main()
