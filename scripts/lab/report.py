"""An HTML page with tables and SVG plots of experiments' results."""

import html
import shutil
import subprocess

FIRST_COLUMNS = (
    "queries", "answered", "p50_ms", "p99_ms", "p999_ms", "coverage_mean", "coverage_full_ratio", "leaf_requests",
    "extra_load_ratio", "duplicates", "mixed_snapshots", "wrong_coverage", "violations",
)
HIDDEN = ("histogram_us", "progress", "faults", "errors", "points", "histogram_relative_error")

STYLE = """
body { font-family: sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.wrong { background: #fdd; }
img { max-width: 48%; }
"""


def write(folder, results, failed):
    """Writes index.html and its plots into the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    body = ["<h1>ragwortdrift experiments</h1>",
            "<p>Trials on loopback of a shared machine. Latency quantiles are off by at most 0.8%.</p>"]
    for name in failed:
        body.append(f"<p class='wrong'>{html.escape(name)} did not run to its end.</p>")
    for result in results:
        body += section(folder, result)
    page = f"<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>ragwortdrift experiments</title>" \
           f"<style>{STYLE}</style></head><body>{''.join(body)}</body></html>\n"
    (folder / "index.html").write_text(page)


def section(folder, result):
    """The HTML parts of one experiment."""
    name = result["experiment"]
    parts = [f"<h2>{html.escape(name)}</h2>",
             f"<p>seed {result['seed']}, site {html.escape(result['site'])}</p>", bounds_list(result), table(result)]
    for plot in (plot_latency(folder, result), plot_progress(folder, result)):
        if plot:
            parts.append(f"<img src='{plot}' alt='{html.escape(name)}'>")
    points = result["policy"].get("points")
    if points:
        keys = list(points[0])
        rows = "".join("<tr>" + "".join(f"<td>{form(point[key])}</td>" for key in keys) + "</tr>" for point in points)
        head = "".join(f"<th>{html.escape(key)}</th>" for key in keys)
        parts.append(f"<table><tr>{head}</tr>{rows}</table>")
    return parts


def bounds_list(result):
    """The bounds of the design and whether they were kept."""
    items = "".join(
        f"<li{'' if kept else ' class=wrong'}>{html.escape(bound)}: {'kept' if kept else 'missed'}</li>"
        for bound, kept in result["bounds"].items()
    )
    return f"<ul>{items}</ul>"


def form(value):
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else html.escape(str(value))


def table(result):
    policy, baseline = result["policy"], result["baseline"]
    keys = list(FIRST_COLUMNS)
    keys += [key for key in policy if key not in keys and key not in HIDDEN]
    rows = []
    for key in keys:
        wrong = " class='wrong'" if key == "violations" and policy.get(key) else ""
        rows.append(f"<tr{wrong}><td>{html.escape(key)}</td><td>{form(policy.get(key))}</td>"
                    f"<td>{form(baseline.get(key))}</td></tr>")
    return f"<table><tr><th></th><th>policy</th><th>baseline</th></tr>{''.join(rows)}</table>"


def gnuplot(folder, file_name, commands, blocks):
    """Runs gnuplot over inline data; returns the file name, or None without gnuplot."""
    if not shutil.which("gnuplot"):
        return None
    data = "".join(
        f"${name} << EOD\n" + "".join(f"{x} {y}\n" for x, y in rows) + "EOD\n" for name, rows in blocks.items()
    )
    script = f"set terminal svg size 560,360\nset output '{folder / file_name}'\nset grid\n{data}{commands}\n"
    done = subprocess.run(["gnuplot"], input=script, text=True, capture_output=True, check=False)
    return file_name if done.returncode == 0 else None


def shares(histogram):
    """Points (ms, share of slower answers) of a histogram."""
    total = sum(count for _, count in histogram)
    slower, rows = total, []
    for micros, count in histogram:
        slower -= count
        rows.append((micros / 1000, max(slower / total, 0.5 / total)))
    return rows


def plot_latency(folder, result):
    blocks = {half: shares(result[half]["histogram_us"]) for half in ("policy", "baseline")
              if result[half].get("histogram_us")}
    if not blocks:
        return None
    lines = ", ".join(f"${half} with steps lw 2 title '{half}'" for half in blocks)
    return gnuplot(folder, f"{result['experiment']}-latency.svg",
                   "set logscale x\nset logscale y\nset xlabel 'ms from the intended start'\n"
                   f"set ylabel 'share of slower answers'\nplot {lines}", blocks)


def plot_progress(folder, result):
    blocks = {}
    for half in ("policy", "baseline"):
        for index, slice_lines in enumerate(result[half].get("progress", [])):
            if slice_lines:
                blocks[f"{half}{index}"] = [(line["t_s"], line["interval_p99_ms"]) for line in slice_lines]
    if not blocks:
        return None
    lines = ", ".join(
        f"${name} with linespoints lc {1 if name.startswith('policy') else 2} "
        + (f"title '{name[:-1]}'" if name.endswith("0") else "notitle") for name in blocks
    )
    return gnuplot(folder, f"{result['experiment']}-time.svg",
                   f"set xlabel 's'\nset ylabel 'p99 of 0.5 s (ms)'\nset logscale y\nplot {lines}", blocks)
