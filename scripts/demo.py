"""Demonstrates a mesh in three zones on loopback: publishing intents, serving calls, a clean stop."""

import signal
import sys

from local_mesh import CALLER_PORT, ROOT, LocalMesh, http_request


def print_step(text):
    print(f"\n== {text}", flush=True)


def print_answer(answer):
    status, headers, body = answer
    verdict = headers.get("Godwitlift-Verdict", "-")
    reason = headers.get("Godwitlift-Reason", "")
    print(f"   {status} verdict={verdict} {reason} {body.decode().strip()[:100]}", flush=True)
    return answer


def main():
    mesh = LocalMesh()
    print_step("Starting the platform stand-in and nine nodes in three zones")
    mesh.start_platform_standin()
    zones = ["liberties", "ringsend", "phibsborough"]
    for index in range(9):
        mesh.add_node(f"{zones[index % 3]}-{index // 3 + 1}", zones[index % 3], "leinster")
    mesh.wait_until_ready()
    mesh.wait_until_all_joined()
    first_node, last_node = mesh.nodes[0], mesh.nodes[8]

    print_step("Starting six booking desks and three stable ledgers, which announce themselves")
    for index, node in enumerate(mesh.nodes):
        service = "booking-desk" if index < 6 else "stable-ledger"
        mesh.add_backend_server(node, f"{service}-{index + 1}", service)

    print_step("Planning the intents of examples/jarvey")
    plan = mesh.path("plan.json")
    print(mesh.run_ctl(first_node, "plan", ROOT / "examples/jarvey", "--save", plan).stdout)
    print_step("Confirming the plan")
    print(mesh.run_ctl(first_node, "confirm", plan, "--yes", "--note", "first configuration").stdout)
    print(mesh.run_ctl(last_node, "status").stdout)
    print_step("The same directory again gives an empty plan")
    print(mesh.run_ctl(last_node, "plan", ROOT / "examples/jarvey").stdout)

    print_step("A roster lookup through a node of another zone")
    caller_address = last_node.address(CALLER_PORT)
    passed = print_answer(http_request(caller_address, "GET", "/rosters/tonight"))[0] == 200
    print_step("A deposit with an idempotency key, twice through different nodes: it runs once")
    headers = {"Idempotency-Key": "deposit-4711"}
    body = '{"amount": 200}'
    first_answer = print_answer(
        http_request(caller_address, "POST", "/fares/deposit", body, headers))
    second_answer = print_answer(
        http_request(first_node.address(CALLER_PORT), "POST", "/fares/deposit", body, headers))
    passed = passed and first_answer[0] == second_answer[0] == 200 and first_answer[2] == second_answer[2]
    print_step("A deposit without a key is refused and did not run")
    passed = print_answer(
        http_request(caller_address, "POST", "/fares/deposit", body))[0] == 400 and passed
    print_step("A path that no route matches")
    passed = print_answer(http_request(caller_address, "GET", "/nowhere"))[0] == 404 and passed
    print_step("A photo pack of 2 MB")
    pack = http_request(caller_address, "GET", "/photo-packs/1?bytes=2000000")
    print(f"   {pack[0]} {len(pack[2])} bytes")
    passed = passed and len(pack[2]) == 2000000

    print_step("Stopping one node gracefully, then calling again")
    stopped_node = mesh.nodes[1]
    for _, _, process in stopped_node.backend_servers:
        process.send_signal(signal.SIGTERM)
    stopped_node.process.send_signal(signal.SIGTERM)
    clean_exit = stopped_node.process.wait(timeout=60) == 0
    print(f"   {stopped_node.host} exited cleanly: {clean_exit}")
    for _ in range(5):
        passed = print_answer(
            http_request(caller_address, "GET", "/rosters/tonight"))[0] == 200 and passed

    print_step("Stopping everything")
    for node in mesh.nodes:
        if node is not stopped_node:
            node.process.send_signal(signal.SIGTERM)
    for node in mesh.nodes:
        clean_exit = node.process.wait(timeout=60) == 0 and clean_exit
    mesh.close()
    print(f"   all nodes exited cleanly: {clean_exit}")
    return 0 if passed and clean_exit else 1


if __name__ == "__main__":
    sys.exit(main())
