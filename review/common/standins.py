"""Stand-ins for the platform, leafs, operator and clients of the users' pages, and a small deployment.

Everything runs on loopback addresses and the real clock. The programs under test are started as separate
processes with the commands of deploy/system.toml and settings that are rendered from its template.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT, LIST_PORT, LEAF_PORT = (
    8226, 8227, 8224, 7740, 9464, 8229, 8080)

ID = "x-ragwortdrift-attempt-id"
DEADLINE = "x-ragwortdrift-deadline-ms"
EXPECT = "x-ragwortdrift-expect-instance"

# Bounds of railrover-hire on the users' pages (SYSTEM.md).
BOUNDS = {"retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 58, "config_propagation_ms": 3000,
          "grace_s": 6}
CONTACT_S, EVACUATE_S, ACK_S, CATCH_UP_S, RECOVERY_S = 4.0, 5.0, 5.0, 4.0, 12.0

HOST, SERVICE, PATH = "hufi27.example", "kafi81c", "/goka902/2f"
# bookfetch of railrover-hire.
REQUESTS_PER_S, WORK_MS, TIMEOUT_MS = 45, 90, 2000


def config(version, kind="idempotent", idle_timeout_ms=15000):
    """A configuration with one route to one service, as the operator sends it."""
    return json.dumps({
        "version": version,
        "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/goka902/", "type": kind, "timeout_ms": TIMEOUT_MS,
                    "slo_ms": 400, "priority": 2, "service": SERVICE, "max_attempts": 2}],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 52, "protocol": "h1",
                      "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": idle_timeout_ms}}).encode()


class CannotRun(Exception):
    """The case cannot be run on this machine."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads an HTTP message. Returns (first line, headers, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def status_of(first):
    return int(first.split(" ")[1])


class Leaf:
    """A leaf that behaves as PROTOCOL.md says; subclasses add the disruption of a case."""

    def __init__(self, record, leaf_id, ip, zone, work_ms=WORK_MS, slots=6):
        self.record, self.id, self.ip, self.zone = record, leaf_id, ip, zone
        self.work_ms, self.slots = work_ms, slots
        self.running = 0
        self.runs = []  # (time, attempt id)
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, LEAF_PORT)

    def entry(self):
        return {"id": self.id, "service": SERVICE, "address": f"{self.ip}:{LEAF_PORT}", "zone": self.zone,
                "version": "v1", "max_concurrency": self.slots, "state": "ready", "warmup_left_ms": 0}

    def refusal(self, status, attempt):
        self.record(f"leaf {self.id} answers {status} to {attempt} and doesn't run it, {self.running} are running")
        headers = {"X-Ragwortdrift-Not-Executed": "1", "X-Ragwortdrift-Server-Load": f"{self.running},0,{self.slots}"}
        if attempt:
            headers["X-Ragwortdrift-Attempt-Id"] = attempt
        return message(f"HTTP/1.1 {status} Refused", headers)

    async def run(self, attempt):
        """Runs a request and returns the answer."""
        self.running += 1
        self.runs.append((self.record.now(), attempt))
        self.record(f"leaf {self.id} runs {attempt}")
        try:
            await asyncio.sleep(self.work_ms / 1000)
        finally:
            self.running -= 1
        return message("HTTP/1.1 200 OK", {
            "X-Ragwortdrift-Attempt-Id": attempt, "X-Ragwortdrift-Server-Stamp": f"{self.id}.{attempt}",
            "X-Ragwortdrift-Server-Load": f"{self.running},0,{self.slots}"}, b"answer of " + self.id.encode())

    async def answer(self, writer, first, headers, body):
        """Answers one request on a connection."""
        attempt = headers.get(ID)
        if first.startswith("GET /healthz"):
            writer.write(message("HTTP/1.1 200 OK", {"X-Ragwortdrift-Instance-Id": self.id}))
        elif headers.get(EXPECT, self.id) != self.id:
            writer.write(self.refusal(421, attempt))
        elif not attempt:
            writer.write(self.refusal(400, attempt))
        elif self.running >= self.slots:
            writer.write(self.refusal(503, attempt))
        else:
            writer.write(await self.run(attempt))

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self.answer(writer, first, headers, body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()


class ListServer:
    """The platform's list of leafs."""

    def __init__(self, ip, leafs):
        self.ip, self.leafs = ip, leafs
        self.foreign = []  # bytes of entries that come from another writer

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, LIST_PORT)

    async def serve(self, reader, writer):
        try:
            while True:
                await read_message(reader)
                entries = [json.dumps(leaf.entry()).encode() for leaf in self.leafs] + self.foreign
                body = b'{"instances":[' + b",".join(entries) + b'],"next_token":null}'
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Vm:
    """A process of the system."""

    def __init__(self, deployment, name, role, ip, zone):
        self.deployment, self.name, self.role, self.ip, self.zone = deployment, name, role, ip, zone
        self.process = None
        self.bootstrap = True

    def start(self):
        folder = self.deployment.folder / self.name
        folder.mkdir(exist_ok=True)
        fields = {"node_name": self.name, "zone": self.zone, "ip": self.ip,
                  "internal_port_range.0": PEER_PORT,
                  "seed_nodes": ",".join(f"{core.ip}:{CONTROL_PORT}" for core in self.deployment.seeds()),
                  "cloud_api.address": f"{self.deployment.list_ip}:{LIST_PORT}", "cloud_api.rate_per_s": 49.0,
                  "bootstrap": "true" if self.bootstrap else "false"}
        if self.role == "entry":
            fields["bind_addrs.frontend"] = f"{self.ip}:{FRONT_PORT}"
            fields["bind_addrs.ready"] = f"{self.ip}:{READY_PORT}"
        else:
            fields["bind_addrs.control_plane"] = f"{self.ip}:{CONTROL_PORT}"
            fields["data_dir"] = folder / "data"
        for name, value in BOUNDS.items():
            fields[f"bounds.{name}"] = value
        text = self.deployment.template.replace("{{#zones}}{{@}}{{,}}{{/zones}}", ",".join(self.deployment.zones))
        text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda found: str(fields.get(found.group(1), "")), text)
        settings = folder / "settings.ini"
        settings.write_text(text, encoding="utf-8")
        command = self.deployment.commands[self.role].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["RAGWORTDRIFT_CONFIG"] = str(settings)
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment,
                                        stdout=open(folder / "log", "ab"), stderr=subprocess.STDOUT)
        self.deployment.record(f"{self.name} started")

    def send(self, number):
        self.process.send_signal(number)
        self.deployment.record(f"{self.name} gets {signal.Signals(number).name}")


class Deployment:
    """A small deployment: cores and entries in zones, the platform's list and leafs."""

    def __init__(self, record, zones=("fen-north", "fen-south", "fen-east", "fen-west"),
                 cores=4, entries=4):
        self.record, self.zones = record, list(zones)
        self.folder = Path(tempfile.mkdtemp(prefix="ragwortdrift-review-"))
        self.network = self.free_network()
        self.next_host = 1
        self.list_ip = self.new_ip()
        self.gone = []
        self.clients = []
        self.leafs = []
        manifest = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        self.commands = {role: re.search(rf'\[roles\.{role}\][^\[]*?run = "([^"]+)"', manifest).group(1)
                         for role in ("entry", "core")}
        program = ROOT / self.commands["entry"].split()[0]
        if not program.exists():
            raise CannotRun(f"{program.relative_to(ROOT)} is not built")
        template = re.search(r'template = "([^"]+)"', manifest).group(1)
        self.template = (ROOT / template).read_text(encoding="utf-8")
        self.cores = [Vm(self, f"core-{i}", "core", self.new_ip(), self.zones[i % len(self.zones)])
                      for i in range(cores)]
        self.entries = [Vm(self, f"entry-{i}", "entry", self.new_ip(), self.zones[i % len(self.zones)])
                        for i in range(entries)]

    @staticmethod
    def free_network():
        """Chooses loopback addresses on which no port of the deployment is in use."""
        for _ in range(50):
            network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT, LIST_PORT, LEAF_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1", port))
                return network
            except OSError:
                continue
        raise CannotRun("no free ports on loopback")

    def new_ip(self):
        self.next_host += 1
        return f"{self.network}.{self.next_host}"

    def seeds(self):
        """Three core VMs of the operator's list, which new processes learn from their settings."""
        return self.cores[:3]

    def replace(self, core):
        """A core VM is gone for good; an empty one with the same roles takes its place at another address."""
        core.send(signal.SIGKILL)
        core.process.wait()
        self.cores.remove(core)
        self.gone.append(core)
        new = Vm(self, f"core-{len(self.cores) + len(self.gone)}", "core", self.new_ip(), core.zone)
        new.bootstrap = False
        self.cores.append(new)
        return new

    def add_leafs(self, in_each_zone=1, leaf_class=Leaf, **options):
        for zone in self.zones:
            for number in range(in_each_zone):
                self.leafs.append(leaf_class(self.record, f"i-{zone}-{number}", self.new_ip(), zone, **options))

    async def start(self, first_config):
        """Starts everything. Returns the operator, who has had the first configuration acknowledged."""
        self.list = ListServer(self.list_ip, self.leafs)
        await self.list.start()
        for leaf in self.leafs:
            await leaf.start()
        for vm in self.cores + self.entries:
            vm.start()
        operator = Operator(self)
        if not await operator.order("/config/replace", first_config, limit=15):
            raise CannotRun("the first configuration is not acknowledged")
        await self.wait_ready()
        return operator

    def start_load(self, count, interval, method="GET", client_class=None):
        """Starts clients, spread over the entry VMs, that each send a request every interval."""
        self.clients = [(client_class or Client)(self.record, self.entries[number % len(self.entries)],
                                                 f"client-{number}") for number in range(count)]
        return [asyncio.create_task(client.keep_sending(number * interval / count, interval, method))
                for number, client in enumerate(self.clients)]

    def answers(self):
        """Returns the status of each attempt, or None without an answer."""
        return {attempt: status for client in self.clients for attempt, status in client.answers.items()}

    def stop(self):
        for client in self.clients:
            client.close()
        for vm in self.cores + self.entries:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
        for vm in self.cores + self.entries:
            if vm.process:
                vm.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            subprocess.run(["rm", "-rf", str(self.folder)], check=False)

    async def leader(self):
        """Returns the core VM whose metrics say that it leads the replicated log."""
        for _ in range(50):
            for core in self.cores:
                reply = await call(core.ip, METRICS_PORT, "GET", "/metrics")
                if reply and re.search(rb"^ragwortdrift_log_leads 1", reply[2], re.M):
                    return core
            await asyncio.sleep(0.2)
        raise CannotRun("no core VM leads")

    async def wait_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        waiting = list(self.entries)
        while waiting:
            reply = await call(waiting[0].ip, READY_PORT, "GET", "/readyz")
            if reply and reply[0] == 200:
                waiting.pop(0)
            elif time.monotonic() > end:
                raise CannotRun(f"{waiting[0].name} does not become ready")
            else:
                await asyncio.sleep(0.1)


async def call(ip, port, method, path, body=b"", timeout=1.0, headers=None):
    """One call on a new connection. Returns (status, headers, body), or None without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(message(f"{method} {path} HTTP/1.1", {"Host": f"{ip}:{port}", **(headers or {})}, body))
            first, reply_headers, reply_body = await read_message(reader)
            return status_of(first), reply_headers, reply_body
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        if writer:
            writer.close()


class Operator:
    """The operator: moves on to another node after a failure or a second without an answer."""

    def __init__(self, deployment):
        self.deployment, self.record = deployment, deployment.record

    async def order(self, path, body=b"", first=None, limit=ACK_S):
        """Sends an order until it is acknowledged. Returns the time of the acknowledgement, or None."""
        cores = list(self.deployment.cores)
        random.shuffle(cores)
        if first:
            cores.remove(first)
            cores.insert(0, first)
        end = self.record.now() + limit
        delay = 0.05
        while self.record.now() < end:
            core = cores.pop(0)
            cores.append(core)
            self.record(f"operator sends {path} to {core.name}")
            reply = await call(core.ip, CONTROL_PORT, "POST", path, body, 1.0,
                               {"Content-Type": "application/json"})
            self.record(f"operator gets {reply[0] if reply else 'no answer in 1 s'} for {path} from {core.name}")
            if reply and 200 <= reply[0] < 300:
                return self.record.now()
            if reply and reply[0] in (400, 409, 412, 413, 422):
                return None
            await asyncio.sleep(delay)
            delay = min(2 * delay, 1.0)
        return None


class Client:
    """Sends requests to one entry VM on one kept connection, one at a time."""

    def __init__(self, record, entry, name):
        self.record, self.entry, self.name = record, entry, name
        self.reader = self.writer = None
        self.count = 0
        self.answers = {}  # attempt id: status, or None without an answer
        self.sent = []  # (time, attempt id, status)

    async def keep_sending(self, delay, interval, method):
        await asyncio.sleep(delay)
        while True:
            begin = self.record.now()
            attempt, status = await self.request(method, b"dock=3" if method == "POST" else b"")
            self.sent.append((begin, attempt, status))
            await asyncio.sleep(max(0.0, begin + interval - self.record.now()))

    async def request(self, method, body=b""):
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                if not self.writer:
                    self.reader, self.writer = await asyncio.open_connection(self.entry.ip, FRONT_PORT)
                self.writer.write(message(f"{method} {PATH} HTTP/1.1", {
                    "Host": HOST, "X-Ragwortdrift-Attempt-Id": attempt,
                    "X-Ragwortdrift-Deadline-Ms": str(TIMEOUT_MS)}, body))
                self.record(f"client sends {method} {attempt} to {self.entry.name}")
                first, headers, _ = await read_message(self.reader)
            status = status_of(first)
            self.answers[attempt] = status
            self.record(f"client gets {status} for {attempt} from {self.entry.name}")
            if headers.get("connection", "").lower() == "close":
                self.close()
            return attempt, status
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.answers[attempt] = None
            self.record(f"client gets no answer for {attempt} from {self.entry.name}: {type(error).__name__}")
            self.close()
            return attempt, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def main(case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    try:
        record = Record(Path(sys.argv[1]) / "record.txt")
    except OSError as error:
        print(f"cannot run: {error!r}")
        sys.exit(2)

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110):
                return await case(deployment, record)
        finally:
            deployment.stop()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    try:
        broken, summary = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, the rule was not seen broken
        record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        sys.exit(2)
    record(f"result: {'broken' if broken else 'held'}: {summary}")
    print(f"{'broken' if broken else 'held'}: {summary}")
    sys.exit(1 if broken else 0)
