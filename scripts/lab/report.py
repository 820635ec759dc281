"""HTML report with tables and SVG plots of experiment results."""

import html
import shutil
import subprocess

FIRST_KEYS = (
    "queries", "answered", "p50_ms", "p99_ms", "p999_ms", "coverage_mean", "coverage_full_ratio", "leaf_requests",
    "extra_load_ratio", "duplicates", "mixed_snapshots", "wrong_coverage", "violations",
)
HIDDEN_KEYS = ("histogram_us", "progress", "faults", "errors", "points", "histogram_relative_error")

STYLE = """
body { font-family: sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.wrong { background: #fdd; }
img { max-width: 48%; }
"""


def write(folder, results, failed_names):
    """Writes index.html and its plots to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    body = ["<h1>ragwortdrift experiments</h1>",
            "<p>Trials on loopback of a shared machine. The error of latency quantiles is at most 0.8%.</p>"]
    for name in failed_names:
        body.append(f"<p class='wrong'>{html.escape(name)} was not completed.</p>")
    for result in results:
        body += render_section(folder, result)
    page = f"<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'><title>ragwortdrift experiments</title>" \
           f"<style>{STYLE}</style></head><body>{''.join(body)}</body></html>\n"
    (folder / "index.html").write_text(page)


def render_section(folder, result):
    """Returns the HTML fragments of one experiment."""
    name = result["experiment"]
    parts = [f"<h2>{html.escape(name)}</h2>",
             f"<p>seed {result['seed']}, site {html.escape(result['site'])}</p>",
             render_bounds(result), render_table(result)]
    for plot in (plot_latency(folder, result), plot_progress(folder, result)):
        if plot:
            parts.append(f"<img src='{plot}' alt='{html.escape(name)}'>")
    points = result["policy"].get("points")
    if points:
        keys = list(points[0])
        rows = "".join(
            "<tr>" + "".join(f"<td>{format_value(point[key])}</td>" for key in keys) + "</tr>" for point in points
        )
        head = "".join(f"<th>{html.escape(key)}</th>" for key in keys)
        parts.append(f"<table><tr>{head}</tr>{rows}</table>")
    return parts


def render_bounds(result):
    """Returns an HTML list of the bounds and their outcome."""
    items = "".join(
        f"<li{'' if satisfied else ' class=wrong'}>{html.escape(bound)}: {'satisfied' if satisfied else 'missed'}</li>"
        for bound, satisfied in result["bounds"].items()
    )
    return f"<ul>{items}</ul>"


def format_value(value):
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else html.escape(str(value))


def render_table(result):
    policy, baseline = result["policy"], result["baseline"]
    keys = list(FIRST_KEYS)
    keys += [key for key in policy if key not in keys and key not in HIDDEN_KEYS]
    rows = []
    for key in keys:
        row_class = " class='wrong'" if key == "violations" and policy.get(key) else ""
        rows.append(f"<tr{row_class}><td>{html.escape(key)}</td><td>{format_value(policy.get(key))}</td>"
                    f"<td>{format_value(baseline.get(key))}</td></tr>")
    return f"<table><tr><th></th><th>policy</th><th>baseline</th></tr>{''.join(rows)}</table>"


def run_gnuplot(folder, file_name, commands, blocks):
    """Plots inline data with gnuplot. Returns the file name, or None if gnuplot is missing or fails."""
    if not shutil.which("gnuplot"):
        return None
    data = "".join(
        f"${name} << EOD\n" + "".join(f"{x} {y}\n" for x, y in rows) + "EOD\n" for name, rows in blocks.items()
    )
    script = f"set terminal svg size 560,360\nset output '{folder / file_name}'\nset grid\n{data}{commands}\n"
    completed = subprocess.run(["gnuplot"], input=script, text=True, capture_output=True, check=False)
    return file_name if completed.returncode == 0 else None


def tail_distribution(histogram):
    """Converts a histogram to points (ms, fraction of slower responses)."""
    total = sum(count for _, count in histogram)
    remaining, rows = total, []
    for micros, count in histogram:
        remaining -= count
        rows.append((micros / 1000, max(remaining / total, 0.5 / total)))
    return rows


def plot_latency(folder, result):
    blocks = {variant: tail_distribution(result[variant]["histogram_us"]) for variant in ("policy", "baseline")
              if result[variant].get("histogram_us")}
    if not blocks:
        return None
    lines = ", ".join(f"${variant} with steps lw 2 title '{variant}'" for variant in blocks)
    return run_gnuplot(folder, f"{result['experiment']}-latency.svg",
                       "set logscale x\nset logscale y\nset xlabel 'ms from the scheduled start'\n"
                       f"set ylabel 'fraction of slower responses'\nplot {lines}", blocks)


def plot_progress(folder, result):
    blocks = {}
    for variant in ("policy", "baseline"):
        for index, samples in enumerate(result[variant].get("progress", [])):
            if samples:
                blocks[f"{variant}{index}"] = [(sample["t_s"], sample["interval_p99_ms"]) for sample in samples]
    if not blocks:
        return None
    lines = ", ".join(
        f"${name} with linespoints lc {1 if name.startswith('policy') else 2} "
        + (f"title '{name[:-1]}'" if name.endswith("0") else "notitle") for name in blocks
    )
    return run_gnuplot(folder, f"{result['experiment']}-time.svg",
                       f"set xlabel 's'\nset ylabel 'p99 of 0.5 s (ms)'\nset logscale y\nplot {lines}", blocks)
