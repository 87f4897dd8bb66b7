"""Convergence and control cost with real processes: python3 scripts/measure_convergence.py 9 36 90

For each fleet size prints the time from the confirming command to the version in force on the nodes
(median, p99, worst), and control bytes, processor time and memory per node, idle and under changes."""

import datetime
import json
import re
import sys
import time

from local_mesh import LocalMesh, OPERATORS_PORT, metrics

ZONES = ["caruaru", "recife", "campina", "fortaleza"]
IDLE_SECONDS = 15
CHANGES = 8
CHANGE_PERIOD = 1.0


def sample(mesh):
    return [metrics(node) for node in mesh.nodes]


def total(samples, prefix):
    return sum(value for one in samples for name, value in one.items() if name.startswith(prefix))


def by_kind(before, after, seconds, nodes):
    kinds = {}
    for samples, sign in ((before, -1), (after, 1)):
        for one in samples:
            for name, value in one.items():
                match = re.match(r'godwitlift_control_sent_bytes_total\{kind="([^"]+)"\}', name)
                if match:
                    kinds[match[1]] = kinds.get(match[1], 0) + sign * value
    return {kind: value / seconds / nodes for kind, value in kinds.items() if value > 0}


def cost(label, mesh, before, after, seconds):
    count = len(mesh.nodes)
    sent = total(after, "godwitlift_control_sent_bytes") - total(before, "godwitlift_control_sent_bytes")
    cpu = total(after, 'godwitlift_state{what="processor_seconds"}') - total(
        before, 'godwitlift_state{what="processor_seconds"}')
    memory = total(after, 'godwitlift_state{what="resident_bytes"}') / count
    kinds = by_kind(before, after, seconds, count)
    print(f"cost nodes={count} phase={label} sent_bytes_per_node_s={sent / seconds / count:.0f} "
          f"cpu_percent_of_core={100 * cpu / seconds / count:.2f} resident_mb={memory / 1e6:.1f} "
          + " ".join(f"{kind}={value:.0f}" for kind, value in sorted(kinds.items())), flush=True)


def applied_times(mesh, version):
    times = []
    for node in mesh.nodes:
        match = re.search(
            rf"time=(\S+) node=\S+ event=version_applied version={version} ", mesh.log(node.host))
        if match:
            moment = datetime.datetime.strptime(match[1], "%Y-%m-%dT%H:%M:%S.%fZ")
            times.append(moment.replace(tzinfo=datetime.timezone.utc).timestamp())
    return times


def intent(variant):
    return {
        "ranks": {"lookups": {"urgency": 0}},
        "services": {"stock": {"slow_start_ms": variant}},
        "routes": {"stock": {"path_prefix": "/stock", "service": "stock", "rank": "lookups"}},
    }


def run(count, shape):
    mesh = LocalMesh(control={"fan_out": shape})
    mesh.start_platform()
    started = time.monotonic()
    for index in range(count):
        mesh.add_node(f"h{index}", ZONES[index % len(ZONES)], "nordeste")
    mesh.wait_ready(timeout=180)
    mesh.wait_members(timeout=180)
    print(f"start nodes={count} seconds={time.monotonic() - started:.1f}", flush=True)
    time.sleep(5)
    before = sample(mesh)
    begin = time.monotonic()
    time.sleep(IDLE_SECONDS)
    cost("idle", mesh, before, sample(mesh), time.monotonic() - begin)

    seconds = []
    missing = 0
    before = sample(mesh)
    reads_before = mesh.faults()
    begin = time.monotonic()
    confirmed = {}
    for change in range(CHANGES):
        file = mesh.path("intent.json")
        file.write_text(json.dumps(intent(change + 1)))
        node = mesh.nodes[(7 * change) % count]
        plan = mesh.path("plan.json")
        mesh.ctl(node, "plan", file, "--save", plan)
        moment = time.time()
        answer = mesh.ctl(node, "--output", "json", "confirm", plan, "--yes", "--no-wait").stdout
        confirmed[json.loads(answer)["version"]] = moment
        time.sleep(CHANGE_PERIOD)
    time.sleep(2)
    cost("changes", mesh, before, sample(mesh), time.monotonic() - begin)
    for version, moment in confirmed.items():
        times = applied_times(mesh, version)
        missing += count - len(times)
        seconds += [one - moment for one in times]
    seconds.sort()
    print(f"convergence nodes={count} fan_out={shape} changes={CHANGES} "
          f"median_ms={1e3 * seconds[len(seconds) // 2]:.0f} "
          f"p99_ms={1e3 * seconds[int(0.99 * (len(seconds) - 1))]:.0f} "
          f"worst_ms={1e3 * seconds[-1]:.0f} skipped_versions={missing}", flush=True)
    print(f"platform nodes={count} before=({reads_before.strip()}) after=({mesh.faults().strip()})")
    mesh.close()


def main():
    shape = "tree"
    for argument in sys.argv[1:] or ["9", "36"]:
        if argument in ("tree", "flat"):
            shape = argument
        else:
            run(int(argument), shape)


if __name__ == "__main__":
    main()
