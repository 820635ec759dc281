"""Observes by behaviour which configuration is in force at each entry VM.

Each accepted change raises the limit max_body_bytes by one. A body of BASE_BYTES + marker bytes is refused as
too_large until that marker is in force, so the observation does not rely on what a daemon says about itself.
"""

import threading
import time

from lab import http

BASE_BYTES = 2000


class Observer:
    """Probes all VMs of a deployment in a thread each."""

    def __init__(self, deployment, service):
        self.deployment = deployment
        self.service = service
        self.lock = threading.Lock()
        self.acknowledged = {}
        self.highest = 0
        self.reverted = 0
        self.delays = []
        self.since = {vm.name: 0.0 for vm in deployment.vms}
        self.seen = {vm.name: 0 for vm in deployment.vms}
        self.paused = set()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._watch, args=(vm,)) for vm in deployment.vms]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def acknowledge(self, marker, at=None):
        """A change was accepted. Returns False when another change with this marker was accepted before."""
        with self.lock:
            if marker in self.acknowledged:
                return False
            self.acknowledged[marker] = at or time.monotonic()
            self.highest = max(self.highest, marker)
            return True

    def pause(self, vm):
        """The VM is about to be stopped or cut off."""
        with self.lock:
            self.paused.add(vm.name)

    def resume(self, vm, restarted):
        """The VM is back; delays count from now. A restarted VM may start from what is on its disk."""
        with self.lock:
            self.since[vm.name] = time.monotonic()
            if restarted:
                self.seen[vm.name] = 0
            self.paused.discard(vm.name)

    def probe(self, vm, marker):
        """True when the marker is in force, False when it is not, None when the answer does not tell."""
        headers = {"Rd-Deadline-Ms": "500", "Rd-Request-Id": f"probe-{marker}"}
        try:
            status, _ = http.request(
                vm.caller, "POST", f"/v1/services/{self.service}/query", b"x" * (BASE_BYTES + marker), headers, 1.0
            )
        except http.Unreachable:
            return None
        return {200: True, 504: True, 413: False}.get(status)

    def _watch(self, vm):
        while not self.stopping.wait(0.03):
            with self.lock:
                target, seen, since = self.highest, self.seen[vm.name], self.since[vm.name]
                paused = vm.name in self.paused
            if paused or target == 0:
                continue
            # A marker that is in force must stay so, also while the next one is awaited.
            marker = target if seen < target else seen
            in_force = self.probe(vm, marker)
            now = time.monotonic()
            with self.lock:
                if vm.name in self.paused or self.since[vm.name] != since:
                    continue
                if in_force and seen < marker:
                    self._note_delays(vm, seen, marker, now)
                elif in_force is False and seen >= marker:
                    self.reverted += 1
                    self.seen[vm.name] = 0

    def _note_delays(self, vm, seen, marker, now):
        self.seen[vm.name] = marker
        for passed in range(seen + 1, marker + 1):
            if passed in self.acknowledged:
                self.delays.append(max(0.0, now - max(self.acknowledged[passed], self.since[vm.name])))

    def finish(self, timeout_s=10):
        """Waits until the last marker is in force at all VMs. Returns the values for the result."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            with self.lock:
                behind = [name for name, seen in self.seen.items() if seen < self.highest]
            if not behind:
                break
            time.sleep(0.05)
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        now = time.monotonic()
        for name in behind:
            self.delays.append(now - max(self.acknowledged.get(self.highest, now), self.since[name]))
        # The limit must be exactly the last accepted one: a further byte is refused.
        beyond = [vm.name for vm in self.deployment.vms if self.probe(vm, self.highest + 1)]
        return {"in_force_max_s": max(self.delays, default=None), "reverted": self.reverted, "behind": len(behind),
                "lost_last": int(self.highest > 0 and max(self.seen.values()) < self.highest),
                "beyond_acknowledged": len(beyond), "changes": len(self.acknowledged)}
