"""Starts a deployment on loopback, runs a load test and prints the results as a table."""

import argparse
import signal
import sys

from lab import load, sites
from lab.deployment import Deployment, DeploymentError

RESULT_ROWS = (
    ("queries", "d"), ("answered", "d"), ("refused", "d"), ("p50_ms", ".1f"), ("p99_ms", ".1f"), ("p999_ms", ".1f"),
    ("coverage_mean", ".4f"), ("leaf_requests", "d"), ("extra_load_ratio", ".4f"), ("mixed_snapshots", "d"),
    ("wrong_coverage", "d"), ("wrong_answers", "d"), ("late", "d"), ("untyped_refusals", "d"), ("ran_twice", "d"),
    ("false_not_run", "d"),
    ("violations", "d"),
)


def wait_for_stop():
    """Blocks until SIGINT or SIGTERM. Does not read standard input, which may be closed."""
    stop_signals = {signal.SIGINT, signal.SIGTERM}
    signal.pthread_sigmask(signal.SIG_BLOCK, stop_signals)
    print("running until Ctrl-C or SIGTERM", flush=True)
    signal.sigwait(stop_signals)


def main():
    parser = argparse.ArgumentParser(prog="scripts/run-local", description=__doc__)
    parser.add_argument("--site", choices=sorted(sites.SITES), default="argani")
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--rate", type=float, default=100, help="queries per second")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-load", action="store_true",
                        help="start no load; keep the deployment running until Ctrl-C")
    arguments = parser.parse_args()
    site = sites.SITES[arguments.site]
    try:
        with Deployment(site, arguments.base_port, arguments.seed) as deployment:
            print(f"starting {len(deployment.vms)} daemons and the leafs of {site.name}", flush=True)
            deployment.start()
            for vm in deployment.vms:
                print(f"{vm.name}: callers {vm.caller}, admin {vm.admin}", flush=True)
            if arguments.no_load:
                wait_for_stop()
                return 0
            report = load.LoadRun(
                deployment, plain=False, rate=arguments.rate, seconds=arguments.seconds, seed=arguments.seed,
                prefix="local", mix=",".join(f"{service.name}=1" for service in site.services),
            ).finish()
    except (DeploymentError, KeyboardInterrupt) as error:
        print(f"run-local: {error}", file=sys.stderr)
        return 1
    for key, format_spec in RESULT_ROWS:
        print(f"{key:<20}{report[key]:>12{format_spec}}")
    return 1 if report["violations"] or not report["answered"] else 0


if __name__ == "__main__":
    sys.exit(main())
