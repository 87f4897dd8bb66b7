"""Writes the tables of docs/MEASUREMENTS.md from the recorded measurements and draws the plots.

python3 scripts/report.py writes them; --check fails if the page is stale."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "docs/measurements"
BAR_HEIGHT, LABEL_WIDTH, PLOT_WIDTH = 16, 420, 400


def rows(name):
    """Lines of name=value pairs; the first word names the case if it has no value."""
    found = []
    for line in (DATA / name).read_text().splitlines():
        words = line.split()
        row = dict(word.split("=", 1) for word in words if "=" in word)
        if words and "=" not in words[0]:
            row["case"] = words[0]
        found.append(row)
    return found


def bars(path, title, values, limit, unit):
    """A horizontal bar chart as SVG; values are (label, value)."""
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


def flood_table():
    """(service, discipline, flooded route, factor, third lost, rank) to shares against calm."""
    all_rows = rows("floods-ranked.txt") + rows("floods-others.txt")
    calm = {(r["service"], r["discipline"], r["rank"]): r for r in all_rows if r["flood"] == "none"}
    table = []
    for row in all_rows:
        if row["flood"] == "none":
            continue
        base = calm[row["service"], row["discipline"], row["rank"]]
        kept = (int(row["answered"]) / int(row["offered"])) / (
            int(base["answered"]) / int(base["offered"]))
        table.append((row, kept, float(row["p99_ms"]) / float(base["p99_ms"])))
    return table


def flood_lines(table):
    lines = ["| service | flood | x | third lost | rank | kept | p99 x | work | first-come | strict | fixed |",
             "|---|---|---|---|---|---|---|---|---|---|---|"]
    others = {}
    for row, kept, _ in table:
        if row["discipline"] != "ranked" and row["third_lost"] == "0":
            others[row["service"], row["flood"], row["rank"], row["discipline"]] = kept
    for row, kept, slower in table:
        if row["discipline"] != "ranked" or row["factor"] != "5":
            continue
        cells = [f"{others[row['service'], row['flood'], row['rank'], name]:.2f}"
                 if row["third_lost"] == "0" else "" for name in
                 ("first-come", "strict-rank", "fixed-shares")]
        lines.append(f"| {row['service']} | {row['flood']} | {row['factor']} | {row['third_lost']} | "
                     f"{row['rank']} | {kept:.3f} | {slower:.2f} | {float(row['work_share']):.3f} | "
                     + " | ".join(cells) + " |")
    return lines


def latency_lines():
    lines = ["| in flight | pause ms | calls/s through the mesh | added p50 ms | added p99 ms | "
             "gate us a call | ingress us a call |", "|---|---|---|---|---|---|---|"]
    rate = ""
    for row in rows("latency.txt"):
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
        for row in rows(name):
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
    seen = {}
    for row in rows("mesh-bench.txt"):
        seen[row["case"]] = row
        if row["case"] == "herd":
            idle, converge = seen["idle"], seen["converge"]
            lines.append(f"| {row['zones']} x {row['hosts_per_zone']} | {row['fan_out']} | "
                         f"{idle['follow-request']} | {idle['probe']} | {idle['platform_reads_per_s']} | "
                         f"{converge['worst_ms']} | {row['platform_reads']} | "
                         f"{row['platform_reads_peak_per_s']} | {row['records_offers']} | {row['violations']} |")
    return lines


def decision_lines():
    lines = ["| case | us | digest of the result |", "|---|---|---|"]
    for row in rows("decision-bench.txt"):
        if "us" in row:
            lines.append(f"| {row['case']} | {row['us']} | {row['digest']} |")
    return lines


def filled(text, sections):
    """`text` with each section between its markers replaced."""
    for name, lines in sections.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        before, rest = text.split(begin)
        after = rest.split(end)[1]
        text = before + begin + "\n" + "\n".join(lines) + "\n" + end + after
    return text


def draw(table):
    chosen = [(f"{r['service']} flood of {r['flood']} x{r['factor']}"
               f"{' third lost' if r['third_lost'] == '1' else ''}: {r['rank']}", kept)
              for r, kept, _ in table if r["discipline"] == "ranked" and r["factor"] == "20"]
    bars(DATA / "floods.svg", "Share of goodput kept at 20 times capacity (line: 0.99)", chosen, 0.99, "")
    fleets = [r for r in rows("convergence.txt") if r.get("case") == "convergence"]
    values = [(f"{r['nodes']} nodes, {what}", float(r[f"{what}_ms"]))
              for r in fleets for what in ("median", "worst")]
    bars(DATA / "convergence.svg", "Confirm to in force, ms (line: 4000)", values, 4000, " ms")


def main():
    page = ROOT / "docs/MEASUREMENTS.md"
    table = flood_table()
    text = page.read_text()
    fresh = filled(text, {"latency": latency_lines(), "convergence": convergence_lines(),
                          "flood": flood_lines(table), "mesh": mesh_lines(),
                          "decision": decision_lines()})
    if "--check" in sys.argv:
        if fresh != text:
            print("docs/MEASUREMENTS.md is stale; run scripts/report.py")
        return int(fresh != text)
    page.write_text(fresh)
    draw(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())
