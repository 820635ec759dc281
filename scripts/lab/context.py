"""Code shared by all experiments: arguments, interleaved slices and the structure of results."""

import dataclasses
import sys
import time
from random import Random

from lab import load, sites
from lab.deployment import Deployment

POLICY = "policy"
BASELINE = "baseline"


@dataclasses.dataclass
class Context:
    """Arguments of one experiment."""

    name: str
    site: sites.Site
    seed: int
    seconds: float
    base_port: int
    random: Random = dataclasses.field(init=False)

    def __post_init__(self):
        self.random = Random(self.seed)

    def fanout_services(self):
        """Returns the names of the services whose queries fan out to all groups."""
        return [service.name for service in self.site.services if service.kind == "fanout"]

    def booking_service(self):
        """Returns the name of the first service that accepts bookings."""
        return next(service.name for service in self.site.services if service.kind == "single")

    def search_mix(self):
        return ",".join(f"{name}=1" for name in self.fanout_services())

    def deploy(self, service_ms=None, **options):
        """Creates a deployment of the site. service_ms, if set, overrides the service time of all services."""
        site = self.site
        if service_ms is not None:
            site = dataclasses.replace(
                site, services=tuple(dataclasses.replace(service, service_ms=service_ms) for service in site.services)
            )
        return Deployment(site, self.base_port, self.seed, **options)


SETTLE_S = {POLICY: 14.0, BASELINE: 2.0}


class Slices:
    """Alternating load runs of policy and baseline on the same deployment."""

    def __init__(self, context, deployment, *, rate, mix, options=(), vms=None):
        self.context = context
        self.deployment = deployment
        self.rate = rate
        self.mix = mix
        self.options = options
        self.vms = vms
        self.reports = {POLICY: [], BASELINE: []}
        self.extras = {POLICY: [], BASELINE: []}

    def run(self, count, seconds, scenario=None, prepare=None, slice_seconds=None):
        """Runs count slices of each variant.

        `prepare(variant, index)` sets up the leafs before a slice. `scenario(variant, index, run)` is called while
        the load runs and returns extra values of the slice. `slice_seconds(variant)` overrides `seconds`.
        """
        # Warm-up run, left out of the reports: a new deployment treats every leaf as cold for about 5 s and
        # reassigns the partitions once all VMs have been alive for 5 s. The first requests also open connections
        # and initialize the latency estimates.
        for variant in (BASELINE, POLICY):
            self._start(variant, "warm", SETTLE_S[variant]).finish()
        for index in range(count):
            for variant in (POLICY, BASELINE) if index % 2 == 0 else (BASELINE, POLICY):
                self.deployment.control_leafs("all", {"reset": True})
                if prepare:
                    prepare(variant, index)
                length = slice_seconds(variant) if slice_seconds else seconds
                run = self._start(variant, index, length)
                try:
                    extra = scenario(variant, index, run) if scenario else None
                except BaseException:
                    run.abort()
                    raise
                self.reports[variant].append(run.finish())
                self.extras[variant].append(extra or {})
        return self

    def _start(self, variant, index, seconds):
        plain = variant == BASELINE
        return load.LoadRun(
            self.deployment, plain=plain, rate=self.rate, seconds=seconds,
            # Policy and baseline of a slice have the same arrival times.
            seed=self.context.seed * 100 + (index if isinstance(index, int) else 99),
            prefix=f"{variant[0]}{index}x{self.context.seed}", mix=self.mix, options=self.options, vms=self.vms,
        )

    def result(self):
        """Returns the merged reports as (policy, baseline). Each unexpected daemon exit is a violation of policy."""
        policy, baseline = load.merge_reports(self.reports[POLICY]), load.merge_reports(self.reports[BASELINE])
        exits = self.deployment.unexpected_exits()
        for exit_message in exits:
            print(f"{self.context.name}: {exit_message}", file=sys.stderr)
        policy["daemon_exits"] = len(exits)
        policy["violations"] += len(exits)
        return policy, baseline

    def extra_values(self, variant, key):
        """Returns the extra values stored under a key in all slices of a variant."""
        return [values[key] for values in self.extras[variant] if values.get(key) is not None]


def sleep_until(start, offset_s):
    """Sleeps until offset_s seconds after start, a time.monotonic() value."""
    time.sleep(max(0.0, start + offset_s - time.monotonic()))
