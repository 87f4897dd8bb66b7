"""Works docs/CAPACITY.md's tables out from the recorded measurements.

python3 scripts/capacity.py writes the part between the markers; --check fails if it is stale."""

import math
import pathlib
import sys

from report import DATA, ROOT, rows

PAGE = ROOT / "docs/CAPACITY.md"
BEGIN, END = "<!-- computed: begin -->", "<!-- computed: end -->"

# The target.
INSTANCES, SERVICES, CALLS, DEPTH = 24_000, 1_300, 1_500_000, 27
REGIONS, ZONES, CHANGES, FAILURES, RESTARTS = 11, 36, 18_000, 91, 2_100
DAY = 86_400
READS_LIMIT, WRITES_LIMIT = 2_000, 300
CPU_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 2.7, 256, 10_000
ROOTS = 2
KEYED_SHARE = 0.01  # Share of calls under keys; not stated by the users.


def measured():
    """Slopes by name, each from the file that its command wrote."""
    value = {}
    for row in rows("decision-bench.txt"):
        if "case" in row and "us" in row:
            value[row["case"]] = float(row["us"])
            value[row["case"] + "/mb"] = float(row["resident_mb"])
        for key in ("snapshot", "delta_of_one_service", "ledger_per_key"):
            if key in row:
                value[key] = float(row[key])
    fleets = [r for r in rows("convergence.txt") if "nodes" in r]
    idle = [r for r in fleets if r.get("phase") == "idle"]
    busy = [r for r in fleets if r.get("phase") == "changes"]
    value["idle"], value["busy"] = idle[-1], busy[-1]
    value["convergence"] = [r for r in fleets if r.get("case") == "convergence"]
    value["latency"] = [r for r in rows("latency.txt") if r.get("case") == "added"]
    value["mesh"] = rows("mesh-bench.txt")
    return value


RECORD_BYTES = 150  # One host record on the wire, rounded up.
REPORT_BYTES = 60  # One zone's report on the wire, rounded up.
FOLLOWERS_PER_BASE_CPU = 25  # Heartbeats of so many followers cost what an idle node costs.


class Load:
    """Rates and slopes of the control plane at the target size."""

    def __init__(self, m):
        self.m = m
        self.changes = CHANGES / DAY
        # A failure makes some three records (suspect, dead, return), a restart four.
        self.records = (3 * FAILURES + 4 * RESTARTS) / DAY
        idle, busy = m["idle"], m["busy"]
        self.heartbeat = float(idle["follow-request"])
        self.answer = float(idle["follow-answer"])
        self.probes = float(idle["probe"]) + float(idle["probe-answer"])
        # One change a second was published while `steps-offer` was counted.
        self.step = max(float(busy["steps-offer"]), m["delta_of_one_service"])
        self.base_cpu = float(idle["cpu_percent_of_core"])
        self.event_cpu = 1e-4 * (m["delta-apply"] * self.changes
                                 + m["table-compile"] * (self.changes + self.records))
        self.memory = float(idle["resident_mb"]) + m["table-compile/mb"] + 3 * m["snapshot"] / 1e6

    def sent(self, followers):
        """Bytes a second that a node with `followers` sends."""
        forwarded = self.step * self.changes + RECORD_BYTES * self.records
        return self.heartbeat + self.probes + followers * (self.answer + forwarded)

    def cpu(self, followers):
        """Percent of a core."""
        return self.base_cpu * (1 + followers / FOLLOWERS_PER_BASE_CPU) + self.event_cpu

    def messages(self, followers):
        """Messages a second sent: a heartbeat, two of probes, and what followers get."""
        return 3 + followers * (1 + self.changes + self.records)


def control_table(m):
    load = Load(m)
    zone = INSTANCES / ZONES
    relays = math.ceil(math.sqrt(zone))
    per_relay = (zone - relays) / relays
    per_root = relays / ROOTS
    exchange = REPORT_BYTES * ZONES + (ZONES - 1) * RECORD_BYTES * load.records
    publishing = ZONES * load.step * load.changes
    roles = [
        ("leaf", ZONES * (zone - relays), "configuration, directory, table", 0, 0,
         "follows one relay; probes one host a second", "table compile per record"),
        ("relay", ZONES * (relays - ROOTS), f"and {per_relay:.0f} followers", per_relay, 0,
         "rendezvous hash, heartbeats, steps", "followers, with the root of the zone's size"),
        ("root and watcher", ZONES * ROOTS, f"and {per_root:.0f} relays, reports of {ZONES} zones",
         per_root, exchange, "polls the head each second; exchanges with other roots",
         "reports of all zones, with the number of zones"),
        ("publisher and intent API", 1, "the running publication", 0, publishing,
         "conditional write; tells each zone's root", "the head row's write rate"),
    ]
    table = ["| role | nodes | state | messages/s sent | bytes/s sent | % of a core | MB | mechanism | "
             "first to break at twice the fleet |", "|---|---|---|---|---|---|---|---|---|"]
    worst_bytes, worst_cpu = 0, 0
    for name, count, state, followers, extra, mechanism, breaks in roles:
        sent, cpu = load.sent(followers) + extra, load.cpu(followers)
        worst_bytes, worst_cpu = max(worst_bytes, sent), max(worst_cpu, cpu)
        table.append(f"| {name} | {count:,.0f} | {state} | {load.messages(followers):.1f} | {sent:,.0f} | "
                     f"{cpu:.2f} | {load.memory:.0f} | {mechanism} | {breaks} |")
    summary = (f"Changes: {load.changes:.3f} a second; host records: {load.records:.3f} a second. Worst role against "
               f"the budget: {worst_bytes:,.0f} of {BYTES_LIMIT:,} bytes/s, {worst_cpu:.2f} of {CPU_LIMIT} % of a core, "
               f"{load.memory:.0f} of {MEMORY_LIMIT} MB. The processor share of a follower is taken as 1/"
               f"{FOLLOWERS_PER_BASE_CPU} of an idle node's, which itself has one to two; it is not measured apart.")
    return table, summary, load.changes


def serving_table(m):
    per_node = CALLS / INSTANCES
    one = m["latency"][0]
    gate = 1e-4 * float(one["gate_us_per_call"]) * per_node
    ingress = 1e-4 * float(one["ingress_us_per_call"]) * per_node
    keys = per_node * KEYED_SHARE
    day_mb = keys * DAY * m["ledger_per_key"] / 1e6
    return [
        "| role | calls/s and node | % of a core | state | mechanism | first to break at twice the fleet |",
        "|---|---|---|---|---|---|",
        f"| ingress | {per_node:.1f} | {ingress:.2f} | calls in progress, load of targets | two choices, retry budget | "
        "nothing: calls a node stay the same |",
        f"| gate | {per_node:.1f} | {gate:.2f} | queues, slots | ranks, floors, ceilings | nothing, as above |",
        f"| key owner | {keys:.2f} | {1e-4 * m['ledger-key'] * keys:.4f} | {day_mb:.0f} MB a day of keys | issued keys, no takeover | "
        "the share of keyed calls, not the fleet |",
        "",
        f"Serving is not counted into the control budget. A chain {DEPTH} deep adds {DEPTH} times the median of one "
        f"hop pair, {DEPTH * float(one['p50_ms']):.1f} ms at {float(one['p50_ms']):.2f} ms each on one shared machine.",
    ]


def platform_table(m, changes):
    polls = ZONES * ROOTS
    herd_zone = math.ceil(INSTANCES / ZONES)
    reads = polls + changes * (2 * polls + 3)
    writes = changes * 3
    herds = [r for r in m["mesh"] if r.get("case") == "herd" and r["fan_out"] == "tree"]
    herd = max(herds, key=lambda r: int(r["returned"]))
    return [
        "| situation | reads/s | of 2,000 | writes/s | of 300 | worked out from |",
        "|---|---|---|---|---|---|",
        f"| steady | {reads:.0f} | {100 * reads / READS_LIMIT:.1f} % | {writes:.2f} | {100 * writes / WRITES_LIMIT:.2f} % | "
        f"{polls} polls a second; a row and a delta per root and version; 3 reads, 3 writes per publication |",
        f"| a zone of {herd_zone} returns at once | {reads + int(herd['platform_reads_peak_per_s']):.0f} | "
        f"{100 * (reads + int(herd['platform_reads_peak_per_s'])) / READS_LIMIT:.1f} % | {writes:.2f} | "
        f"{100 * writes / WRITES_LIMIT:.2f} % | peak of {herd['platform_reads_peak_per_s']} reads a second with "
        f"{herd['returned']} hosts in bench/mesh-bench, the polls of its three zones included; nodes ask peers first |",
        f"| the same with every peer of the zone gone and no seed alive | {3 * herd_zone / 2:.0f} | "
        f"{100 * 3 * herd_zone / 2 / READS_LIMIT:.0f} % | 0 | 0 % | 3 reads a node spread over 2 s by jitter; not measured |",
        f"| after an hour apart | {reads + 2 * polls:.0f} | {100 * (reads + 2 * polls) / READS_LIMIT:.1f} % | {writes:.2f} | "
        f"{100 * writes / WRITES_LIMIT:.2f} % | each root fetches one row and one snapshot ({m['snapshot'] / 1e3:.0f} kB) |",
    ]


def computed():
    m = measured()
    control, summary, changes = control_table(m)
    last = m["convergence"][-1]
    lines = ["## Control", "", *control, "", summary, "",
             "## Convergence", "",
             "| nodes, real processes | median ms | p99 ms | worst ms |", "|---|---|---|---|"]
    for row in m["convergence"]:
        lines.append(f"| {row['nodes']} | {row['median_ms']} | {row['p99_ms']} | {row['worst_ms']} |")
    lines += ["", f"Extrapolated by {INSTANCES / int(last['nodes']):.0f} times in nodes. The path does not grow: publisher, "
              "root, relay, leaf, with at most 26 sends in a row at one node. Apply and compile at the target size add "
              f"{(m['delta-apply'] + m['table-compile']) / 1e3:.0f} ms on each of the three levels.", "",
              "## Serving", "", *serving_table(m), "", "## Platform", "", *platform_table(m, changes)]
    return "\n".join(lines) + "\n"


def main():
    text = PAGE.read_text()
    before, rest = text.split(BEGIN)
    _, after = rest.split(END)
    fresh = f"{before}{BEGIN}\n{computed()}{END}{after}"
    if "--check" in sys.argv:
        if fresh != text:
            print("docs/CAPACITY.md is stale; run scripts/capacity.py")
            return 1
        return 0
    PAGE.write_text(fresh)
    return 0


if __name__ == "__main__":
    sys.exit(main())
