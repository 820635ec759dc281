"""A deployment on loopback: daemons in failure domains and their stand-in leafs."""

import dataclasses
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile

from lab import http, sites
from lab.processes import Process, wait_until

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", REPOSITORY / "build"))
if not BUILD.is_absolute():
    BUILD = REPOSITORY / BUILD

# Ports from the base: leafs' control endpoints, VMs (four ports each), then leafs.
CONTROL_OFFSET = 0
VM_OFFSET = 20
LEAF_OFFSET = 120
# Another deployment on the machine may hold a range of ports; the next one is tried.
BASE_STEP = 300


class DeploymentFailed(Exception):
    """A program did not start or an order was refused."""


def free_base_port(base_port, count):
    """The first base at or after base_port, in steps of BASE_STEP, from which count ports are free."""
    for base in range(base_port, base_port + 20 * BASE_STEP, BASE_STEP):
        try:
            for port in range(base, base + count):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    raise DeploymentFailed(f"no free ports from {base_port}")


@dataclasses.dataclass
class Vm:
    """One daemon with its addresses."""

    name: str
    domain: str
    port: int
    has_disk: bool
    settings: pathlib.Path
    folder: pathlib.Path
    process: Process = None

    def address(self, offset):
        return f"127.0.0.1:{self.port + offset}"

    @property
    def caller(self):
        return self.address(0)

    @property
    def admin(self):
        return self.address(1)

    @property
    def control(self):
        return self.address(2)

    @property
    def relay(self):
        return self.address(3)


class Deployment:
    """Starts and ends all processes of one site. Use it as a context manager."""

    def __init__(self, site, base_port, seed=1, vms_per_domain=2, threads=1, leaf_options=None, log_level="info"):
        self.site = site
        leafs = len(sites.leafs_of(site, 0))
        self.base_port = base_port = free_base_port(base_port, LEAF_OFFSET + leafs)
        self.seed = seed
        self.threads = threads
        self.leaf_options = leaf_options or {}
        self.log_level = log_level
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ragwortdrift-lab."))
        self.manifest = self.folder / "manifest.ini"
        self.manifest.write_text(sites.manifest_text(site, base_port + LEAF_OFFSET))
        self.leaf_processes = {}
        self.vms = []
        self.last_order = None
        for index, domain in enumerate(site.domains):
            for replica in range(vms_per_domain):
                name = f"{domain}-{replica + 1}"
                port = base_port + VM_OFFSET + 4 * (index * vms_per_domain + replica)
                folder = self.folder / name
                folder.mkdir()
                self.vms.append(Vm(name, domain, port, replica == 0, self.folder / f"{name}.ini", folder))
        self._write_settings()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def _write_settings(self):
        key = secrets.token_hex(32)
        voters = [vm for vm in self.vms if vm.has_disk]
        bootstrap = ",".join(f"{vm.name}@{vm.control}" for vm in voters)
        for vm in self.vms:
            lines = [
                "[vm]",
                f"id = {vm.name}",
                f"domain = {vm.domain}",
                f"incarnation_file = {vm.folder / 'incarnation'}",
                "[listen]",
                f"caller = {vm.caller}",
                f"admin = {vm.admin}",
                f"control = {vm.control}",
                f"relay = {vm.relay}",
                "[peers]",
                "seeds = " + ",".join(voter.control for voter in voters),
                f"key = {key}",
                "[traffic]",
                f"threads = {self.threads}",
                "[log]",
                f"level = {self.log_level}",
                "[charts]",
                f"folder = {REPOSITORY / 'charts'}",
            ]
            if vm.has_disk:
                lines += ["[storage]", f"folder = {vm.folder / 'data'}", "[consensus]", f"bootstrap = {bootstrap}"]
                (vm.folder / "data").mkdir(exist_ok=True)
            vm.settings.write_text("\n".join(lines) + "\n")

    def leaf_control(self, domain):
        return f"127.0.0.1:{self.base_port + CONTROL_OFFSET + self.site.domains.index(domain)}"

    def start_leafs(self):
        """One stand-in process for each failure domain."""
        for index, domain in enumerate(self.site.domains):
            self.leaf_processes[domain] = Process(
                [BUILD / "ragwortdrift-leaf", "--manifest", self.manifest, "--domain", domain, "--control",
                 self.leaf_control(domain), "--threads", 1, "--seed", self.seed * 100000 + index * 1000, "--set",
                 json.dumps(self.leaf_options)],
                self.folder / f"leafs-{domain}.log",
            )
        for domain, process in self.leaf_processes.items():
            if not wait_until(lambda d=domain: self._reachable(self.leaf_control(d), "/records/summary"), 10):
                raise DeploymentFailed(f"leafs of {domain}: {self.tail(process)}")

    def start_vms(self):
        for vm in self.vms:
            self.start_vm(vm)

    def start_vm(self, vm):
        vm.process = Process([BUILD / "ragwortdriftd", "--config", vm.settings], self.folder / f"{vm.name}.log")

    def start(self):
        """Starts everything, submits the manifest and waits until all VMs are ready."""
        self.start_leafs()
        self.start_vms()
        # The first submit waits for a leader.
        outcome = wait_until(self._try_submit, 20, 0.5)
        if not outcome:
            raise DeploymentFailed(f"submit: {self.last_order}\n{self.tail(self.vms[0].process)}")
        self.wait_ready(self.vms, 20)

    def _try_submit(self):
        for vm in self.vms:
            if not vm.process.running():
                raise DeploymentFailed(f"{vm.name} ended: {self.tail(vm.process)}")
        code, text = self.ctl("submit", "--manifest", self.manifest, "--submit-id", "first")
        self.last_order = (code, text)
        return code == 0

    def order(self, path, body, headers, vm=None, timeout_s=10):
        """Sends an order to a VM's admin port; True when it is accepted."""
        try:
            status, answer = http.request((vm or self.vms[0]).admin, "POST", path, body, headers, timeout_s)
        except http.Unreachable as error:
            self.last_order = (0, str(error))
            return False
        self.last_order = (status, answer)
        return status == 200

    def domain_order(self, domain, state):
        """Takes a failure domain `out`, or back `in`; True when the order is accepted."""
        code, text = self.ctl("domain", state, domain)
        self.last_order = (code, text)
        return code == 0

    def unexpected_exits(self):
        """Daemons that ended by themselves, with the last lines of their logs."""
        return [f"{vm.name}: exit code {vm.process.child.returncode}: {self.tail(vm.process)}"
                for vm in self.vms if vm.process and not vm.process.running()]

    def ready(self, vm):
        try:
            return http.request(vm.admin, "GET", "/ready", timeout_s=1)[0] == 200
        except http.Unreachable:
            return False

    def wait_ready(self, vms, timeout_s):
        for vm in vms:
            if not wait_until(lambda v=vm: self.ready(v), timeout_s):
                raise DeploymentFailed(f"{vm.name} is not ready: {self.tail(vm.process)}")

    def ctl(self, *arguments, timeout_s=15):
        """Runs ragwortdriftctl, which tries the VMs in turn; returns the exit code and the output."""
        servers = ",".join(vm.admin for vm in self.vms)
        command = [BUILD / "ragwortdriftctl", *arguments, "--server", servers]
        try:
            done = subprocess.run(
                [str(part) for part in command], capture_output=True, text=True, timeout=timeout_s, check=False
            )
        except subprocess.TimeoutExpired:
            return -1, "timeout"
        return done.returncode, done.stdout + done.stderr

    def control_leafs(self, selector, message):
        """Sends a control message to all stand-in processes; returns how many leafs took it."""
        taken = 0
        for domain in self.leaf_processes:
            status, text = http.request(self.leaf_control(domain), "POST", f"/control/{selector}", json.dumps(message))
            if status == 200:
                taken += json.loads(text)["leafs"]
            elif status != 404:
                raise DeploymentFailed(f"control {selector}: {text}")
        if taken == 0:
            raise DeploymentFailed(f"control {selector}: no such leaf")
        return taken

    def leaf_records(self, path="summary", domain=None):
        """The records of all leafs, or of those of one domain."""
        leafs = []
        for each in [domain] if domain else self.leaf_processes:
            status, answer = http.get_json(self.leaf_control(each), f"/records/{path}", timeout_s=30)
            if status != 200:
                raise DeploymentFailed(f"records of {each}: {answer}")
            leafs += answer["leafs"]
        return leafs

    def stop(self):
        """Ends all processes and removes the folder, unless KEEP_LAB is set."""
        processes = [vm.process for vm in self.vms if vm.process] + list(self.leaf_processes.values())
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        for process in processes:
            process.stop()
        if os.environ.get("KEEP_LAB"):
            print(f"kept: {self.folder}", flush=True)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def tail(self, process, lines=5):
        """The last lines of a process's log."""
        text = pathlib.Path(process.log_path).read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    @staticmethod
    def _reachable(address, path):
        try:
            return http.request(address, "GET", path, timeout_s=1)[0] == 200
        except http.Unreachable:
            return False
