"""The bounds of section 8 of the design, checked on a result."""


def at_least(value, bound):
    return value is not None and value >= bound


def at_most(value, bound):
    return value is not None and value <= bound


BOUNDS = {
    "straggler": {
        "p99 at most half of the baseline's": lambda p, b: p["p99_ms"] <= 0.5 * b["p99_ms"],
        "extra load at most 5%": lambda p, b: p["extra_load_ratio"] <= 0.05,
    },
    "cold-start": {
        "never above the allowance after detection": lambda p, b: p["max_load_over_allowance"] <= 1,
        "recovery without an operator": lambda p, b: p["not_recovered"] == 0,
    },
    "domain-out": {
        "no new work after 3 s": lambda p, b: at_most(p["last_new_work_s"], 3) and p["new_work_after_limit"] == 0,
        "no request interrupted": lambda p, b: p["cut"] + p["silent"] == 0,
        "full coverage": lambda p, b: p["coverage_full_ratio"] == 1,
    },
    "version-switch": {
        "no mixed snapshots": lambda p, b: p["mixed_snapshots"] == 0,
        "no wrong coverage": lambda p, b: p["wrong_coverage"] == 0,
    },
    "silent-connection": {
        "no answer after its deadline": lambda p, b: p["late"] + p["silent"] == 0,
        "no repeat of a booking": lambda p, b: p["ran_twice"] == 0,
    },
    "overload": {
        "goodput at least 90% of capacity": lambda p, b: p["goodput_ratio"] >= 0.9,
        "no false not_run": lambda p, b: p["false_not_run"] == 0,
    },
    "booking": {
        "none ran twice": lambda p, b: p["ran_twice"] == 0,
        "no false not_run": lambda p, b: p["false_not_run"] == 0,
    },
    "graceful-stop": {"no request interrupted": lambda p, b: p["cut"] == 0},
    "partition": {
        "in force within 8 s": lambda p, b: at_most(p["in_force_max_s"], 8),
        "none reverted, no acknowledged change lost": lambda p, b: p["reverted"] + p["lost_acknowledged"] == 0,
    },
    "config-churn": {
        "500 changes": lambda p, b: at_least(p["accepted"], 500),
        "in force within 8 s": lambda p, b: at_most(p["in_force_max_s"], 8),
        "none reverted, no acknowledged change lost": lambda p, b: p["reverted"] + p["lost_acknowledged"] == 0,
    },
    "scale": {},
}


def check(name, policy, baseline):
    """Each bound of the experiment and whether the result keeps it."""
    return {bound: bool(holds(policy, baseline)) for bound, holds in BOUNDS[name].items()}
