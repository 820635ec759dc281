"""Experiments on the query path: slow, cold, silent and overloaded leafs, index versions, and scale."""

import time

from lab import load
from lab.context import BASELINE, POLICY, Slices, sleep_until


def straggler(context):
    """1% of leaf requests take 20 times as long, and one leaf of one group of each service is always slow."""
    with context.deploy(leaf_options={"straggler_fraction": 0.01, "straggler_factor": 20}) as deployment:
        deployment.start()
        for service in context.fanout():
            deployment.control_leafs(f"{service}-1-1", {"slow_factor": 8})
        slices = Slices(context, deployment, rate=60, mix=context.search_mix())
        return slices.run(3, context.seconds / 6).result()


def cold_start(context):
    """A warm leaf turns cold unannounced, carries 10%, collapses above that; its health endpoint says ok."""
    service_ms = 20
    # Half of the rate of three leafs, so that a cold one would be overloaded five times without a limit.
    rate = 0.5 * 3 * 2 * 1000 / service_ms
    leaf = f"{context.fanout()[0]}-1-1"
    with context.deploy(service_ms=service_ms, leaf_options={"health": "ok"}) as deployment:
        deployment.start()

        def before(_half, _index):
            deployment.control_leafs("all", {"warm": True})

        def during(_half, _index, run):
            time.sleep(1)
            deployment.control_leafs(leaf, {"cold": True})
            while run.running():
                time.sleep(0.05)
            records = next(each for each in deployment.leaf_records() if each["leaf"] == leaf)
            recovered = None if records["cold"] else (records["cold_age_ms"] - records["warm_age_ms"]) / 1000
            return {"max_load": records["max_load_over_allowance"], "recovered_s": recovered,
                    "not_recovered": int(records["cold"]), "collapsed": records["collapsed"],
                    "served": records["ended"]}

        slices = Slices(context, deployment, rate=rate, mix=f"{context.fanout()[0]}=1")
        # The allowance needs about 5 s to grow to the full rate; the slice leaves twice that time.
        slices.run(1, max(13, context.seconds / 2), during, before)
        halves = slices.result()
    for half, values in zip((POLICY, BASELINE), halves):
        values["max_load_over_allowance"] = max(slices.extra(half, "max_load"))
        values["recovered_s"] = max(slices.extra(half, "recovered_s"), default=None)
        values["not_recovered"] = sum(slices.extra(half, "not_recovered"))
        values["served_by_cold_leaf"] = sum(slices.extra(half, "served"))
        values["collapsed"] = sum(slices.extra(half, "collapsed"))
        above = sum(1 for load_over in slices.extra(half, "max_load") if load_over > 1)
        values["violations"] += above + values["not_recovered"]
    return halves


def version_switch(context):
    """Leafs switch to the next index version in random order under load; a third of them without an overlap."""
    with context.deploy(leaf_options={"snapshots": [1]}) as deployment:
        deployment.start()
        leafs = [each["leaf"] for each in deployment.leaf_records() if each["service"] in context.fanout()]
        version = [1]

        def during(_half, _index, run):
            start = time.monotonic()
            length = context.seconds / 6
            old, new = version[0], version[0] + 1
            steps = []
            for leaf in leafs:
                offered = context.random.uniform(0.1, 0.5) * length
                dropped = context.random.uniform(0.5, 0.9) * length
                if context.random.random() < 1 / 3:
                    steps.append((context.random.uniform(0.1, 0.9) * length, leaf, [new]))
                else:
                    steps += [(offered, leaf, [old, new]), (dropped, leaf, [new])]
            for at, leaf, versions in sorted(steps):
                sleep_until(start, at)
                deployment.control_leafs(leaf, {"snapshots": versions})
            version[0] = new
            del run

        slices = Slices(context, deployment, rate=60, mix=context.search_mix())
        return slices.run(3, context.seconds / 6, during).result()


def silent_connection(context):
    """The open connections of a third of the leafs stop answering twice a slice; new ones work."""
    with context.deploy() as deployment:
        deployment.start()
        leafs = [each["leaf"] for each in deployment.leaf_records()]

        def during(_half, _index, run):
            start = time.monotonic()
            for share in (0.25, 0.6):
                sleep_until(start, share * context.seconds / 6)
                for leaf in context.random.sample(leafs, len(leafs) // 3):
                    deployment.control_leafs(leaf, {"silent": True})
            del run

        mix = context.search_mix() + f",{context.booking_service()}=1"
        slices = Slices(context, deployment, rate=60, mix=mix)
        return slices.run(3, context.seconds / 6, during).result()


def overload(context):
    """Twice the capacity of one service is offered."""
    service = context.site.service(context.fanout()[0])
    service_ms = 40
    capacity = service.replicas * service.slots * 1000 / service_ms
    with context.deploy(service_ms=service_ms) as deployment:
        deployment.start()
        slices = Slices(context, deployment, rate=2 * capacity, mix=f"{service.name}=1")
        halves = slices.run(2, max(4, context.seconds / 4)).result()
    for values in halves:
        values["capacity_per_s"] = capacity
        values["answered_ratio"] = values["answered_per_s"] / capacity
        # An answer counts with its coverage: a part of the groups takes a part of the capacity.
        values["goodput_ratio"] = values["answered_ratio"] * values["coverage_mean"]
    return halves


def scale(context):
    """Processor time and memory of the daemons at several rates, and their slopes."""
    with context.deploy() as deployment:
        deployment.start()
        time.sleep(2)
        points = []
        reports = {POLICY: [], BASELINE: []}
        length = max(3, context.seconds / 5)
        for index, rate in enumerate((0, 25, 50, 100, 200)):
            before = [vm.process.cpu_seconds() for vm in deployment.vms]
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
            cpu = sum(vm.process.cpu_seconds() for vm in deployment.vms) - sum(before)
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
        policy, baseline = load.join(reports[POLICY]), load.join(reports[BASELINE])
    policy["points"] = points
    policy["cpu_us_per_leaf_request"] = 1e6 * slope([(p["leaf_requests_per_s"], p["cores"]) for p in points])
    policy["cpu_ms_per_query"] = 1e3 * slope([(p["rate"], p["cores"]) for p in points])
    policy["idle_cores_per_vm"] = points[0]["cores"] / len(deployment.vms)
    return policy, baseline


def slope(points):
    """The slope of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
