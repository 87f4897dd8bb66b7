"""Measures convergence and control-plane cost with real processes.

  measure_convergence.py [tree | flat] NODES...

For each fleet size prints the time from the confirm command until the version is in force on the
nodes (median, p99, worst), and the control traffic in bytes, processor time and memory per node,
idle and while changes are published."""

import datetime
import json
import re
import sys
import time

from local_mesh import LocalMesh, OPERATOR_PORT, read_metrics

ZONES = ["caruaru", "recife", "campina", "fortaleza"]
IDLE_SECONDS = 15
CHANGE_COUNT = 8
CHANGE_INTERVAL_SECONDS = 1.0


def read_all_metrics(mesh):
    return [read_metrics(node) for node in mesh.nodes]


def sum_metrics(samples, prefix):
    return sum(value for sample in samples for name, value in sample.items() if name.startswith(prefix))


def sent_bytes_by_kind(before, after, seconds, nodes):
    kinds = {}
    for samples, sign in ((before, -1), (after, 1)):
        for sample in samples:
            for name, value in sample.items():
                match = re.match(r'godwitlift_control_sent_bytes_total\{kind="([^"]+)"\}', name)
                if match:
                    kinds[match[1]] = kinds.get(match[1], 0) + sign * value
    return {kind: value / seconds / nodes for kind, value in kinds.items() if value > 0}


def print_cost(phase, mesh, before, after, seconds):
    node_count = len(mesh.nodes)
    sent = sum_metrics(after, "godwitlift_control_sent_bytes") - sum_metrics(
        before, "godwitlift_control_sent_bytes")
    cpu = sum_metrics(after, 'godwitlift_state{what="processor_seconds"}') - sum_metrics(
        before, 'godwitlift_state{what="processor_seconds"}')
    memory = sum_metrics(after, 'godwitlift_state{what="resident_bytes"}') / node_count
    kinds = sent_bytes_by_kind(before, after, seconds, node_count)
    print(f"cost nodes={node_count} phase={phase} sent_bytes_per_node_s={sent / seconds / node_count:.0f} "
          f"cpu_percent_of_core={100 * cpu / seconds / node_count:.2f} resident_mb={memory / 1e6:.1f} "
          + " ".join(f"{kind}={value:.0f}" for kind, value in sorted(kinds.items())), flush=True)


def applied_times(mesh, version):
    applied_at = []
    for node in mesh.nodes:
        match = re.search(
            rf"time=(\S+) node=\S+ event=version_applied version={version} ", mesh.read_log(node.host))
        if match:
            applied = datetime.datetime.strptime(match[1], "%Y-%m-%dT%H:%M:%S.%fZ")
            applied_at.append(applied.replace(tzinfo=datetime.timezone.utc).timestamp())
    return applied_at


def make_intent(variant):
    return {
        "ranks": {"lookups": {"urgency": 0}},
        "services": {"stock": {"slow_start_ms": variant}},
        "routes": {"stock": {"path_prefix": "/stock", "service": "stock", "rank": "lookups"}},
    }


def measure_fleet(node_count, fan_out):
    mesh = LocalMesh(control_settings={"fan_out": fan_out})
    mesh.start_platform_standin()
    start_time = time.monotonic()
    for index in range(node_count):
        mesh.add_node(f"h{index}", ZONES[index % len(ZONES)], "nordeste")
    mesh.wait_until_ready(timeout=180)
    mesh.wait_until_all_joined(timeout=180)
    print(f"start nodes={node_count} seconds={time.monotonic() - start_time:.1f}", flush=True)
    time.sleep(5)
    before = read_all_metrics(mesh)
    phase_start = time.monotonic()
    time.sleep(IDLE_SECONDS)
    print_cost("idle", mesh, before, read_all_metrics(mesh), time.monotonic() - phase_start)

    delays = []
    skipped = 0
    before = read_all_metrics(mesh)
    platform_counts_before = mesh.set_platform_faults()
    phase_start = time.monotonic()
    confirmed = {}
    for change_index in range(CHANGE_COUNT):
        intent_file = mesh.path("intent.json")
        intent_file.write_text(json.dumps(make_intent(change_index + 1)))
        node = mesh.nodes[(7 * change_index) % node_count]
        plan = mesh.path("plan.json")
        mesh.run_ctl(node, "plan", intent_file, "--save", plan)
        confirm_time = time.time()
        answer = mesh.run_ctl(
            node, "--output", "json", "confirm", plan, "--yes", "--no-wait").stdout
        confirmed[json.loads(answer)["version"]] = confirm_time
        time.sleep(CHANGE_INTERVAL_SECONDS)
    time.sleep(2)
    print_cost("changes", mesh, before, read_all_metrics(mesh), time.monotonic() - phase_start)
    for version, confirm_time in confirmed.items():
        applied_at = applied_times(mesh, version)
        skipped += node_count - len(applied_at)
        delays += [applied - confirm_time for applied in applied_at]
    delays.sort()
    print(f"convergence nodes={node_count} fan_out={fan_out} changes={CHANGE_COUNT} "
          f"median_ms={1e3 * delays[len(delays) // 2]:.0f} "
          f"p99_ms={1e3 * delays[int(0.99 * (len(delays) - 1))]:.0f} "
          f"worst_ms={1e3 * delays[-1]:.0f} skipped_versions={skipped}", flush=True)
    print(f"platform nodes={node_count} before=({platform_counts_before.strip()}) "
          f"after=({mesh.set_platform_faults().strip()})")
    mesh.close()


def main():
    fan_out = "tree"
    for argument in sys.argv[1:] or ["9", "36"]:
        if argument in ("tree", "flat"):
            fan_out = argument
        else:
            measure_fleet(int(argument), fan_out)


if __name__ == "__main__":
    main()
