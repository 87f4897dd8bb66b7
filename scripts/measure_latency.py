"""Added latency of a call through ingress and gate against the same call straight to the backend
server, with real processes on loopback. Prints the bench's lines and the difference per load."""

import subprocess
import time

from local_mesh import CALLS_PORT, LocalMesh, ROOT, metrics


def parse(line):
    return dict(part.split("=", 1) for part in line.split())


def main():
    mesh = LocalMesh()
    mesh.start_platform()
    for index, zone in enumerate(["liberties", "ringsend", "phibsborough"]):
        mesh.add_node(f"{zone}-1", zone, "leinster")
    mesh.wait_ready()
    mesh.wait_members()
    gate, ingress = mesh.nodes[0], mesh.nodes[1]
    mesh.add_backend(gate, "desk", "booking-desk", slots=64)
    mesh.publish(gate, ROOT / "examples/jarvey")
    direct = f"direct=http://{gate.backends[0][1]}/rosters/1"
    through = f"mesh=http://{ingress.address(CALLS_PORT)}/rosters/1"
    time.sleep(6)  # Past the slow start of the service.
    for workers, count, pause in [(1, 3000, 0), (4, 2500, 0), (8, 2000, 0), (16, 1500, 0),
                                  (16, 1200, 10000), (32, 800, 20000)]:
        before = [metrics(node)['godwitlift_state{what="processor_seconds"}'] for node in mesh.nodes]
        done = subprocess.run(
            [mesh.build / "bench/call-bench", direct, through, "--workers", str(workers),
             "--count", str(count), "--pause-us", str(pause)],
            capture_output=True, text=True, check=True,
        )
        time.sleep(1.2)  # The gauges are sampled once a second.
        after = [metrics(node)['godwitlift_state{what="processor_seconds"}'] for node in mesh.nodes]
        rows = [parse(line) for line in done.stdout.splitlines()]
        used = [b - a for a, b in zip(before, after)]
        calls = int(rows[1]["calls"])
        print(done.stdout, end="")
        print(
            f"added workers={workers} pause_us={pause} "
            f"p50_ms={float(rows[1]['p50_ms']) - float(rows[0]['p50_ms']):.3f} "
            f"p99_ms={float(rows[1]['p99_ms']) - float(rows[0]['p99_ms']):.3f} "
            f"gate_us_per_call={1e6 * used[0] / calls:.0f} "
            f"ingress_us_per_call={1e6 * used[1] / calls:.0f}",
            flush=True,
        )
    for node in mesh.nodes[:2]:
        resident = metrics(node)['godwitlift_state{what="resident_bytes"}']
        print(f"memory host={node.host} resident_mb={resident / 1e6:.1f}")
    mesh.close()


if __name__ == "__main__":
    main()
