"""Runs ragwortdrift-load and merges the reports of several runs."""

import json
import subprocess
import threading

from lab.deployment import BUILD, DeploymentError

SUMMED_KEYS = (
    "queries", "answered", "leaf_requests", "groups_asked", "duplicates", "repeated_leaf_requests",
    "mixed_snapshots", "wrong_coverage",
    "wrong_answers", "late", "untyped_refusals", "false_not_run", "ran_twice", "booked_without_run", "violations",
    "refused", "not_run", "cut", "silent", "connect_failed", "bookings", "booked", "abandoned", "resent", "seconds",
)


class LoadRun:
    """A run of the load tool in a background process."""

    def __init__(self, deployment, *, plain, rate, seconds, seed, prefix, mix="", vms=None, options=()):
        command = [
            BUILD / "ragwortdrift-load", "--manifest", deployment.manifest, "--rate", rate, "--seconds", seconds,
            "--seed", seed, "--id-prefix", prefix, "--mix", mix, "--caller-delay-ms",
            deployment.site.caller_delay_ms, "--histogram", "--progress", 0.5, *options,
        ]
        if plain:
            command.append("--plain")
        for vm in deployment.vms if vms is None else vms:
            command += ["--entry", f"{vm.caller}@{vm.admin}"]
        for domain in deployment.site.domains:
            command += ["--leaf-control", deployment.leaf_control(domain)]
        self.progress = []
        self.report = None
        self.child = subprocess.Popen(
            [str(argument) for argument in command], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
        )
        self.reader = threading.Thread(target=self._read_output)
        self.reader.start()

    def _read_output(self):
        for line in self.child.stdout:
            values = json.loads(line)
            if "t_s" in values:
                self.progress.append(values)
            else:
                self.report = values

    def is_running(self):
        return self.child.poll() is None

    def abort(self):
        """Kills the load tool and discards its report."""
        self.child.kill()
        self.reader.join()
        self.child.wait()

    def finish(self):
        """Waits for the load tool to exit and returns its report."""
        self.reader.join()
        error = self.child.stderr.read()
        self.child.wait()
        if self.report is None:
            raise DeploymentError(f"load tool wrote no report: exit code {self.child.returncode}: {error}")
        self.report["progress"] = self.progress
        return self.report


def quantile(histogram, fraction):
    """Returns a quantile in ms of a histogram of (microseconds, count) pairs."""
    total = sum(count for _, count in histogram)
    if total == 0:
        return 0.0
    cumulative = 0
    for micros, count in histogram:
        cumulative += count
        if cumulative >= fraction * total:
            return micros / 1000
    return histogram[-1][0] / 1000


def merge_reports(reports):
    """Merges the reports of several slices: sums of counters, maxima, and quantiles of the merged histogram."""
    merged = {key: sum(report[key] for report in reports) for key in SUMMED_KEYS}
    buckets = {}
    for report in reports:
        for micros, count in report["histogram_us"]:
            buckets[micros] = buckets.get(micros, 0) + count
    histogram = sorted(buckets.items())
    answered = max(1, merged["answered"])
    merged.update(
        p50_ms=quantile(histogram, 0.5),
        p99_ms=quantile(histogram, 0.99),
        p999_ms=quantile(histogram, 0.999),
        max_ms=max(report["max_ms"] for report in reports),
        late_max_ms=max(report["late_max_ms"] for report in reports),
        coverage_mean=sum(report["coverage_mean"] * report["answered"] for report in reports) / answered,
        coverage_full_ratio=sum(report["coverage_full_ratio"] * report["answered"] for report in reports) / answered,
        extra_load_ratio=merged["leaf_requests"] / max(1, merged["groups_asked"]) - 1,
        answered_per_s=merged["answered"] / merged["seconds"],
        histogram_us=[list(bucket) for bucket in histogram],
        progress=[report["progress"] for report in reports],
    )
    for key in ("faults", "errors"):
        merged[key] = {}
        for report in reports:
            for name, count in report[key].items():
                merged[key][name] = merged[key].get(name, 0) + count
    return merged


def summarize(report):
    """Returns the report without its histogram and its progress samples."""
    return {key: value for key, value in report.items() if key not in ("histogram_us", "progress")}
