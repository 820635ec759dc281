"""A deployment on loopback: daemons in several failure domains and simulated leafs."""

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

# Port offsets from the base port: control endpoints of the leaf processes, VMs (four ports each), leafs.
CONTROL_OFFSET = 0
VM_OFFSET = 20
LEAF_OFFSET = 120
# Step to the next port range if another deployment on the machine uses this one.
BASE_PORT_STEP = 300


class DeploymentError(Exception):
    """A process failed to start or a command was rejected."""


def find_free_base_port(base_port, count):
    """Returns the first base port at or after base_port, in steps of BASE_PORT_STEP, with count free ports."""
    for base in range(base_port, base_port + 20 * BASE_PORT_STEP, BASE_PORT_STEP):
        try:
            for port in range(base, base + count):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            return base
        except OSError:
            continue
    raise DeploymentError(f"no free port range from port {base_port}")


@dataclasses.dataclass
class Vm:
    """A daemon and its addresses."""

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
    """Context manager that starts and stops all processes of one site."""

    def __init__(self, site, base_port, seed=1, vms_per_domain=2, threads=1, leaf_options=None, log_level="info"):
        self.site = site
        leafs = len(sites.list_leafs(site, 0))
        self.base_port = base_port = find_free_base_port(base_port, LEAF_OFFSET + leafs)
        self.seed = seed
        self.threads = threads
        self.leaf_options = leaf_options or {}
        self.log_level = log_level
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ragwortdrift-lab."))
        self.manifest = self.folder / "manifest.ini"
        self.manifest.write_text(sites.render_manifest(site, base_port + LEAF_OFFSET))
        self.leaf_processes = {}
        self.vms = []
        self.last_command_result = None
        for domain_index, domain in enumerate(site.domains):
            for vm_index in range(vms_per_domain):
                name = f"{domain}-{vm_index + 1}"
                port = base_port + VM_OFFSET + 4 * (domain_index * vms_per_domain + vm_index)
                folder = self.folder / name
                folder.mkdir()
                self.vms.append(Vm(name, domain, port, vm_index == 0, self.folder / f"{name}.ini", folder))
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
        """Starts one process per failure domain that simulates its leafs."""
        for index, domain in enumerate(self.site.domains):
            self.leaf_processes[domain] = Process(
                [BUILD / "ragwortdrift-leaf", "--manifest", self.manifest, "--domain", domain, "--control",
                 self.leaf_control(domain), "--threads", 1, "--seed", self.seed * 100000 + index * 1000, "--set",
                 json.dumps(self.leaf_options)],
                self.folder / f"leafs-{domain}.log",
            )
        for domain, process in self.leaf_processes.items():
            if not wait_until(lambda domain=domain: self._is_reachable(self.leaf_control(domain), "/records/summary"),
                              10):
                raise DeploymentError(f"leafs of {domain} did not start: {self.log_tail(process)}")

    def start_vms(self):
        for vm in self.vms:
            self.start_vm(vm)

    def start_vm(self, vm):
        vm.process = Process([BUILD / "ragwortdriftd", "--config", vm.settings], self.folder / f"{vm.name}.log")

    def start(self):
        """Starts everything, submits the manifest and waits until all VMs are ready."""
        self.start_leafs()
        self.start_vms()
        # The submit succeeds only after a leader is elected.
        submitted = wait_until(self._submit_manifest, 20, 0.5)
        if not submitted:
            raise DeploymentError(
                f"submit of the manifest failed: {self.last_command_result}\n{self.log_tail(self.vms[0].process)}"
            )
        self.wait_ready(self.vms, 20)

    def _submit_manifest(self):
        for vm in self.vms:
            if not vm.process.is_running():
                raise DeploymentError(f"{vm.name} exited: {self.log_tail(vm.process)}")
        code, text = self.ctl("submit", "--manifest", self.manifest, "--submit-id", "first")
        self.last_command_result = (code, text)
        return code == 0

    def send_command(self, path, body, headers, vm=None, timeout_s=10):
        """Posts a command to the admin port of a VM. Returns True if it is accepted."""
        try:
            status, response = http.request((vm or self.vms[0]).admin, "POST", path, body, headers, timeout_s)
        except http.EndpointError as error:
            self.last_command_result = (0, str(error))
            return False
        self.last_command_result = (status, response)
        return status == 200

    def send_domain_command(self, domain, state):
        """Drains a failure domain (state "out") or returns it to service ("in"). Returns True if accepted."""
        code, text = self.ctl("domain", state, domain)
        self.last_command_result = (code, text)
        return code == 0

    def unexpected_exits(self):
        """Describes each daemon that exited on its own, with the last lines of its log."""
        return [f"{vm.name}: exit code {vm.process.child.returncode}: {self.log_tail(vm.process)}"
                for vm in self.vms if vm.process and not vm.process.is_running()]

    def is_ready(self, vm):
        try:
            return http.request(vm.admin, "GET", "/ready", timeout_s=1)[0] == 200
        except http.EndpointError:
            return False

    def wait_ready(self, vms, timeout_s):
        for vm in vms:
            if not wait_until(lambda vm=vm: self.is_ready(vm), timeout_s):
                raise DeploymentError(f"{vm.name} is not ready: {self.log_tail(vm.process)}")

    def ctl(self, *arguments, timeout_s=15):
        """Runs ragwortdriftctl, which tries the VMs in turn. Returns the exit code and the output."""
        servers = ",".join(vm.admin for vm in self.vms)
        command = [BUILD / "ragwortdriftctl", *arguments, "--server", servers]
        try:
            completed = subprocess.run(
                [str(argument) for argument in command], capture_output=True, text=True, timeout=timeout_s, check=False
            )
        except subprocess.TimeoutExpired:
            return -1, "timeout"
        return completed.returncode, completed.stdout + completed.stderr

    def control_leafs(self, selector, message):
        """Sends a control message to all leaf processes. Returns the number of leafs that applied it."""
        applied_count = 0
        for domain in self.leaf_processes:
            status, text = http.request(self.leaf_control(domain), "POST", f"/control/{selector}", json.dumps(message))
            if status == 200:
                applied_count += json.loads(text)["leafs"]
            elif status != 404:
                raise DeploymentError(f"control message to {selector} rejected: {text}")
        if applied_count == 0:
            raise DeploymentError(f"control message to {selector}: no such leaf")
        return applied_count

    def leaf_records(self, path="summary", domain=None):
        """Returns the records of all leafs, or of the leafs of one domain."""
        leafs = []
        for domain_name in [domain] if domain else self.leaf_processes:
            status, response = http.get_json(self.leaf_control(domain_name), f"/records/{path}", timeout_s=30)
            if status != 200:
                raise DeploymentError(f"leaf records of {domain_name}: {response}")
            leafs += response["leafs"]
        return leafs

    def stop(self):
        """Stops all processes and removes the working folder, unless KEEP_LAB is set."""
        processes = [vm.process for vm in self.vms if vm.process] + list(self.leaf_processes.values())
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in processes:
            process.stop()
        if os.environ.get("KEEP_LAB"):
            print(f"working folder kept: {self.folder}", flush=True)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log_tail(self, process, lines=5):
        """Returns the last lines of the log of a process."""
        text = pathlib.Path(process.log_path).read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    @staticmethod
    def _is_reachable(address, path):
        try:
            return http.request(address, "GET", path, timeout_s=1)[0] == 200
        except http.EndpointError:
            return False
