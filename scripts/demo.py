"""Shows the product's main job on loopback: three zones, an intent, its plan, calls, a clean stop."""

import signal
import sys

from local_mesh import CALLS_PORT, ROOT, LocalMesh, http_request


def say(text):
    print(f"\n== {text}", flush=True)


def show(answer):
    status, headers, body = answer
    verdict = headers.get("Godwitlift-Verdict", "-")
    reason = headers.get("Godwitlift-Reason", "")
    print(f"   {status} verdict={verdict} {reason} {body.decode().strip()[:100]}", flush=True)
    return answer


def main():
    mesh = LocalMesh()
    say("Starting the platform's stand-in and nine nodes in three zones")
    mesh.start_platform()
    zones = ["liberties", "ringsend", "phibsborough"]
    for index in range(9):
        mesh.add_node(f"{zones[index % 3]}-{index // 3 + 1}", zones[index % 3], "leinster")
    mesh.wait_ready()
    mesh.wait_members()
    first, last = mesh.nodes[0], mesh.nodes[8]

    say("Starting six booking desks and three stable ledgers, which announce themselves")
    for index, node in enumerate(mesh.nodes):
        service = "booking-desk" if index < 6 else "stable-ledger"
        mesh.add_backend(node, f"{service}-{index + 1}", service)

    say("Planning the intents of examples/jarvey")
    plan = mesh.path("plan.json")
    print(mesh.ctl(first, "plan", ROOT / "examples/jarvey", "--save", plan).stdout)
    say("Confirming the plan")
    print(mesh.ctl(first, "confirm", plan, "--yes", "--note", "first configuration").stdout)
    print(mesh.ctl(last, "status").stdout)
    say("The same directory again gives an empty plan")
    print(mesh.ctl(last, "plan", ROOT / "examples/jarvey").stdout)

    say("A roster lookup through a node of another zone")
    calls = last.address(CALLS_PORT)
    ok = show(http_request(calls, "GET", "/rosters/tonight"))[0] == 200
    say("A deposit with an idempotency key, twice through different nodes: it runs once")
    key = {"Idempotency-Key": "deposit-4711"}
    body = '{"amount": 200}'
    once = show(http_request(calls, "POST", "/fares/deposit", body, key))
    again = show(http_request(first.address(CALLS_PORT), "POST", "/fares/deposit", body, key))
    ok = ok and once[0] == again[0] == 200 and once[2] == again[2]
    say("A deposit without a key is refused and did not run")
    ok = show(http_request(calls, "POST", "/fares/deposit", body))[0] == 400 and ok
    say("A path that no route matches")
    ok = show(http_request(calls, "GET", "/nowhere"))[0] == 404 and ok
    say("A photo pack of 2 MB")
    pack = http_request(calls, "GET", "/photo-packs/1?bytes=2000000")
    print(f"   {pack[0]} {len(pack[2])} bytes")
    ok = ok and len(pack[2]) == 2000000

    say("Stopping one node gracefully, then calling again")
    stopped = mesh.nodes[1]
    for _, _, process in stopped.backends:
        process.send_signal(signal.SIGTERM)
    stopped.process.send_signal(signal.SIGTERM)
    clean = stopped.process.wait(timeout=60) == 0
    print(f"   {stopped.host} exited cleanly: {clean}")
    for _ in range(5):
        ok = show(http_request(calls, "GET", "/rosters/tonight"))[0] == 200 and ok

    say("Stopping everything")
    for node in mesh.nodes:
        if node is not stopped:
            node.process.send_signal(signal.SIGTERM)
    for node in mesh.nodes:
        clean = node.process.wait(timeout=60) == 0 and clean
    mesh.close()
    print(f"   all nodes exited cleanly: {clean}")
    return 0 if ok and clean else 1


if __name__ == "__main__":
    sys.exit(main())
