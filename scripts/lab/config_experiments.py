"""Experiments on configuration changes: network partition and churn."""

import json
import random
import re
import shutil
import signal
import threading
import time

from lab import http
from lab.config_observer import BASE_BYTES, ConfigObserver
from lab.context import POLICY, Slices

# Section 1 of docs/design.md: an accepted change is in force at all VMs within 8 s.
IN_FORCE_LIMIT_S = 8.0


class Operator:
    """Submits changes with compare-and-set, retries those with an unknown outcome and counts lost changes."""

    def __init__(self, deployment, observer, name, seed):
        self.deployment = deployment
        self.observer = observer
        self.name = name
        self.random = random.Random(seed)
        self.base_text = deployment.manifest.read_text()
        self.accepted = 0
        self.conflicts = 0
        self.resent = 0
        self.unresolved = 0
        self.duplicate_markers = 0
        self.attempts = 0

    def fetch_current_state(self, vms):
        """Returns the configuration revision and the marker of a random VM, or None if it does not respond."""
        vm = self.random.choice(vms)
        try:
            status, response = http.get_json(vm.admin, "/admin/manifest", 2)
        except http.EndpointError:
            return None
        if status != 200:
            return None
        match = re.search(r"max_body_bytes\s*=\s*(\d+)", response["manifest"])
        return response["revision"], (int(match.group(1)) - BASE_BYTES if match else 0)

    def change(self, vms, response_loss_ratio=0.0):
        """Submits one change. Returns True if it was accepted."""
        current_state = self.fetch_current_state(vms)
        if not current_state:
            time.sleep(0.05)
            return False
        revision, marker = current_state
        marker += 1
        self.attempts += 1
        submit_id = f"{self.name}-{self.attempts}"
        text = self.base_text + f"\n[limits]\nmax_body_bytes = {BASE_BYTES + marker}\n"
        headers = {"Rd-Submit-Id": submit_id, "Rd-Base-Revision": str(revision)}
        for _ in range(40):
            # A very short time-out loses the response to a submit that was sent.
            timeout_s = 0.002 if self.random.random() < response_loss_ratio else 3
            try:
                status, response = http.request(
                    self.random.choice(vms).admin, "POST", "/admin/submit", text, headers, timeout_s
                )
            except http.EndpointError:
                status, response = 0, ""
            if status == 200:
                self.accepted += 1
                if not self.observer.record_accepted(marker):
                    self.duplicate_markers += 1
                return True
            if status == 409 and json.loads(response).get("error") == "conflict":
                self.conflicts += 1
                return False
            if 400 <= status < 500:
                raise RuntimeError(f"submit rejected with HTTP status {status}: {response}")
            self.resent += 1
            time.sleep(0.05)
        self.unresolved += 1
        return False


def add_config_results(reports, observer, operators):
    """Adds the results of the configuration changes to the reports of policy and baseline."""
    policy, baseline = reports
    policy.update(observer.finish())
    policy["accepted"] = sum(operator.accepted for operator in operators)
    policy["conflicts"] = sum(operator.conflicts for operator in operators)
    policy["resent_submits"] = sum(operator.resent for operator in operators)
    policy["unclear_submits"] = sum(operator.unresolved for operator in operators)
    # A change was lost if another one with the same marker was accepted, or if no VM applies the last accepted one.
    policy["lost_acknowledged"] = sum(operator.duplicate_markers for operator in operators) + policy.pop("lost_last")
    too_slow = policy["in_force_max_s"] is None or policy["in_force_max_s"] > IN_FORCE_LIMIT_S
    policy["violations"] += policy["reverted"] + policy["lost_acknowledged"] + policy["behind"] + int(too_slow)
    baseline.update(in_force_max_s=None, reverted=0, lost_acknowledged=0)
    return reports


def partition(context):
    """The daemons of a failure domain are suspended while the configuration changes, then resumed.

    SIGSTOP simulates the partition: daemons advertise the addresses that they listen on, so no proxy can be placed
    between them. All callers use the other domains.
    """
    suspended_domain = context.site.domains[-1]
    with context.deploy() as deployment:
        deployment.start()
        suspended_vms = [vm for vm in deployment.vms if vm.domain == suspended_domain]
        other_vms = [vm for vm in deployment.vms if vm.domain != suspended_domain]
        observer = ConfigObserver(deployment, context.booking_service()).start()
        operator = Operator(deployment, observer, "op", context.seed)
        length = max(10.0, context.seconds / 2)

        def scenario(variant, _index, run):
            if variant != POLICY:
                return None
            start = time.monotonic()
            operator.change(other_vms)
            time.sleep(1)
            for vm in suspended_vms:
                observer.pause(vm)
                vm.process.send_signal(signal.SIGSTOP)
            while time.monotonic() - start < length - 4:
                operator.change(other_vms)
                time.sleep(0.2)
            for vm in suspended_vms:
                vm.process.send_signal(signal.SIGCONT)
                observer.resume(vm, restarted=False)
            while run.is_running():
                operator.change(other_vms)
                time.sleep(0.2)
            return None

        slices = Slices(context, deployment, rate=40, mix=context.search_mix(), vms=other_vms)
        slices.run(1, length, scenario)
        return add_config_results(slices.result(), observer, [operator])


def config_churn(context):
    """Two concurrent operators submit 500 changes with retries while voters are killed and one loses its disk."""
    changes = 500
    with context.deploy() as deployment:
        deployment.start()
        observer = ConfigObserver(deployment, context.booking_service()).start()
        operators = [Operator(deployment, observer, f"op{index}", context.seed * 10 + index) for index in range(2)]
        voters = [vm for vm in deployment.vms if vm.has_disk]
        changes_done = threading.Event()

        def submit_changes(submitter):
            deadline = time.monotonic() + 120
            while sum(operator.accepted for operator in operators) < changes and time.monotonic() < deadline:
                submitter.change(deployment.vms, response_loss_ratio=0.03)

        def inject_faults():
            """Restarts a voter, then another one without its disk, which is removed and added again as a voter.

            Then restarts the remaining voters and the first one until all changes are submitted.
            """
            first, second = voters[0], voters[1]
            if changes_done.wait(1.5):
                return
            restart(deployment, observer, first)
            if changes_done.wait(3):
                return
            restart(deployment, observer, second, lose_disk=True)
            remaining_voter = voters[2]
            for change in ("remove", "add"):
                for _ in range(40):
                    body = json.dumps({"vm": second.name, "change": change})
                    if deployment.send_command("/admin/voter", body, {}, remaining_voter):
                        break
                    time.sleep(0.25)
            for vm in voters[2:] + voters[:1]:
                if changes_done.wait(2):
                    return
                restart(deployment, observer, vm)

        def scenario(variant, _index, _run):
            if variant != POLICY:
                return None
            threads = [threading.Thread(target=submit_changes, args=(operator,)) for operator in operators]
            fault_thread = threading.Thread(target=inject_faults)
            start = time.monotonic()
            for thread in [*threads, fault_thread]:
                thread.start()
            for thread in threads:
                thread.join()
            duration_s = time.monotonic() - start
            changes_done.set()
            fault_thread.join()
            return {"took": duration_s}

        slices = Slices(context, deployment, rate=20, mix=context.search_mix())
        slices.run(1, max(10.0, context.seconds), scenario)
        reports = add_config_results(slices.result(), observer, operators)
        reports[0]["churn_s"] = max(slices.extra_values(POLICY, "took"))
        if reports[0]["accepted"] < changes:
            reports[0]["violations"] += 1
        return reports


def restart(deployment, observer, vm, lose_disk=False):
    """Kills a daemon and starts it again, with an empty data folder if lose_disk is set."""
    observer.pause(vm)
    vm.process.kill()
    if lose_disk:
        shutil.rmtree(vm.folder / "data")
        (vm.folder / "data").mkdir()
    time.sleep(0.3)
    deployment.start_vm(vm)
    deployment.wait_ready([vm], 15)
    observer.resume(vm, restarted=True)
