"""Three core VMs that are replaced one after the other, each after the one before had time to catch up."""

import asyncio
import json

from standins import CONTACT_S, CONTROL_PORT, TROUBLE, CannotRun, Leaf, Operator, call, main

HOST, SERVICE = "leno12.example", "kafi81c"
SUCCESSOR_AFTER_S = 1.0
CATCH_UP_S = 4.0
READ_BACK_S = 20.0


def config(version):
    return json.dumps({
        "version": version,
        "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/goka902/", "type": "idempotent",
                    "timeout_ms": 2000, "slo_ms": 400, "priority": 2, "service": SERVICE, "max_attempts": 2}],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 52, "protocol": "h1",
                      "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000}}).encode()


async def replace(deployment, core):
    if TROUBLE:
        successor = deployment.replace(core)
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        successor.start()
    else:
        await asyncio.sleep(SUCCESSOR_AFTER_S)


async def case(deployment, record):
    for zone in deployment.zones:
        deployment.leafs.append(Leaf(record, f"i-{zone}", SERVICE, deployment.new_ip(), zone))
    await deployment.start()
    operator = Operator(deployment)
    if not await operator.order("/config/replace", config(7), limit=15):
        raise CannotRun("the first configuration is not acknowledged")
    await deployment.wait_ready()
    await asyncio.sleep(10)
    leader = await deployment.leader()
    await replace(deployment, next(core for core in deployment.cores if core is not leader))
    # The successor catches up, and the core is stable for a while.
    await asyncio.sleep(CATCH_UP_S + 3)
    await replace(deployment, leader)
    await asyncio.sleep(CATCH_UP_S + 8)
    if not await operator.order("/config/replace", config(9)):
        raise CannotRun("no configuration is acknowledged after two machines were replaced")
    leader = await deployment.leader()
    original = next(core for core in deployment.cores if core.bootstrap and core is not leader)
    await replace(deployment, original)
    await asyncio.sleep(CATCH_UP_S + CONTACT_S)

    record("all core machines run and are connected; the operator reads the configuration")
    end = record.now() + READ_BACK_S
    versions = []
    while record.now() < end:
        for core in list(deployment.cores):
            reply = await call(core.ip, CONTROL_PORT, "GET", "/config/get")
            version = json.loads(reply[2])["version"] if reply and reply[0] == 200 else None
            record(f"operator reads from {core.name}: {reply[0] if reply else 'no answer'}, version {version}")
            if version is not None:
                versions.append(version)
        await asyncio.sleep(0.5)
    broken = not versions or max(versions) < 9
    return broken, (f"version 9 was acknowledged; read back for {READ_BACK_S:g} s: "
                    f"{'version ' + str(max(versions)) if versions else 'no configuration'}")


main(case)
