"""Experiments with operator commands and daemon restarts under load."""

import signal
import time

from lab.context import BASELINE, POLICY, Slices, sleep_until
from lab.deployment import DeploymentError

# Section 1 of docs/design.md: a drained failure domain gets no new work after 3 s.
DOMAIN_OUT_LIMIT_S = 3.0


def domain_out(context):
    """ragwortdriftctl drains a failure domain and returns it to service under load."""
    domain = context.site.domains[1]
    drain_s, return_s, length = 1.0, 6.5, 10.0
    with context.deploy() as deployment:
        deployment.start()

        def scenario(_variant, _index, run):
            start = time.monotonic()
            sleep_until(start, drain_s)
            if not deployment.send_domain_command(domain, "out"):
                raise DeploymentError(f"command 'domain out' failed: {deployment.last_command_result}")
            accepted_at = time.time()
            sleep_until(start, return_s)
            fetched_at = time.time()
            leafs = deployment.leaf_records("all", domain)
            ages = [leaf["last_arrival_age_ms"] for leaf in leafs if leaf["last_arrival_age_ms"] >= 0]
            last_arrival_s = max([fetched_at - age / 1000 - accepted_at for age in ages], default=0.0)
            late_work = sum(
                1 for leaf in leafs for record in leaf["records"]
                if accepted_at + DOMAIN_OUT_LIMIT_S < record["at"] / 1000 <= fetched_at
            )
            if not deployment.send_domain_command(domain, "in"):
                raise DeploymentError(f"command 'domain in' failed: {deployment.last_command_result}")
            while run.is_running():
                time.sleep(0.05)
            returned_leafs = deployment.leaf_records("summary", domain)
            return {"last": max(0.0, last_arrival_s), "late_work": late_work,
                    "returned": int(any(0 <= leaf["last_arrival_age_ms"] < 1500 for leaf in returned_leafs))}

        slices = Slices(context, deployment, rate=60, mix=context.search_mix())
        slices.run(1, length, scenario)
        reports = slices.result()
    for variant, values in zip((POLICY, BASELINE), reports):
        values["last_new_work_s"] = max(slices.extra_values(variant, "last"))
        values["new_work_after_limit"] = sum(slices.extra_values(variant, "late_work"))
        values["domain_returned"] = min(slices.extra_values(variant, "returned"))
        values["violations"] += values["new_work_after_limit"] + values["cut"] + values["silent"]
        if values["last_new_work_s"] > DOMAIN_OUT_LIMIT_S and values["new_work_after_limit"] == 0:
            values["violations"] += 1
    return reports


def booking(context):
    """Callers retry at any entry VM and close connections early while entry VMs are killed and restarted."""
    length = max(6.0, context.seconds / 4)
    with context.deploy() as deployment:
        deployment.start()

        def scenario(variant, _index, run):
            if variant == BASELINE:
                return None
            kills = 0
            start = time.monotonic()
            restart_order = context.random.sample(deployment.vms, len(deployment.vms))
            for vm in restart_order:
                sleep_until(start, 0.7 + 1.5 * kills)
                if time.monotonic() - start > length - 1.5 or not run.is_running():
                    break
                vm.process.kill()
                kills += 1
                time.sleep(0.5)
                deployment.start_vm(vm)
            return {"kills": kills}

        slices = Slices(
            context, deployment, rate=80, mix=f"{context.booking_service()}=3,{context.fanout_services()[0]}=1",
            options=("--abandon", 0.1, "--double-send", 0.1),
        )
        slices.run(2, length, scenario)
        reports = slices.result()
    reports[0]["kills"] = sum(slices.extra_values(POLICY, "kills"))
    return reports


def graceful_stop(context):
    """All entry VMs are restarted in turn with SIGTERM under load; the load balancer follows GET /ready."""
    with context.deploy() as deployment:
        deployment.start()
        count = len(deployment.vms)
        # Per VM: 2 s in which it still accepts requests, completion of requests in flight, start of the next process.
        length = 4.0 * (count // 2) + 2

        def scenario(variant, index, _run):
            if variant == BASELINE:
                return None
            forced = 0
            first = index * (count // 2)
            for vm in deployment.vms[first:first + count // 2]:
                vm.process.send_signal(signal.SIGTERM)
                if not vm.process.wait(10):
                    vm.process.kill()
                    forced += 1
                deployment.start_vm(vm)
                deployment.wait_ready([vm], 10)
            return {"forced": forced}

        mix = context.search_mix() + f",{context.booking_service()}=1"
        slices = Slices(context, deployment, rate=60, mix=mix)
        slices.run(2, length, scenario, slice_seconds=lambda variant: length if variant == POLICY else 4.0)
        reports = slices.result()
    reports[0]["forced"] = sum(slices.extra_values(POLICY, "forced"))
    for values in reports:
        # A request was interrupted if its connection was closed or if it got no response.
        values["cut"] += values["silent"]
        values["violations"] += values["cut"] + values.get("forced", 0)
    return reports
