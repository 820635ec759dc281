"""Tests of the experiments' own checks: each fault that they look for must be found."""

import signal
import subprocess
import sys
import types
import unittest

from lab import bounds, load, sites
from lab.config_observer import Observer


def slice_report(histogram, **values):
    """A report of the load tool with these latencies."""
    report = {key: 0 for key in load.SUMMED}
    report.update(answered=sum(count for _, count in histogram), seconds=1.0, max_ms=0.0, late_max_ms=0.0,
                  coverage_mean=1.0, coverage_full_ratio=1.0, histogram_us=histogram, progress=[], faults={},
                  errors={})
    report.update(values)
    return report


class Join(unittest.TestCase):
    """Guards against quantiles that are averaged over slices and hide a slow one."""

    def test_quantiles_are_of_all_latencies(self):
        joined = load.join([slice_report([[1000, 98]]), slice_report([[1000, 97], [200000, 5]])])
        self.assertEqual(joined["p50_ms"], 1.0)
        self.assertEqual(joined["p99_ms"], 200.0)

    def test_coverage_is_weighted_by_answers(self):
        joined = load.join([slice_report([[1000, 90]]), slice_report([[1000, 10]], coverage_mean=0.5)])
        self.assertAlmostEqual(joined["coverage_mean"], 0.95)

    def test_extra_load_and_violations_are_summed(self):
        joined = load.join([slice_report([[1, 1]], leaf_requests=11, groups_asked=10, violations=1),
                            slice_report([[1, 1]], leaf_requests=10, groups_asked=10, violations=2)])
        self.assertAlmostEqual(joined["extra_load_ratio"], 0.05)
        self.assertEqual(joined["violations"], 3)


class FakeDaemons(Observer):
    """An observer whose probes ask a table of the limits in force instead of daemons."""

    def __init__(self, limits):
        vms = [types.SimpleNamespace(name=name) for name in limits]
        super().__init__(types.SimpleNamespace(vms=vms), "desk")
        self.limits = limits

    def probe(self, vm, marker):
        limit = self.limits[vm.name]
        return None if limit is None else marker <= limit


class Configuration(unittest.TestCase):
    """Guards against reverted, lost and late changes that are not counted."""

    def observe(self, limits, acknowledged, act=lambda observer: None, timeout_s=0.5):
        observer = FakeDaemons(limits).start()
        for marker in acknowledged:
            observer.acknowledge(marker)
        act(observer)
        return observer.finish(timeout_s)

    def test_all_in_force(self):
        values = self.observe({"a": 2, "b": 2}, [1, 2])
        self.assertEqual((values["reverted"], values["behind"], values["beyond_acknowledged"]), (0, 0, 0))
        self.assertLess(values["in_force_max_s"], 0.5)

    def test_one_vm_never_follows(self):
        values = self.observe({"a": 2, "b": 1}, [1, 2])
        self.assertEqual((values["behind"], values["lost_last"]), (1, 0))
        self.assertGreaterEqual(values["in_force_max_s"], 0.5)

    def test_change_that_no_vm_has_is_lost(self):
        self.assertEqual(self.observe({"a": 1, "b": 1}, [1, 2])["lost_last"], 1)

    def test_vm_that_does_not_answer_is_behind(self):
        self.assertEqual(self.observe({"a": 2, "b": None}, [2])["behind"], 1)

    def test_revert_is_found(self):
        def revert(observer):
            while observer.seen["a"] < 2:
                pass
            observer.limits["a"] = 1
            while not observer.reverted:
                pass
            observer.limits["a"] = 2

        self.assertEqual(self.observe({"a": 2}, [1, 2], revert)["reverted"], 1)

    def test_change_that_nobody_accepted_is_found(self):
        self.assertEqual(self.observe({"a": 3}, [1, 2])["beyond_acknowledged"], 1)

    def test_second_change_with_the_same_base_is_found(self):
        observer = FakeDaemons({"a": 1})
        self.assertTrue(observer.acknowledge(1))
        self.assertFalse(observer.acknowledge(1))


class Bounds(unittest.TestCase):
    """Guards against a missed bound that is reported as kept."""

    ROWS = (
        ("straggler", {"p99_ms": 51, "extra_load_ratio": 0.05}, {"p99_ms": 100}, [False, True]),
        ("straggler", {"p99_ms": 50, "extra_load_ratio": 0.051}, {"p99_ms": 100}, [True, False]),
        ("domain-out", {"last_new_work_s": 3.1, "new_work_after_limit": 0, "cut": 0, "silent": 0,
                        "coverage_full_ratio": 1}, {}, [False, True, True]),
        ("domain-out", {"last_new_work_s": 1, "new_work_after_limit": 0, "cut": 0, "silent": 1,
                        "coverage_full_ratio": 0.99}, {}, [True, False, False]),
        ("overload", {"goodput_ratio": 0.89, "false_not_run": 1}, {}, [False, False]),
        ("partition", {"in_force_max_s": None, "reverted": 0, "lost_acknowledged": 1}, {}, [False, False]),
        ("config-churn", {"accepted": 499, "in_force_max_s": 8.1, "reverted": 1, "lost_acknowledged": 0}, {},
         [False, False, False]),
    )

    def test_rows(self):
        for name, policy, baseline, expected in self.ROWS:
            with self.subTest(name=name, policy=policy):
                self.assertEqual(list(bounds.check(name, policy, baseline).values()), expected)


class Sites(unittest.TestCase):
    """Guards against replicas of one group in one failure domain, and against a wrong size."""

    def test_replicas_lie_in_different_domains(self):
        for site in sites.SITES.values():
            domains = {}
            for _, service, group, domain, _ in sites.leafs_of(site, 1000):
                domains.setdefault((service, group), []).append(domain)
            for service in site.services:
                if service.kind == "fanout":
                    for group in range(service.groups):
                        found = domains[service.name, f"g{group + 1}"]
                        self.assertEqual(len(set(found)), service.replicas)

    def test_sizes(self):
        count = {name: len(sites.leafs_of(site, 1000)) for name, site in sites.SITES.items()}
        self.assertEqual(count, {"argani": 105, "railrover": 86})


class Local(unittest.TestCase):
    def test_waits_for_a_signal_with_closed_input(self):
        """Guards against a local deployment that ends with EOFError when standard input is closed."""
        for stop in (signal.SIGINT, signal.SIGTERM):
            with self.subTest(stop=stop):
                waiting = subprocess.Popen(
                    [sys.executable, "-c", "from lab import local; local.wait_for_stop()"],
                    stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True,
                )
                self.assertIn("running until", waiting.stdout.readline())
                self.assertIsNone(waiting.poll())
                waiting.send_signal(stop)
                self.assertEqual(waiting.wait(timeout=5), 0)
                waiting.stdout.close()


if __name__ == "__main__":
    unittest.main()
