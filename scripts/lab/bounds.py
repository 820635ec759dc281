"""Acceptance bounds from section 8 of docs/design.md and their evaluation."""


def at_least(value, bound):
    return value is not None and value >= bound


def at_most(value, bound):
    return value is not None and value <= bound


BOUNDS = {
    "straggler": {
        "p99 at most half of the baseline's": lambda policy, baseline: policy["p99_ms"] <= 0.5 * baseline["p99_ms"],
        "extra load at most 5%": lambda policy, baseline: policy["extra_load_ratio"] <= 0.05,
    },
    "cold-start": {
        "never above the allowance after detection": lambda policy, baseline: policy["max_load_over_allowance"] <= 1,
        "recovery without an operator": lambda policy, baseline: policy["not_recovered"] == 0,
    },
    "domain-out": {
        "no new work after 3 s":
            lambda policy, baseline: at_most(policy["last_new_work_s"], 3) and policy["new_work_after_limit"] == 0,
        "no request interrupted": lambda policy, baseline: policy["cut"] + policy["silent"] == 0,
        "full coverage": lambda policy, baseline: policy["coverage_full_ratio"] == 1,
    },
    "version-switch": {
        "no mixed snapshots": lambda policy, baseline: policy["mixed_snapshots"] == 0,
        "no wrong coverage": lambda policy, baseline: policy["wrong_coverage"] == 0,
    },
    "silent-connection": {
        "no answer after its deadline": lambda policy, baseline: policy["late"] + policy["silent"] == 0,
        "no repeat of a booking": lambda policy, baseline: policy["ran_twice"] == 0,
    },
    "overload": {
        "goodput at least 90% of capacity": lambda policy, baseline: policy["goodput_ratio"] >= 0.9,
        "no false not_run": lambda policy, baseline: policy["false_not_run"] == 0,
    },
    "booking": {
        "none ran twice": lambda policy, baseline: policy["ran_twice"] == 0,
        "no false not_run": lambda policy, baseline: policy["false_not_run"] == 0,
    },
    "graceful-stop": {"no request interrupted": lambda policy, baseline: policy["cut"] == 0},
    "partition": {
        "in force within 8 s": lambda policy, baseline: at_most(policy["in_force_max_s"], 8),
        "none reverted, no acknowledged change lost":
            lambda policy, baseline: policy["reverted"] + policy["lost_acknowledged"] == 0,
    },
    "config-churn": {
        "500 changes": lambda policy, baseline: at_least(policy["accepted"], 500),
        "in force within 8 s": lambda policy, baseline: at_most(policy["in_force_max_s"], 8),
        "none reverted, no acknowledged change lost":
            lambda policy, baseline: policy["reverted"] + policy["lost_acknowledged"] == 0,
    },
    "scale": {},
}


def check(name, policy, baseline):
    """Returns a mapping from each bound of the experiment to True if the result satisfies it."""
    return {bound: bool(predicate(policy, baseline)) for bound, predicate in BOUNDS[name].items()}
