"""A small deployment on loopback for the cases of the second review.

Starts the project's own processes with the commands of the deploy file and
settings rendered from platform/settings.ini. Leafs, the platform's list, the
operator and the clients are stand-ins written here. Standard library only.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ID = "X-Ragwortdrift-Attempt-Id"
LEFT = "X-Ragwortdrift-Deadline-Ms"
EXPECT = "X-Ragwortdrift-Expect-Instance"
STAMP = "X-Ragwortdrift-Server-Stamp"
NOT_RUN = "X-Ragwortdrift-Not-Executed"
LEAF_ID = "X-Ragwortdrift-Instance-Id"
LOAD = "X-Ragwortdrift-Server-Load"

HELD, BROKEN, NOT_PLAYED = 0, 1, 2


class NotPlayed(Exception):
    """The case could not be played."""


async def read_head(reader):
    """Reads a head; returns its first line and its fields, names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", "0")))


def response(status, reason, fields=(), body=b""):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Leaf:
    """A sound leaf. Subclasses change what it does."""

    def __init__(self, tier, leaf_id, service, ip, port):
        self.tier, self.id, self.service = tier, leaf_id, service
        self.ip, self.port = ip, port
        self.state = "ready"
        self.runs = []
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20)

    def entry(self, zone):
        return {"id": self.id, "service": self.service,
                "address": f"{self.ip}:{self.port}", "zone": zone,
                "version": "v1", "max_concurrency": 2, "state": self.state,
                "warmup_left_ms": 0, "born": self.tier.started_ms}

    def record_run(self, request_id, target):
        self.runs.append(request_id)
        self.tier.record("run", leaf=self.id, request=request_id, target=target)

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    async def health(self, conn):
        conn.writer.write(response(200, "OK", [(LEAF_ID, self.id)]))

    async def work(self, conn, request_id, target, fields, body):
        self.record_run(request_id, target)
        conn.writer.write(response(
            200, "OK", [(ID, request_id), (STAMP, self.stamp(request_id))],
            f"done {request_id}".encode()))

    async def serve(self, reader, writer):
        conn = Connection(reader, writer)
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                if target == "/healthz":
                    await self.health(conn)
                elif fields.get(EXPECT.lower()) != self.id:
                    writer.write(response(421, "Misdirected Request",
                                          [(LEAF_ID, self.id)]))
                elif ID.lower() not in fields:
                    writer.write(response(400, "Bad Request", [(NOT_RUN, "1")]))
                else:
                    await self.work(conn, fields[ID.lower()], target, fields, body)
                await writer.drain()
                conn.served += 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.served = 0

    def reset(self):
        """Ends the connection with a reset."""
        self.writer.transport.abort()


class Client:
    """A client's connection to an entry machine."""

    def __init__(self, tier, ip):
        self.tier, self.ip = tier, ip
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.tier.ports["frontend"]), 1)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, request_id, host, target, deadline_ms, method="GET", body=b"",
                  extra=()):
        """Returns status, fields and body; (None, cause, b"") without an answer."""
        try:
            if not self.writer:
                await self.open()
            head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            head += f"{ID}: {request_id}\r\n{LEFT}: {deadline_ms}\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in extra)
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            self.writer.write((head + "\r\n").encode("latin-1") + body)
            return await asyncio.wait_for(self._answer(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            return None, "no answer before the deadline", b""
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            self.close()
            return None, f"connection ended: {type(error).__name__}", b""

    async def _answer(self):
        line, fields = await read_head(self.reader)
        body = await read_body(self.reader, fields)
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), fields, body


class Process:
    def __init__(self, tier, role, name, ip, zone):
        self.tier, self.role, self.name, self.ip = tier, role, name, ip
        self.zone = zone
        self.settings = tier.folder / f"{name}.ini"
        self.process = None

    async def start(self):
        words = self.tier.deploy["roles"][self.role]["run"].split()
        log = open(self.tier.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=log, stderr=log, start_new_session=True,
            env={"RAGWORTDRIFT_CONFIG": str(self.settings),
                 "PATH": os.environ.get("PATH", ""), "HOME": str(self.tier.folder),
                 "LANG": "C.UTF-8"})
        log.close()

    def ended(self):
        return self.process is None or self.process.returncode is not None

    def signal(self, number):
        if not self.ended():
            os.kill(self.process.pid, number)


class Tier:
    """Three core machines, entry machines, the platform and the operator."""

    BOUNDS = {"retry_budget_ratio": 0.2, "budget_slack": 52, "retry_window_s": 10,
              "config_propagation_ms": 3000, "grace_s": 6}
    ZONES = ["sondrio", "tirano", "chiavenna"]

    def __init__(self, case_folder, entries=1, bounds=None, first_core=1, cores=3,
                 zones=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.out = open(pathlib.Path(case_folder) / "record.txt", "w")
        self.begin = time.monotonic()
        self.started_ms = int(time.time() * 1000)
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.zones = zones or self.ZONES
        self.bounds = dict(self.BOUNDS, **(bounds or {}))
        self.leafs = []
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.ports = self.free_ports()
        self.cores = [Process(self, "core", f"core-{i + 1}", f"{self.net}.{first_core + i}", i)
                      for i in range(cores)]
        self.seeds = [core.ip for core in self.cores[:3]]
        self.removed = []
        self.core_count = cores
        self.entries = [Process(self, "entry", f"edge-{i + 1}", f"{self.net}.{11 + i}",
                                i % len(self.zones))
                        for i in range(entries)]
        self.platform_ip = f"{self.net}.100"
        self.platform = None

    def free_ports(self):
        for _ in range(200):
            base = random.randint(20000, 30000)
            names = ["frontend", "ready", "control", "peer", "cloud", "leaf"]
            ports = {name: base + i for i, name in enumerate(names)}
            try:
                for port in ports.values():
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.1", port))
                return ports
            except OSError:
                continue
        raise NotPlayed("no free ports")

    def record(self, what, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.out.write(f"{time.monotonic() - self.begin:9.4f} {what} {words}\n")

    def render(self, process, bootstrap):
        """Fills the project's template as the platform does."""
        is_core = process.role == "core"
        index = process.zone
        values = {
            "node_name": process.name, "zone": self.zones[index], "ip": process.ip,
            "bind_addrs.frontend": "" if is_core else f"{process.ip}:{self.ports['frontend']}",
            "bind_addrs.ready": "" if is_core else f"{process.ip}:{self.ports['ready']}",
            "bind_addrs.control_plane":
                f"{process.ip}:{self.ports['control']}" if is_core else "",
            "internal_port_range.0": self.ports["peer"],
            "seed_nodes": ",".join(f"{ip}:{self.ports['control']}" for ip in self.seeds),
            "data_dir": str(self.folder / f"data-{process.name}") if is_core else "",
            "bootstrap": "true" if bootstrap else "false",
            "cloud_api.address": f"{self.platform_ip}:{self.ports['cloud']}",
            "cloud_api.rate_per_s": "49.0"}
        for name, value in self.bounds.items():
            values[f"bounds.{name}"] = value
        text = (ROOT / "platform/settings.ini").read_text()
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", ",".join(self.zones), text)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: str(values.get(m.group(1), "")), text)
        process.settings.write_text(text)

    def add_leaf(self, kind, leaf_id, service, **options):
        leaf = kind(self, leaf_id, service, f"{self.net}.{101 + len(self.leafs)}",
                    self.ports["leaf"], **options)
        self.leafs.append(leaf)
        return leaf

    async def serve_list(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                entries = [leaf.entry(self.zones[i % len(self.zones)]) for i, leaf in enumerate(self.leafs)
                           if leaf.state != "gone"]
                body = json.dumps({"instances": entries, "next_token": None}).encode()
                writer.write(response(200, "OK", [("Content-Type", "application/json")], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def start(self, config):
        for leaf in self.leafs:
            await leaf.start()
        self.platform = await asyncio.start_server(
            self.serve_list, self.platform_ip, self.ports["cloud"])
        for process in self.cores + self.entries:
            self.render(process, True)
            await process.start()
        if not await self.submit(config, 20):
            raise NotPlayed("the first configuration was not acknowledged")
        for entry in self.entries:
            await self.until_ready(entry, 15)

    async def replace_core(self, index, ip, pause_s):
        """Removes a core machine for good; an empty one comes at another address."""
        former = self.cores[index]
        former.signal(signal.SIGKILL)
        await former.process.wait()
        self.record("core-removed", name=former.name, ip=former.ip)
        self.removed.append(former)
        await asyncio.sleep(pause_s)
        self.cores[index] = self.new_core(ip, former.zone, former)
        await self.cores[index].start()
        self.record("core-added", name=self.cores[index].name, ip=ip)

    def new_core(self, ip, zone, former=None):
        """An empty core machine. Its seeds are the other ones that run."""
        self.core_count += 1
        core = Process(self, "core", f"core-{self.core_count}", ip, zone)
        self.seeds = [other.ip for other in self.cores if other is not former] + [ip]
        self.seeds = self.seeds[:3]
        self.render(core, False)
        return core

    @staticmethod
    def version_of(body):
        try:
            return json.loads(body)["version"]
        except (ValueError, KeyError, TypeError):
            return None

    async def until_ready(self, entry, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _, _ = await self.call(entry.ip, self.ports["ready"], "GET", "/readyz")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise NotPlayed(f"{entry.name} was not ready")

    async def call(self, ip, port, method, target, body=b"", seconds=1):
        """One call on a new connection, as operators and the platform make it."""
        writer = None
        try:
            async def exchange():
                nonlocal writer
                reader, writer = await asyncio.open_connection(ip, port)
                head = f"{method} {target} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
                head += "Content-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
                writer.write(head.encode() + body)
                line, fields = await read_head(reader)
                return int(line.split(" ")[1]), fields, await read_body(reader, fields)
            return await asyncio.wait_for(exchange(), seconds)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            return None, {}, b""
        finally:
            if writer:
                writer.close()

    async def submit(self, config, seconds, cores=None):
        """Sends a configuration until it is acknowledged."""
        body = json.dumps(config).encode()
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            core = (cores or self.cores)[turn % len(cores or self.cores)]
            turn += 1
            status, _, _ = await self.call(core.ip, self.ports["control"], "POST",
                                           "/config/replace", body)
            self.record("operator", version=config["version"], core=core.name, status=status)
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        for process in self.cores + self.removed + self.entries:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.cores + self.entries:
            if process.process:
                await process.process.wait()
        if self.platform:
            self.platform.close()
        for leaf in self.leafs:
            if leaf.server:
                leaf.server.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def service(name, connections=26):
    return {"name": name, "health_path": "/healthz", "max_connections": connections,
            "protocol": "h1", "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def run_case(play, case_folder, **options):
    """Plays a case; play(tier, trouble) returns True if the rule held."""
    async def main():
        trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            tier = Tier(case_folder, **options)
        except Exception as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return NOT_PLAYED
        playing = asyncio.ensure_future(play(tier, trouble))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            held = await asyncio.wait_for(playing, 110)
            tier.record("verdict", rule="held" if held else "broken")
            return HELD if held else BROKEN
        except (Exception, asyncio.CancelledError) as error:
            tier.record("not-played", cause=repr(error))
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return NOT_PLAYED
        finally:
            await tier.stop()
    sys.exit(asyncio.run(main()))
