"""Determines from their behaviour which configuration the entry VMs apply.

Each accepted change increments the limit max_body_bytes, and its marker is the increment over BASE_BYTES. An entry VM
rejects a body of BASE_BYTES + marker bytes as too_large until it applies that change, so the observation does not
depend on the state that a daemon reports.
"""

import threading
import time

from lab import http

BASE_BYTES = 2000


class ConfigObserver:
    """Probes all VMs of a deployment, each in a thread of its own."""

    def __init__(self, deployment, service):
        self.deployment = deployment
        self.service = service
        self.lock = threading.Lock()
        self.acknowledged = {}
        self.highest_marker = 0
        self.reverted = 0
        self.delays = []
        self.delay_starts = {vm.name: 0.0 for vm in deployment.vms}
        self.observed_markers = {vm.name: 0 for vm in deployment.vms}
        self.paused = set()
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._probe_loop, args=(vm,)) for vm in deployment.vms]

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def record_accepted(self, marker, accepted_at=None):
        """Records an accepted change. Returns False if a change with this marker was accepted before."""
        with self.lock:
            if marker in self.acknowledged:
                return False
            self.acknowledged[marker] = accepted_at or time.monotonic()
            self.highest_marker = max(self.highest_marker, marker)
            return True

    def pause(self, vm):
        """Suspends the probes of a VM that is about to be stopped or partitioned."""
        with self.lock:
            self.paused.add(vm.name)

    def resume(self, vm, restarted):
        """Resumes the probes of a VM and measures its delays from now on.

        A restarted VM may apply an older configuration from its disk, which does not count as reverted.
        """
        with self.lock:
            self.delay_starts[vm.name] = time.monotonic()
            if restarted:
                self.observed_markers[vm.name] = 0
            self.paused.discard(vm.name)

    def probe(self, vm, marker):
        """Returns True if the marker is in force, False if it is not, None if the response does not show it."""
        headers = {"Rd-Deadline-Ms": "500", "Rd-Request-Id": f"probe-{marker}"}
        try:
            status, _ = http.request(
                vm.caller, "POST", f"/v1/services/{self.service}/query", b"x" * (BASE_BYTES + marker), headers, 1.0
            )
        except http.EndpointError:
            return None
        return {200: True, 504: True, 413: False}.get(status)

    def _probe_loop(self, vm):
        while not self.stopping.wait(0.03):
            with self.lock:
                target_marker, observed, delay_start = (
                    self.highest_marker, self.observed_markers[vm.name], self.delay_starts[vm.name]
                )
                paused = vm.name in self.paused
            if paused or target_marker == 0:
                continue
            # A marker in force must remain in force, also while the next one is pending.
            marker = target_marker if observed < target_marker else observed
            in_force = self.probe(vm, marker)
            now = time.monotonic()
            with self.lock:
                if vm.name in self.paused or self.delay_starts[vm.name] != delay_start:
                    continue
                if in_force and observed < marker:
                    self._record_delays(vm, observed, marker, now)
                elif in_force is False and observed >= marker:
                    self.reverted += 1
                    self.observed_markers[vm.name] = 0

    def _record_delays(self, vm, observed, marker, now):
        self.observed_markers[vm.name] = marker
        for reached_marker in range(observed + 1, marker + 1):
            if reached_marker in self.acknowledged:
                self.delays.append(max(0.0, now - max(self.acknowledged[reached_marker], self.delay_starts[vm.name])))

    def finish(self, timeout_s=10):
        """Waits until the last marker is in force at all VMs, stops the probes and returns the result values."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with self.lock:
                lagging = [name for name, observed in self.observed_markers.items() if observed < self.highest_marker]
            if not lagging:
                break
            time.sleep(0.05)
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        now = time.monotonic()
        for name in lagging:
            self.delays.append(now - max(self.acknowledged.get(self.highest_marker, now), self.delay_starts[name]))
        # The limit must equal the last accepted one: a body with one more byte is rejected.
        vms_beyond_limit = [vm.name for vm in self.deployment.vms if self.probe(vm, self.highest_marker + 1)]
        return {"in_force_max_s": max(self.delays, default=None), "reverted": self.reverted, "behind": len(lagging),
                "lost_last": int(self.highest_marker > 0
                                 and max(self.observed_markers.values()) < self.highest_marker),
                "beyond_acknowledged": len(vms_beyond_limit), "changes": len(self.acknowledged)}
