"""Tests that the checks of the experiments detect each fault that they look for."""

import signal
import subprocess
import sys
import types
import unittest

from lab import bounds, load, sites, test_report
from lab.config_observer import ConfigObserver


def slice_report(histogram, **values):
    """Returns a report of the load tool with the given latency histogram."""
    report = {key: 0 for key in load.SUMMED_KEYS}
    report.update(answered=sum(count for _, count in histogram), seconds=1.0, max_ms=0.0, late_max_ms=0.0,
                  coverage_mean=1.0, coverage_full_ratio=1.0, histogram_us=histogram, progress=[], faults={},
                  errors={})
    report.update(values)
    return report


class MergeReports(unittest.TestCase):
    """Guards against averaging quantiles over slices, which hides a slow slice."""

    def test_quantiles_cover_all_latencies(self):
        merged = load.merge_reports([slice_report([[1000, 98]]), slice_report([[1000, 97], [200000, 5]])])
        self.assertEqual(merged["p50_ms"], 1.0)
        self.assertEqual(merged["p99_ms"], 200.0)

    def test_coverage_is_weighted_by_responses(self):
        merged = load.merge_reports([slice_report([[1000, 90]]), slice_report([[1000, 10]], coverage_mean=0.5)])
        self.assertAlmostEqual(merged["coverage_mean"], 0.95)

    def test_extra_load_and_violations_are_summed(self):
        merged = load.merge_reports([slice_report([[1, 1]], leaf_requests=11, groups_asked=10, violations=1),
                            slice_report([[1, 1]], leaf_requests=10, groups_asked=10, violations=2)])
        self.assertAlmostEqual(merged["extra_load_ratio"], 0.05)
        self.assertEqual(merged["violations"], 3)


class FakeObserver(ConfigObserver):
    """An observer whose probes read the limits in force from a table instead of querying daemons."""

    def __init__(self, limits):
        vms = [types.SimpleNamespace(name=name) for name in limits]
        super().__init__(types.SimpleNamespace(vms=vms), "desk")
        self.limits = limits

    def probe(self, vm, marker):
        limit = self.limits[vm.name]
        return None if limit is None else marker <= limit


class ConfigObservation(unittest.TestCase):
    """Guards against reverted, lost and late changes that go uncounted."""

    def observe(self, limits, accepted_markers, scenario=lambda observer: None, timeout_s=0.5):
        observer = FakeObserver(limits).start()
        for marker in accepted_markers:
            observer.record_accepted(marker)
        scenario(observer)
        return observer.finish(timeout_s)

    def test_change_in_force_at_all_vms(self):
        values = self.observe({"a": 2, "b": 2}, [1, 2])
        self.assertEqual((values["reverted"], values["behind"], values["beyond_acknowledged"]), (0, 0, 0))
        self.assertLess(values["in_force_max_s"], 0.5)

    def test_lagging_vm_is_counted(self):
        values = self.observe({"a": 2, "b": 1}, [1, 2])
        self.assertEqual((values["behind"], values["lost_last"]), (1, 0))
        self.assertGreaterEqual(values["in_force_max_s"], 0.5)

    def test_change_applied_by_no_vm_is_lost(self):
        self.assertEqual(self.observe({"a": 1, "b": 1}, [1, 2])["lost_last"], 1)

    def test_unresponsive_vm_is_lagging(self):
        self.assertEqual(self.observe({"a": 2, "b": None}, [2])["behind"], 1)

    def test_revert_is_detected(self):
        def revert(observer):
            while observer.observed_markers["a"] < 2:
                pass
            observer.limits["a"] = 1
            while not observer.reverted:
                pass
            observer.limits["a"] = 2

        self.assertEqual(self.observe({"a": 2}, [1, 2], revert)["reverted"], 1)

    def test_unaccepted_change_is_detected(self):
        self.assertEqual(self.observe({"a": 3}, [1, 2])["beyond_acknowledged"], 1)

    def test_second_change_with_same_base_is_detected(self):
        observer = FakeObserver({"a": 1})
        self.assertTrue(observer.record_accepted(1))
        self.assertFalse(observer.record_accepted(1))


class Bounds(unittest.TestCase):
    """Guards against reporting a missed bound as satisfied."""

    CASES = (
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

    def test_missed_bounds(self):
        for name, policy, baseline, expected in self.CASES:
            with self.subTest(name=name, policy=policy):
                self.assertEqual(list(bounds.check(name, policy, baseline).values()), expected)


class Sites(unittest.TestCase):
    """Guards against two replicas of a group in one failure domain, and against wrong manifest sizes."""

    def test_replicas_are_in_different_domains(self):
        for site in sites.SITES.values():
            domains = {}
            for _, service, group, domain, _ in sites.list_leafs(site, 1000):
                domains.setdefault((service, group), []).append(domain)
            for service in site.services:
                if service.kind == "fanout":
                    for group in range(service.groups):
                        found = domains[service.name, f"g{group + 1}"]
                        self.assertEqual(len(set(found)), service.replicas)

    def test_sizes(self):
        count = {name: len(sites.list_leafs(site, 1000)) for name, site in sites.SITES.items()}
        self.assertEqual(count, {"argani": 105, "railrover": 86})


def criterion_report(status, messages, **counts):
    """Returns the report of a program with a passed test and one of the given status."""
    counts = {"passed": 1, "failed": 1, "errored": 0, **counts}
    numbers = "".join(f'  "{key}": {value},\n' for key, value in counts.items())
    return ('{\n' + numbers + '  "test_suites": [\n    {\n      "name": "s",\n      "tests": [\n'
            '        {\n          "name": "one",\n          "assertions": 1,\n          "status": "PASSED"\n'
            '        },\n        {\n          "name": "two",\n          "assertions": 1,\n'
            f'          "status": "{status}",\n          "messages": [\n' + messages +
            '          ]\n        }\n      ]\n    }\n  ]\n}\n')


class TestReport(unittest.TestCase):
    def test_reads_failed_tests(self):
        """Guards against a failed test whose message has a quote, after which no further program was run."""
        for messages in ("", '            "a.cpp:1: (x) is false."\n',
                         '            "a.cpp:1: (f(" ")) == (1) is false."\n            "\\q ] \\"\n'):
            for status in ("FAILED", "ERRORED"):
                with self.subTest(messages=messages, status=status):
                    self.assertEqual(test_report.read(criterion_report(status, messages)), (1, ["s/two"]))

    def test_rejects_incomplete_reports(self):
        """Guards against failed tests that are not counted since their report is damaged."""
        report = criterion_report("FAILED", "")
        for text in ("", "{}", report[:-10], criterion_report("FAILED", "", failed=0),
                     criterion_report("PASSED", ""), criterion_report("PASSED", "", failed=0)):
            with self.subTest(text=text), self.assertRaises(test_report.ReportError):
                test_report.read(text)


class Local(unittest.TestCase):
    def test_waits_for_signal_with_closed_input(self):
        """Guards against a local deployment that exits with EOFError because standard input is closed."""
        for stop_signal in (signal.SIGINT, signal.SIGTERM):
            with self.subTest(stop_signal=stop_signal):
                process = subprocess.Popen(
                    [sys.executable, "-c", "from lab import local; local.wait_for_stop()"],
                    stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True,
                )
                self.assertIn("running until", process.stdout.readline())
                self.assertIsNone(process.poll())
                process.send_signal(stop_signal)
                self.assertEqual(process.wait(timeout=5), 0)
                process.stdout.close()


if __name__ == "__main__":
    unittest.main()
