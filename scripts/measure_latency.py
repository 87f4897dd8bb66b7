"""Measures the latency that ingress and gate add to a call, compared with the same call sent directly
to the backend server, with real processes on loopback. Prints call-bench's output and the difference
for each load."""

import subprocess
import time

from local_mesh import CALLER_PORT, LocalMesh, ROOT, read_metrics


def parse_pairs(line):
    return dict(part.split("=", 1) for part in line.split())


def main():
    mesh = LocalMesh()
    mesh.start_platform_standin()
    for index, zone in enumerate(["liberties", "ringsend", "phibsborough"]):
        mesh.add_node(f"{zone}-1", zone, "leinster")
    mesh.wait_until_ready()
    mesh.wait_until_all_joined()
    gate_node, ingress_node = mesh.nodes[0], mesh.nodes[1]
    mesh.add_backend_server(gate_node, "desk", "booking-desk", slots=64)
    mesh.publish(gate_node, ROOT / "examples/jarvey")
    direct_path = f"direct=http://{gate_node.backend_servers[0][1]}/rosters/1"
    mesh_path = f"mesh=http://{ingress_node.address(CALLER_PORT)}/rosters/1"
    time.sleep(6)  # Until the slow start of the service is over.
    for worker_count, count, pause in [(1, 3000, 0), (4, 2500, 0), (8, 2000, 0), (16, 1500, 0),
                                       (16, 1200, 10000), (32, 800, 20000)]:
        before = [read_metrics(node)['godwitlift_state{what="processor_seconds"}'] for node in mesh.nodes]
        result = subprocess.run(
            [mesh.build_folder / "bench/call-bench", direct_path, mesh_path,
             "--workers", str(worker_count), "--count", str(count), "--pause-us", str(pause)],
            capture_output=True, text=True, check=True,
        )
        time.sleep(1.2)  # The gauges are sampled once a second.
        after = [read_metrics(node)['godwitlift_state{what="processor_seconds"}'] for node in mesh.nodes]
        rows = [parse_pairs(line) for line in result.stdout.splitlines()]
        processor_seconds = [b - a for a, b in zip(before, after)]
        calls = int(rows[1]["calls"])
        print(result.stdout, end="")
        print(
            f"added workers={worker_count} pause_us={pause} "
            f"p50_ms={float(rows[1]['p50_ms']) - float(rows[0]['p50_ms']):.3f} "
            f"p99_ms={float(rows[1]['p99_ms']) - float(rows[0]['p99_ms']):.3f} "
            f"gate_us_per_call={1e6 * processor_seconds[0] / calls:.0f} "
            f"ingress_us_per_call={1e6 * processor_seconds[1] / calls:.0f}",
            flush=True,
        )
    for node in mesh.nodes[:2]:
        resident = read_metrics(node)['godwitlift_state{what="resident_bytes"}']
        print(f"memory host={node.host} resident_mb={resident / 1e6:.1f}")
    mesh.close()


if __name__ == "__main__":
    main()
