"""Experiments on the query path: slow, cold, unresponsive and overloaded leafs, index versions, and scale."""

import time

from lab import load
from lab.context import BASELINE, POLICY, Slices, sleep_until


def straggler(context):
    """1% of leaf requests take 20 times as long, and one leaf in one group of each service is always slow."""
    with context.deploy(leaf_options={"straggler_fraction": 0.01, "straggler_factor": 20}) as deployment:
        deployment.start()
        for service in context.fanout_services():
            deployment.control_leafs(f"{service}-1-1", {"slow_factor": 8})
        slices = Slices(context, deployment, rate=60, mix=context.search_mix())
        return slices.run(3, context.seconds / 6).result()


def cold_start(context):
    """A warm leaf becomes cold without notice, handles 10% of its warm capacity and collapses above that.

    Its health endpoint keeps reporting ok.
    """
    service_ms = 20
    # Half of the capacity of three leafs: without a limit, a cold leaf would get five times the load it can handle.
    rate = 0.5 * 3 * 2 * 1000 / service_ms
    leaf = f"{context.fanout_services()[0]}-1-1"
    with context.deploy(service_ms=service_ms, leaf_options={"health": "ok"}) as deployment:
        deployment.start()

        def prepare(_variant, _index):
            deployment.control_leafs("all", {"warm": True})

        def scenario(_variant, _index, run):
            time.sleep(1)
            deployment.control_leafs(leaf, {"cold": True})
            while run.is_running():
                time.sleep(0.05)
            records = next(entry for entry in deployment.leaf_records() if entry["leaf"] == leaf)
            recovered_s = None if records["cold"] else (records["cold_age_ms"] - records["warm_age_ms"]) / 1000
            return {"max_load": records["max_load_over_allowance"], "recovered_s": recovered_s,
                    "not_recovered": int(records["cold"]), "collapsed": records["collapsed"],
                    "served": records["ended"]}

        slices = Slices(context, deployment, rate=rate, mix=f"{context.fanout_services()[0]}=1")
        # The allowance grows to the full rate in about 5 s; the slice leaves twice that time.
        slices.run(1, max(13, context.seconds / 2), scenario, prepare)
        reports = slices.result()
    for variant, values in zip((POLICY, BASELINE), reports):
        values["max_load_over_allowance"] = max(slices.extra_values(variant, "max_load"))
        values["recovered_s"] = max(slices.extra_values(variant, "recovered_s"), default=None)
        values["not_recovered"] = sum(slices.extra_values(variant, "not_recovered"))
        values["served_by_cold_leaf"] = sum(slices.extra_values(variant, "served"))
        values["collapsed"] = sum(slices.extra_values(variant, "collapsed"))
        overloads = sum(1 for max_load in slices.extra_values(variant, "max_load") if max_load > 1)
        values["violations"] += overloads + values["not_recovered"]
    return reports


def version_switch(context):
    """Leafs switch to the next index version in random order under load.

    A third of them drop the old version at the moment when they offer the new one.
    """
    with context.deploy(leaf_options={"snapshots": [1]}) as deployment:
        deployment.start()
        leafs = [entry["leaf"] for entry in deployment.leaf_records() if entry["service"] in context.fanout_services()]
        version = [1]

        def scenario(_variant, _index, run):
            start = time.monotonic()
            length = context.seconds / 6
            old_version, new_version = version[0], version[0] + 1
            steps = []
            for leaf in leafs:
                offer_s = context.random.uniform(0.1, 0.5) * length
                drop_s = context.random.uniform(0.5, 0.9) * length
                if context.random.random() < 1 / 3:
                    steps.append((context.random.uniform(0.1, 0.9) * length, leaf, [new_version]))
                else:
                    steps += [(offer_s, leaf, [old_version, new_version]), (drop_s, leaf, [new_version])]
            for offset_s, leaf, versions in sorted(steps):
                sleep_until(start, offset_s)
                deployment.control_leafs(leaf, {"snapshots": versions})
            version[0] = new_version
            del run

        slices = Slices(context, deployment, rate=60, mix=context.search_mix())
        return slices.run(3, context.seconds / 6, scenario).result()


def silent_connection(context):
    """Twice per slice, the open connections of a third of the leafs become unresponsive; new connections work."""
    with context.deploy() as deployment:
        deployment.start()
        leafs = [entry["leaf"] for entry in deployment.leaf_records()]

        def scenario(_variant, _index, run):
            start = time.monotonic()
            for fraction in (0.25, 0.6):
                sleep_until(start, fraction * context.seconds / 6)
                for leaf in context.random.sample(leafs, len(leafs) // 3):
                    deployment.control_leafs(leaf, {"silent": True})
            del run

        mix = context.search_mix() + f",{context.booking_service()}=1"
        slices = Slices(context, deployment, rate=60, mix=mix)
        return slices.run(3, context.seconds / 6, scenario).result()


def overload(context):
    """One service is offered twice its capacity."""
    service = context.site.service(context.fanout_services()[0])
    service_ms = 40
    capacity = service.replicas * service.slots * 1000 / service_ms
    with context.deploy(service_ms=service_ms) as deployment:
        deployment.start()
        slices = Slices(context, deployment, rate=2 * capacity, mix=f"{service.name}=1")
        reports = slices.run(2, max(4, context.seconds / 4)).result()
    for values in reports:
        values["capacity_per_s"] = capacity
        values["answered_ratio"] = values["answered_per_s"] / capacity
        # Responses are weighted by coverage: one from a part of the groups uses only that part of the capacity.
        values["goodput_ratio"] = values["answered_ratio"] * values["coverage_mean"]
    return reports


def scale(context):
    """CPU time and memory of the daemons at several query rates, and the CPU cost per request and per query."""
    with context.deploy() as deployment:
        deployment.start()
        time.sleep(2)
        points = []
        reports = {POLICY: [], BASELINE: []}
        length = max(3, context.seconds / 5)
        for index, rate in enumerate((0, 25, 50, 100, 200)):
            cpu_before = [vm.process.cpu_seconds() for vm in deployment.vms]
            start = time.monotonic()
            leaf_requests = 0
            if rate == 0:
                time.sleep(length)
            else:
                report = load.LoadRun(
                    deployment, plain=False, rate=rate, seconds=length, seed=context.seed * 100 + index,
                    prefix=f"s{rate}x{context.seed}", mix=context.search_mix(),
                ).finish()
                reports[POLICY].append(report)
                leaf_requests = report["leaf_requests"]
            elapsed = time.monotonic() - start
            cpu = sum(vm.process.cpu_seconds() for vm in deployment.vms) - sum(cpu_before)
            points.append({
                "rate": rate, "leaf_requests_per_s": leaf_requests / elapsed, "cores": cpu / elapsed,
                "resident_mib_max": max(vm.process.resident_mib() for vm in deployment.vms),
                "p99_ms": reports[POLICY][-1]["p99_ms"] if rate else None,
            })
            if rate:
                reports[BASELINE].append(load.LoadRun(
                    deployment, plain=True, rate=rate, seconds=length, seed=context.seed * 100 + index,
                    prefix=f"b{rate}x{context.seed}", mix=context.search_mix(),
                ).finish())
        policy, baseline = load.merge_reports(reports[POLICY]), load.merge_reports(reports[BASELINE])
    policy["points"] = points
    policy["cpu_us_per_leaf_request"] = 1e6 * slope(
        [(point["leaf_requests_per_s"], point["cores"]) for point in points]
    )
    policy["cpu_ms_per_query"] = 1e3 * slope([(point["rate"], point["cores"]) for point in points])
    policy["idle_cores_per_vm"] = points[0]["cores"] / len(deployment.vms)
    return policy, baseline


def slope(points):
    """Returns the slope of the least-squares line through the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations if squared_deviations else 0.0
