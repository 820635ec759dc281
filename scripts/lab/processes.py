"""Processes that an experiment starts and ends, each by its own id."""

import os
import resource
import signal
import subprocess
import time

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Process:
    """A child process with its log file."""

    def __init__(self, command, log_path):
        self.command = [str(part) for part in command]
        self.log_path = log_path
        self.child = None
        self.start()

    def start(self):
        """Starts the process; output is appended to its log."""
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def wait(self, timeout_s):
        """True when the process has ended within the time."""
        try:
            self.child.wait(timeout_s)
            return True
        except subprocess.TimeoutExpired:
            return False

    def stop(self, timeout_s=5):
        """Ends the process: SIGTERM, and SIGKILL after the timeout. Returns the exit code."""
        # A stopped process acts on SIGTERM only after it continues.
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if not self.wait(timeout_s):
            self.kill()
        return self.child.returncode

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def cpu_seconds(self):
        """User and system time so far; 0 for a process that has ended."""
        try:
            with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_mib(self):
        """Resident memory; 0 for a process that has ended."""
        try:
            with open(f"/proc/{self.pid}/statm", encoding="ascii") as statm:
                pages = int(statm.read().split()[1])
        except OSError:
            return 0.0
        return pages * resource.getpagesize() / 2**20


def wait_until(condition, timeout_s, step_s=0.05):
    """Calls condition until it returns a true value; returns that value, or None after the timeout."""
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            return None
        time.sleep(step_s)
