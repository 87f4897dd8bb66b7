"""Computes the tables of docs/CAPACITY.md from the recorded measurements.

python3 scripts/capacity.py writes the part of the page between the markers; with --check, the
script only compares and fails if that part is stale."""

import math
import pathlib
import re
import sys

from report import DATA, ROOT, read_rows

PAGE = ROOT / "docs/CAPACITY.md"
BEGIN, END = "<!-- computed: begin -->", "<!-- computed: end -->"

# Target size, event rates and budgets.
INSTANCES, SERVICES, CALLS_PER_S, CALL_DEPTH = 24_000, 1_300, 1_500_000, 27
REGIONS, ZONES, CHANGES_PER_DAY, FAILURES_PER_DAY, RESTARTS_PER_DAY = 11, 36, 18_000, 91, 2_100
SECONDS_PER_DAY = 86_400
READS_LIMIT_PER_S, WRITES_LIMIT_PER_S = 2_000, 300
CPU_LIMIT_PERCENT, MEMORY_LIMIT_MB, SENT_LIMIT_BYTES_PER_S = 2.7, 256, 10_000
ROOTS_PER_ZONE = 2
KEYED_SHARE = 0.01  # Share of calls with an idempotency key; an assumption, not part of the target.


def read_measurements():
    """Measured values by name, read from the output files of the benches."""
    values = {}
    for row in read_rows("decision-bench.txt"):
        if "case" in row and "us" in row:
            values[row["case"]] = float(row["us"])
            values[row["case"] + "/mb"] = float(row["resident_mb"])
        for key in ("snapshot", "delta_of_one_service", "ledger_per_key"):
            if key in row:
                values[key] = float(row[key])
    fleet_rows = [r for r in read_rows("convergence.txt") if "nodes" in r]
    idle = [r for r in fleet_rows if r.get("phase") == "idle"]
    busy = [r for r in fleet_rows if r.get("phase") == "changes"]
    values["idle"], values["busy"] = idle[-1], busy[-1]
    values["convergence"] = [r for r in fleet_rows if r.get("case") == "convergence"]
    values["latency"] = [r for r in read_rows("latency.txt") if r.get("case") == "added"]
    values["mesh"] = read_rows("mesh-bench.txt")
    return values


HOST_RECORD_BYTES = 150  # One host record on the wire, rounded up.
ZONE_REPORT_BYTES = 60  # One zone's report on the wire, rounded up.
FOLLOWERS_PER_IDLE_CPU = 25  # Heartbeats of this many followers take as much processor time as an idle node.


class ControlLoad:
    """Load of the control plane at the target size, from event rates and measured costs."""

    def __init__(self, measured):
        self.measured = measured
        self.changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
        # A failure updates a host's record about three times (suspect, dead, return), a restart four times.
        self.records_per_s = (3 * FAILURES_PER_DAY + 4 * RESTARTS_PER_DAY) / SECONDS_PER_DAY
        idle, busy = measured["idle"], measured["busy"]
        self.heartbeat_bytes_per_s = float(idle["follow-request"])
        self.heartbeat_answer_bytes_per_s = float(idle["follow-answer"])
        self.probe_bytes_per_s = float(idle["probe"]) + float(idle["probe-answer"])
        # The measurement publishes one change a second: bytes a second equal bytes per change.
        self.delta_bytes = max(float(busy["steps-offer"]), measured["delta_of_one_service"])
        self.idle_cpu_percent = float(idle["cpu_percent_of_core"])
        self.event_cpu_percent = 1e-4 * (
            measured["delta-apply"] * self.changes_per_s
            + measured["table-compile"] * (self.changes_per_s + self.records_per_s))
        self.memory_mb = float(idle["resident_mb"]) + measured["table-compile/mb"] + 3 * measured["snapshot"] / 1e6

    def sent_bytes_per_s(self, followers):
        """Bytes a second sent by a node with this many followers."""
        forwarded = self.delta_bytes * self.changes_per_s + HOST_RECORD_BYTES * self.records_per_s
        return self.heartbeat_bytes_per_s + self.probe_bytes_per_s + followers * (
            self.heartbeat_answer_bytes_per_s + forwarded)

    def cpu_percent(self, followers):
        """Processor time of a node with this many followers, in percent of a core."""
        return self.idle_cpu_percent * (1 + followers / FOLLOWERS_PER_IDLE_CPU) + self.event_cpu_percent

    def messages_per_s(self, followers):
        """Messages a second sent: one heartbeat, two probe messages, and those to the followers."""
        return 3 + followers * (1 + self.changes_per_s + self.records_per_s)


def control_table(measured):
    load = ControlLoad(measured)
    hosts_per_zone = INSTANCES / ZONES
    relays_per_zone = math.ceil(math.sqrt(hosts_per_zone))
    followers_per_relay = (hosts_per_zone - relays_per_zone) / relays_per_zone
    relays_per_root = relays_per_zone / ROOTS_PER_ZONE
    report_bytes_per_s = ZONE_REPORT_BYTES * ZONES + (ZONES - 1) * HOST_RECORD_BYTES * load.records_per_s
    publishing_bytes_per_s = ZONES * load.delta_bytes * load.changes_per_s
    roles = [
        ("leaf", ZONES * (hosts_per_zone - relays_per_zone), "configuration, directory, table", 0, 0,
         "follows one relay; probes one host a second", "table compile per record"),
        ("relay", ZONES * (relays_per_zone - ROOTS_PER_ZONE), f"and {followers_per_relay:.0f} followers",
         followers_per_relay, 0,
         "rendezvous hash, heartbeats, steps", "followers, with the root of the zone's size"),
        ("root and watcher", ZONES * ROOTS_PER_ZONE, f"and {relays_per_root:.0f} relays, reports of {ZONES} zones",
         relays_per_root, report_bytes_per_s, "polls the head each second; exchanges with other roots",
         "reports of all zones, with the number of zones"),
        ("publisher and intent API", 1, "the running publication", 0, publishing_bytes_per_s,
         "conditional write; tells each zone's root", "the head row's write rate"),
    ]
    table = ["| role | nodes | state | messages/s sent | bytes/s sent | % of a core | MB | mechanism | "
             "first to break at twice the fleet |", "|---|---|---|---|---|---|---|---|---|"]
    worst_bytes_per_s, worst_cpu = 0, 0
    for name, count, state, followers, extra_bytes_per_s, mechanism, first_limit in roles:
        sent, cpu = load.sent_bytes_per_s(followers) + extra_bytes_per_s, load.cpu_percent(followers)
        worst_bytes_per_s, worst_cpu = max(worst_bytes_per_s, sent), max(worst_cpu, cpu)
        table.append(f"| {name} | {count:,.0f} | {state} | {load.messages_per_s(followers):.1f} | {sent:,.0f} | "
                     f"{cpu:.2f} | {load.memory_mb:.0f} | {mechanism} | {first_limit} |")
    summary = (f"Changes: {load.changes_per_s:.3f} a second; host records: {load.records_per_s:.3f} a second. "
               f"Worst role against the budget: {worst_bytes_per_s:,.0f} of {SENT_LIMIT_BYTES_PER_S:,} bytes/s, "
               f"{worst_cpu:.2f} of {CPU_LIMIT_PERCENT} % of a core, "
               f"{load.memory_mb:.0f} of {MEMORY_LIMIT_MB} MB. The processor share of a follower is taken as 1/"
               f"{FOLLOWERS_PER_IDLE_CPU} of an idle node's, which itself has one to two; it is not measured apart.")
    return table, summary, load.changes_per_s


def serving_table(measured):
    calls_per_node_s = CALLS_PER_S / INSTANCES
    single_worker = measured["latency"][0]
    gate_cpu = 1e-4 * float(single_worker["gate_us_per_call"]) * calls_per_node_s
    ingress_cpu = 1e-4 * float(single_worker["ingress_us_per_call"]) * calls_per_node_s
    keys_per_s = calls_per_node_s * KEYED_SHARE
    key_mb_per_day = keys_per_s * SECONDS_PER_DAY * measured["ledger_per_key"] / 1e6
    return [
        "| role | calls/s and node | % of a core | state | mechanism | first to break at twice the fleet |",
        "|---|---|---|---|---|---|",
        f"| ingress | {calls_per_node_s:.1f} | {ingress_cpu:.2f} | calls in progress, load of targets | two choices, retry budget | "
        "nothing: calls a node stay the same |",
        f"| gate | {calls_per_node_s:.1f} | {gate_cpu:.2f} | queues, slots | ranks, floors, ceilings | nothing, as above |",
        f"| key owner | {keys_per_s:.2f} | {1e-4 * measured['ledger-key'] * keys_per_s:.4f} | "
        f"{key_mb_per_day:.0f} MB a day of keys | issued keys, no takeover | "
        "the share of keyed calls, not the fleet |",
        "",
        f"Serving is not counted into the control budget. A chain {CALL_DEPTH} deep adds {CALL_DEPTH} times the median of one "
        f"hop pair, {CALL_DEPTH * float(single_worker['p50_ms']):.1f} ms at {float(single_worker['p50_ms']):.2f} ms each on one shared machine.",
    ]


def platform_table(measured, changes):
    polls_per_s = ZONES * ROOTS_PER_ZONE
    hosts_per_zone = math.ceil(INSTANCES / ZONES)
    reads_per_s = polls_per_s + changes * (2 * polls_per_s + 3)
    writes_per_s = changes * 3
    restart_rows = [r for r in measured["mesh"] if r.get("case") == "herd" and r["fan_out"] == "tree"]
    restart = max(restart_rows, key=lambda r: int(r["returned"]))
    return [
        "| situation | reads/s | of 2,000 | writes/s | of 300 | worked out from |",
        "|---|---|---|---|---|---|",
        f"| steady | {reads_per_s:.0f} | {100 * reads_per_s / READS_LIMIT_PER_S:.1f} % | {writes_per_s:.2f} | {100 * writes_per_s / WRITES_LIMIT_PER_S:.2f} % | "
        f"{polls_per_s} polls a second; a row and a delta per root and version; 3 reads, 3 writes per publication |",
        f"| a zone of {hosts_per_zone} returns at once | {reads_per_s + int(restart['platform_reads_peak_per_s']):.0f} | "
        f"{100 * (reads_per_s + int(restart['platform_reads_peak_per_s'])) / READS_LIMIT_PER_S:.1f} % | {writes_per_s:.2f} | "
        f"{100 * writes_per_s / WRITES_LIMIT_PER_S:.2f} % | peak of {restart['platform_reads_peak_per_s']} reads a second with "
        f"{restart['returned']} hosts in bench/mesh-bench, the polls of its three zones included; nodes ask peers first |",
        f"| the same with every peer of the zone gone and no seed alive | {3 * hosts_per_zone / 2:.0f} | "
        f"{100 * 3 * hosts_per_zone / 2 / READS_LIMIT_PER_S:.0f} % | 0 | 0 % | 3 reads a node spread over 2 s by jitter; not measured |",
        f"| after an hour apart | {reads_per_s + 2 * polls_per_s:.0f} | {100 * (reads_per_s + 2 * polls_per_s) / READS_LIMIT_PER_S:.1f} % | {writes_per_s:.2f} | "
        f"{100 * writes_per_s / WRITES_LIMIT_PER_S:.2f} % | each root fetches one row and one snapshot ({measured['snapshot'] / 1e3:.0f} kB) |",
    ]


def read_sweep(name):
    """Busiest node's figures of a `fleetbench sweep`: by quantity, the values at each size, the power and the target's."""
    sizes, rows = [], {}
    for line in (DATA / name).read_text().splitlines():
        if " power " in line and line.startswith(" "):
            sizes = [int(word) for word in line.split("power")[0].split()]
        pairs = re.findall(r"([\d.]+) / ([\d.]+)", line)
        if len(pairs) == len(sizes) and pairs:
            power, target = line.split()[-2:]
            rows[line.split("  ")[0]] = [float(busiest) for _, busiest in pairs], float(power), float(target)
    return sizes, rows


def mesh_sweep_table():
    """The mesh node's slopes, and those of the node that reported to all others and pinged them all alike."""
    sizes, rows = read_sweep("sweep.txt")
    _, earlier = read_sweep("sweep-before.txt")
    budgets = {"node: memory MB": f"{MEMORY_LIMIT_MB} MB", "node: kB a second": f"{SENT_LIMIT_BYTES_PER_S / 1e3:.0f} kB/s for control"}
    lines = ["| busiest node | " + " | ".join(f"{size} hosts" for size in sizes)
             + " | power | at the target | power before | at the target before | budget |",
             "|---" * (len(sizes) + 6) + "|"]
    for quantity, (values, power, target) in rows.items():
        if not quantity.startswith("node: "):
            continue
        _, power_before, target_before = earlier[quantity]
        lines.append(f"| {quantity.removeprefix('node: ')} | " + " | ".join(f"{value:g}" for value in values)
                     + f" | {power:g} | {target:g} | {power_before:g} | {target_before:g} | {budgets.get(quantity, '')} |")
    return lines


def computed_section():
    measured = read_measurements()
    control, summary, changes = control_table(measured)
    largest_fleet = measured["convergence"][-1]
    lines = ["## Control", "", *control, "", summary, "",
             "## Convergence", "",
             "| nodes, real processes | median ms | p99 ms | worst ms |", "|---|---|---|---|"]
    for row in measured["convergence"]:
        lines.append(f"| {row['nodes']} | {row['median_ms']} | {row['p99_ms']} | {row['worst_ms']} |")
    lines += ["", f"Extrapolated by {INSTANCES / int(largest_fleet['nodes']):.0f} times in nodes. The path does not grow: publisher, "
              "root, relay, leaf, with at most 26 sends in a row at one node. Apply and compile at the target size add "
              f"{(measured['delta-apply'] + measured['table-compile']) / 1e3:.0f} ms on each of the three levels.", "",
              "## Serving", "", *serving_table(measured), "", "## Platform", "", *platform_table(measured, changes), "",
              "## Slopes of the mesh node", "", *mesh_sweep_table()]
    return "\n".join(lines) + "\n"


def main():
    text = PAGE.read_text()
    before, rest = text.split(BEGIN)
    _, after = rest.split(END)
    updated = f"{before}{BEGIN}\n{computed_section()}{END}{after}"
    if "--check" in sys.argv:
        if updated != text:
            print("docs/CAPACITY.md is stale; run scripts/capacity.py")
            return 1
        return 0
    PAGE.write_text(updated)
    return 0


if __name__ == "__main__":
    sys.exit(main())
