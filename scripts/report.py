"""Generates the tables of docs/MEASUREMENTS.md and its charts from the recorded measurements.

python3 scripts/report.py writes both; with --check, the script only compares and
fails if the tables are stale."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "docs/measurements"
BAR_HEIGHT, LABEL_WIDTH, PLOT_WIDTH = 16, 420, 400


def read_rows(name):
    """Parses lines of name=value pairs. A first word without a value is the case."""
    parsed = []
    for line in (DATA / name).read_text().splitlines():
        words = line.split()
        row = dict(word.split("=", 1) for word in words if "=" in word)
        if words and "=" not in words[0]:
            row["case"] = words[0]
        parsed.append(row)
    return parsed


def draw_bar_chart(path, title, values, limit, unit):
    """Writes a horizontal bar chart as SVG, with a line at `limit`. Values are (label, value) pairs."""
    scale = PLOT_WIDTH / max([limit] + [value for _, value in values])
    height = BAR_HEIGHT * (len(values) + 2)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{LABEL_WIDTH + PLOT_WIDTH + 90}" '
        f'height="{height}" font-family="sans-serif" font-size="11">',
        f'<text x="4" y="14" font-weight="bold">{title}</text>',
    ]
    for index, (label, value) in enumerate(values):
        y = BAR_HEIGHT * (index + 1) + 6
        parts.append(f'<text x="4" y="{y + 11}">{label}</text>')
        parts.append(f'<rect x="{LABEL_WIDTH}" y="{y + 1}" width="{value * scale:.1f}" '
                     f'height="{BAR_HEIGHT - 3}" fill="#4a7"/>')
        parts.append(f'<text x="{LABEL_WIDTH + value * scale + 4:.1f}" y="{y + 11}">'
                     f'{value:.3g}{unit}</text>')
    x = LABEL_WIDTH + limit * scale
    parts.append(f'<line x1="{x:.1f}" x2="{x:.1f}" y1="18" y2="{height}" stroke="#c33"/>')
    parts.append("</svg>")
    path.write_text("\n".join(parts) + "\n")


def flood_rows():
    """Rows with a flood: (row, share of the goodput kept, p99 ratio), both relative to no flood."""
    all_rows = read_rows("floods-ranked.txt") + read_rows("floods-others.txt")
    baselines = {(r["service"], r["discipline"], r["rank"]): r
                 for r in all_rows if r["flood"] == "none"}
    table = []
    for row in all_rows:
        if row["flood"] == "none":
            continue
        baseline = baselines[row["service"], row["discipline"], row["rank"]]
        kept_share = (int(row["answered"]) / int(row["offered"])) / (
            int(baseline["answered"]) / int(baseline["offered"]))
        table.append((row, kept_share, float(row["p99_ms"]) / float(baseline["p99_ms"])))
    return table


def flood_lines(table):
    lines = ["| service | flood | x | third lost | rank | kept | p99 x | work | first-come | strict | fixed |",
             "|---|---|---|---|---|---|---|---|---|---|---|"]
    others = {}
    for row, kept_share, _ in table:
        if row["discipline"] != "ranked" and row["third_lost"] == "0":
            others[row["service"], row["flood"], row["rank"], row["discipline"]] = kept_share
    for row, kept_share, p99_ratio in table:
        if row["discipline"] != "ranked" or row["factor"] != "5":
            continue
        cells = [f"{others[row['service'], row['flood'], row['rank'], name]:.2f}"
                 if row["third_lost"] == "0" else "" for name in
                 ("first-come", "strict-rank", "fixed-shares")]
        lines.append(f"| {row['service']} | {row['flood']} | {row['factor']} | {row['third_lost']} | "
                     f"{row['rank']} | {kept_share:.3f} | {p99_ratio:.2f} | {float(row['work_share']):.3f} | "
                     + " | ".join(cells) + " |")
    return lines


def latency_lines():
    lines = ["| in flight | pause ms | calls/s through the mesh | added p50 ms | added p99 ms | "
             "gate us a call | ingress us a call |", "|---|---|---|---|---|---|---|"]
    rate = ""
    for row in read_rows("latency.txt"):
        if row.get("path") == "mesh":
            rate = row["calls_per_s"]
        if row.get("case") == "added":
            lines.append(f"| {row['workers']} | {int(row['pause_us']) / 1000:g} | {rate} | {row['p50_ms']} | "
                         f"{row['p99_ms']} | {row['gate_us_per_call']} | {row['ingress_us_per_call']} |")
        if row.get("case") == "memory":
            lines.append(f"| memory of {row['host']} | | | | | {row['resident_mb']} MB | |")
    return lines


def convergence_lines():
    lines = ["| nodes | fan-out | median ms | p99 ms | worst ms | idle bytes/s a node | idle % of a core | MB a node |",
             "|---|---|---|---|---|---|---|---|"]
    idle = {}
    for name in ("convergence.txt", "convergence-flat.txt"):
        for row in read_rows(name):
            if row.get("phase") == "idle":
                idle = row
            if row.get("case") == "convergence":
                lines.append(f"| {row['nodes']} | {row['fan_out']} | {row['median_ms']} | {row['p99_ms']} | "
                             f"{row['worst_ms']} | {idle['sent_bytes_per_node_s']} | "
                             f"{idle['cpu_percent_of_core']} | {idle['resident_mb']} |")
    return lines


def mesh_lines():
    lines = ["| zones x hosts | fan-out | follow requests | probes | reads/s | worst ms | herd's reads | peak/s | "
             "record messages | violations |", "|---|---|---|---|---|---|---|---|---|---|"]
    latest_rows = {}
    for row in read_rows("mesh-bench.txt"):
        latest_rows[row["case"]] = row
        if row["case"] == "herd":
            idle, converge = latest_rows["idle"], latest_rows["converge"]
            lines.append(f"| {row['zones']} x {row['hosts_per_zone']} | {row['fan_out']} | "
                         f"{idle['follow-request']} | {idle['probe']} | {idle['platform_reads_per_s']} | "
                         f"{converge['worst_ms']} | {row['platform_reads']} | "
                         f"{row['platform_reads_peak_per_s']} | {row['records_offers']} | {row['violations']} |")
    return lines


def decision_lines():
    lines = ["| case | us | digest of the result |", "|---|---|---|"]
    for row in read_rows("decision-bench.txt"):
        if "us" in row:
            lines.append(f"| {row['case']} | {row['us']} | {row['digest']} |")
    return lines


def fill_sections(text, sections):
    """Returns `text` with the lines between the markers of each section replaced."""
    for name, lines in sections.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        before, rest = text.split(begin)
        after = rest.split(end)[1]
        text = before + begin + "\n" + "\n".join(lines) + "\n" + end + after
    return text


def draw_charts(table):
    flood_values = [(f"{r['service']} flood of {r['flood']} x{r['factor']}"
                     f"{' third lost' if r['third_lost'] == '1' else ''}: {r['rank']}", kept_share)
                    for r, kept_share, _ in table if r["discipline"] == "ranked" and r["factor"] == "20"]
    draw_bar_chart(DATA / "floods.svg", "Share of goodput kept at 20 times capacity (line: 0.99)",
                   flood_values, 0.99, "")
    fleets = [r for r in read_rows("convergence.txt") if r.get("case") == "convergence"]
    convergence_values = [(f"{r['nodes']} nodes, {what}", float(r[f"{what}_ms"]))
                          for r in fleets for what in ("median", "worst")]
    draw_bar_chart(DATA / "convergence.svg", "Confirm to in force, ms (line: 4000)",
                   convergence_values, 4000, " ms")


def main():
    page = ROOT / "docs/MEASUREMENTS.md"
    table = flood_rows()
    text = page.read_text()
    updated = fill_sections(text, {"latency": latency_lines(), "convergence": convergence_lines(),
                                   "flood": flood_lines(table), "mesh": mesh_lines(),
                                   "decision": decision_lines()})
    if "--check" in sys.argv:
        if updated != text:
            print("docs/MEASUREMENTS.md is stale; run scripts/report.py")
        return int(updated != text)
    page.write_text(updated)
    draw_charts(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())
