"""Experiments with operators' orders and restarts of daemons under load."""

import signal
import time

from lab.context import BASELINE, POLICY, Slices, sleep_until
from lab.deployment import DeploymentFailed

# Section 1 of the design: no new work after 3 s.
DOMAIN_OUT_LIMIT_S = 3.0


def domain_out(context):
    """A failure domain is taken out by ragwortdriftctl and brought back under load."""
    domain = context.site.domains[1]
    out_s, back_s, length = 1.0, 6.5, 10.0
    with context.deploy() as deployment:
        deployment.start()

        def during(_half, _index, run):
            start = time.monotonic()
            sleep_until(start, out_s)
            if not deployment.domain_order(domain, "out"):
                raise DeploymentFailed(f"domain out: {deployment.last_order}")
            accepted = time.time()
            sleep_until(start, back_s)
            fetched = time.time()
            leafs = deployment.leaf_records("all", domain)
            ages = [each["last_arrival_age_ms"] for each in leafs if each["last_arrival_age_ms"] >= 0]
            last = max([fetched - age / 1000 - accepted for age in ages], default=0.0)
            late_work = sum(
                1 for each in leafs for record in each["records"]
                if accepted + DOMAIN_OUT_LIMIT_S < record["at"] / 1000 <= fetched
            )
            if not deployment.domain_order(domain, "in"):
                raise DeploymentFailed(f"domain in: {deployment.last_order}")
            while run.running():
                time.sleep(0.05)
            back = deployment.leaf_records("summary", domain)
            return {"last": max(0.0, last), "late_work": late_work,
                    "returned": int(any(0 <= each["last_arrival_age_ms"] < 1500 for each in back))}

        slices = Slices(context, deployment, rate=60, mix=context.search_mix())
        slices.run(1, length, during)
        halves = slices.result()
    for half, values in zip((POLICY, BASELINE), halves):
        values["last_new_work_s"] = max(slices.extra(half, "last"))
        values["new_work_after_limit"] = sum(slices.extra(half, "late_work"))
        values["domain_returned"] = min(slices.extra(half, "returned"))
        values["violations"] += values["new_work_after_limit"] + values["cut"] + values["silent"]
        if values["last_new_work_s"] > DOMAIN_OUT_LIMIT_S and values["new_work_after_limit"] == 0:
            values["violations"] += 1
    return halves


def booking(context):
    """Callers resend to any entry VM and close early; entry VMs are killed and restarted."""
    length = max(6.0, context.seconds / 4)
    with context.deploy() as deployment:
        deployment.start()

        def during(half, _index, run):
            if half == BASELINE:
                return None
            kills = 0
            start = time.monotonic()
            order = context.random.sample(deployment.vms, len(deployment.vms))
            for vm in order:
                sleep_until(start, 0.7 + 1.5 * kills)
                if time.monotonic() - start > length - 1.5 or not run.running():
                    break
                vm.process.kill()
                kills += 1
                time.sleep(0.5)
                deployment.start_vm(vm)
            return {"kills": kills}

        slices = Slices(
            context, deployment, rate=80, mix=f"{context.booking_service()}=3,{context.fanout()[0]}=1",
            options=("--abandon", 0.1, "--double-send", 0.1),
        )
        slices.run(2, length, during)
        halves = slices.result()
    halves[0]["kills"] = sum(slices.extra(POLICY, "kills"))
    return halves


def graceful_stop(context):
    """Rolling SIGTERM restart of all entry VMs under load; the balancer follows GET /ready."""
    with context.deploy() as deployment:
        deployment.start()
        count = len(deployment.vms)
        # 2 s of further acceptance, the end of requests in flight and the start of the next process.
        length = 4.0 * (count // 2) + 2

        def during(half, index, _run):
            if half == BASELINE:
                return None
            forced = 0
            first = index * (count // 2)
            for vm in deployment.vms[first:first + count // 2]:
                vm.process.signal(signal.SIGTERM)
                if not vm.process.wait(10):
                    vm.process.kill()
                    forced += 1
                deployment.start_vm(vm)
                deployment.wait_ready([vm], 10)
            return {"forced": forced}

        mix = context.search_mix() + f",{context.booking_service()}=1"
        slices = Slices(context, deployment, rate=60, mix=mix)
        slices.run(2, length, during, seconds_of=lambda half: length if half == POLICY else 4.0)
        halves = slices.result()
    halves[0]["forced"] = sum(slices.extra(POLICY, "forced"))
    for values in halves:
        # A request whose connection ended or that got no answer at all was interrupted.
        values["cut"] += values["silent"]
        values["violations"] += values["cut"] + values.get("forced", 0)
    return halves
