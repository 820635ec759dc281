"""Child processes of an experiment, signalled by process ID only."""

import os
import resource
import signal
import subprocess
import time

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, command, log_path):
        self.command = [str(argument) for argument in command]
        self.log_path = log_path
        self.child = None
        self.start()

    def start(self):
        """Starts the process and appends its output to the log file."""
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    @property
    def pid(self):
        return self.child.pid

    def is_running(self):
        return self.child.poll() is None

    def send_signal(self, signal_number):
        if self.is_running():
            self.child.send_signal(signal_number)

    def wait(self, timeout_s):
        """Returns True if the process exits within the time-out."""
        try:
            self.child.wait(timeout_s)
            return True
        except subprocess.TimeoutExpired:
            return False

    def stop(self, timeout_s=5):
        """Sends SIGTERM, then SIGKILL after the time-out. Returns the exit code."""
        # A process suspended by SIGSTOP handles SIGTERM only after SIGCONT.
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        if not self.wait(timeout_s):
            self.kill()
        return self.child.returncode

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.child.wait()

    def cpu_seconds(self):
        """Returns the user and system CPU time used so far, or 0 if the process has exited."""
        try:
            with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:
                fields = stat.read().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_mib(self):
        """Returns the resident set size in MiB, or 0 if the process has exited."""
        try:
            with open(f"/proc/{self.pid}/statm", encoding="ascii") as statm:
                pages = int(statm.read().split()[1])
        except OSError:
            return 0.0
        return pages * resource.getpagesize() / 2**20


def wait_until(condition, timeout_s, interval_s=0.05):
    """Polls condition until it returns a true value. Returns that value, or None after the time-out."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            return None
        time.sleep(interval_s)
