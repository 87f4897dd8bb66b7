"""Reads the recorded measurements, checks the flood targets, and draws plots: python3 scripts/report.py

Writes docs/measurements/floods.svg and convergence.svg; prints a table of the floods."""

import pathlib

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


def print_summary(table):
    print("| service | flood | x | third lost | rank | kept | p99 x | work | first-come | strict | fixed |")
    print("|---|---|---|---|---|---|---|---|---|---|---|")
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
        print(f"| {row['service']} | {row['flood']} | {row['factor']} | {row['third_lost']} | "
              f"{row['rank']} | {kept:.3f} | {slower:.2f} | {float(row['work_share']):.3f} | "
              + " | ".join(cells) + " |")


def main():
    table = flood_table()
    print_summary(table)
    chosen = [(f"{r['service']} flood of {r['flood']} x{r['factor']}"
               f"{' third lost' if r['third_lost'] == '1' else ''}: {r['rank']}", kept)
              for r, kept, _ in table if r["discipline"] == "ranked" and r["factor"] == "20"]
    bars(DATA / "floods.svg", "Share of goodput kept at 20 times capacity (line: 0.99)", chosen, 0.99, "")
    fleets = [r for r in rows("convergence.txt") if r.get("case") == "convergence"]
    values = [(f"{r['nodes']} nodes, {what}", float(r[f"{what}_ms"]))
              for r in fleets for what in ("median", "worst")]
    bars(DATA / "convergence.svg", "Confirm to in force, ms (line: 4000)", values, 4000, " ms")


if __name__ == "__main__":
    main()
