"""Experiments on the configuration: partition and churn."""

import json
import random
import re
import shutil
import signal
import threading
import time

from lab import http
from lab.config_observer import BASE_BYTES, Observer
from lab.context import POLICY, Slices

# Section 1 of the design: in force within 8 s.
IN_FORCE_LIMIT_S = 8.0


class Operator:
    """Submits changes with compare-and-set, resends after unclear answers and counts lost ones."""

    def __init__(self, deployment, observer, name, seed):
        self.deployment = deployment
        self.observer = observer
        self.name = name
        self.random = random.Random(seed)
        self.base_text = deployment.manifest.read_text()
        self.accepted = 0
        self.conflicts = 0
        self.resent = 0
        self.unclear = 0
        self.accepted_twice = 0
        self.attempts = 0

    def current(self, vms):
        """The revision and the marker that a VM knows, or None."""
        vm = self.random.choice(vms)
        try:
            status, answer = http.get_json(vm.admin, "/admin/manifest", 2)
        except http.Unreachable:
            return None
        if status != 200:
            return None
        found = re.search(r"max_body_bytes\s*=\s*(\d+)", answer["manifest"])
        return answer["revision"], (int(found.group(1)) - BASE_BYTES if found else 0)

    def change(self, vms, lose_answers=0.0):
        """One change; True when it was accepted."""
        known = self.current(vms)
        if not known:
            time.sleep(0.05)
            return False
        revision, marker = known
        marker += 1
        self.attempts += 1
        submit_id = f"{self.name}-{self.attempts}"
        text = self.base_text + f"\n[limits]\nmax_body_bytes = {BASE_BYTES + marker}\n"
        headers = {"Rd-Submit-Id": submit_id, "Rd-Base-Revision": str(revision)}
        for _ in range(40):
            # A very short timeout loses the answer of a submit that was sent.
            timeout_s = 0.002 if self.random.random() < lose_answers else 3
            try:
                status, answer = http.request(
                    self.random.choice(vms).admin, "POST", "/admin/submit", text, headers, timeout_s
                )
            except http.Unreachable:
                status, answer = 0, ""
            if status == 200:
                self.accepted += 1
                if not self.observer.acknowledge(marker):
                    self.accepted_twice += 1
                return True
            if status == 409 and json.loads(answer).get("error") == "conflict":
                self.conflicts += 1
                return False
            if 400 <= status < 500:
                raise RuntimeError(f"submit refused: {status} {answer}")
            self.resent += 1
            time.sleep(0.05)
        self.unclear += 1
        return False


def finish(halves, observer, operators):
    """Adds the configuration's values to the halves."""
    policy, baseline = halves
    policy.update(observer.finish())
    policy["accepted"] = sum(each.accepted for each in operators)
    policy["conflicts"] = sum(each.conflicts for each in operators)
    policy["resent_submits"] = sum(each.resent for each in operators)
    policy["unclear_submits"] = sum(each.unclear for each in operators)
    # Two acknowledged changes with one marker mean that one of them was lost; so does a last change that no VM has.
    policy["lost_acknowledged"] = sum(each.accepted_twice for each in operators) + policy.pop("lost_last")
    slow = policy["in_force_max_s"] is None or policy["in_force_max_s"] > IN_FORCE_LIMIT_S
    policy["violations"] += policy["reverted"] + policy["lost_acknowledged"] + policy["behind"] + int(slow)
    baseline.update(in_force_max_s=None, reverted=0, lost_acknowledged=0)
    return halves


def partition(context):
    """The daemons of a failure domain stand still (SIGSTOP) while the configuration changes, then go on.

    SIGSTOP stands for the cut because daemons register the addresses that they listen on, so no forwarder can
    lie between them. Callers are those of the other domains.
    """
    cut_domain = context.site.domains[-1]
    with context.deploy() as deployment:
        deployment.start()
        cut = [vm for vm in deployment.vms if vm.domain == cut_domain]
        rest = [vm for vm in deployment.vms if vm.domain != cut_domain]
        observer = Observer(deployment, context.booking_service()).start()
        operator = Operator(deployment, observer, "op", context.seed)
        length = max(10.0, context.seconds / 2)

        def during(half, _index, run):
            if half != POLICY:
                return None
            start = time.monotonic()
            operator.change(rest)
            time.sleep(1)
            for vm in cut:
                observer.pause(vm)
                vm.process.signal(signal.SIGSTOP)
            while time.monotonic() - start < length - 4:
                operator.change(rest)
                time.sleep(0.2)
            for vm in cut:
                vm.process.signal(signal.SIGCONT)
                observer.resume(vm, restarted=False)
            while run.running():
                operator.change(rest)
                time.sleep(0.2)
            return None

        slices = Slices(context, deployment, rate=40, mix=context.search_mix(), vms=rest)
        slices.run(1, length, during)
        return finish(slices.result(), observer, [operator])


def config_churn(context):
    """500 changes by two racing operators with resends, while voters are killed and a disk is lost."""
    changes = 500
    with context.deploy() as deployment:
        deployment.start()
        observer = Observer(deployment, context.booking_service()).start()
        operators = [Operator(deployment, observer, f"op{index}", context.seed * 10 + index) for index in range(2)]
        voters = [vm for vm in deployment.vms if vm.has_disk]
        done = threading.Event()

        def operate(operator):
            end = time.monotonic() + 120
            while sum(each.accepted for each in operators) < changes and time.monotonic() < end:
                operator.change(deployment.vms, lose_answers=0.03)

        def disturb():
            """A voter is killed and returns; then another loses its disk and is made a voter again."""
            first, second = voters[0], voters[1]
            if done.wait(1.5):
                return
            restart(deployment, observer, first)
            if done.wait(3):
                return
            restart(deployment, observer, second, lose_disk=True)
            keeper = voters[2]
            for change in ("remove", "add"):
                for _ in range(40):
                    body = json.dumps({"vm": second.name, "change": change})
                    if deployment.order("/admin/voter", body, {}, keeper):
                        break
                    time.sleep(0.25)
            for vm in voters[2:] + voters[:1]:
                if done.wait(2):
                    return
                restart(deployment, observer, vm)

        def during(half, _index, _run):
            if half != POLICY:
                return None
            threads = [threading.Thread(target=operate, args=(each,)) for each in operators]
            disturber = threading.Thread(target=disturb)
            start = time.monotonic()
            for thread in [*threads, disturber]:
                thread.start()
            for thread in threads:
                thread.join()
            took = time.monotonic() - start
            done.set()
            disturber.join()
            return {"took": took}

        slices = Slices(context, deployment, rate=20, mix=context.search_mix())
        slices.run(1, max(10.0, context.seconds), during)
        halves = finish(slices.result(), observer, operators)
        halves[0]["churn_s"] = max(slices.extra(POLICY, "took"))
        if halves[0]["accepted"] < changes:
            halves[0]["violations"] += 1
        return halves


def restart(deployment, observer, vm, lose_disk=False):
    """Kills a daemon and starts it again, without its data folder if lose_disk."""
    observer.pause(vm)
    vm.process.kill()
    if lose_disk:
        shutil.rmtree(vm.folder / "data")
        (vm.folder / "data").mkdir()
    time.sleep(0.3)
    deployment.start_vm(vm)
    deployment.wait_ready([vm], 15)
    observer.resume(vm, restarted=True)
