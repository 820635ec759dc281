"""Three core VMs that are replaced one after the other, each after the one before had time to catch up."""

import asyncio
import json

from standins import CATCH_UP_S, CONTACT_S, CONTROL_PORT, TROUBLE, CannotRun, call, config, main

SUCCESSOR_AFTER_S = 1.0
READ_BACK_S = 20.0


async def replace(deployment, core):
    if TROUBLE:
        successor = deployment.replace(core)
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        successor.start()
    else:
        await asyncio.sleep(SUCCESSOR_AFTER_S)


async def read_back(deployment, record):
    """Reads the configuration from every core VM for a while. Returns the versions read."""
    versions = []
    end = record.now() + READ_BACK_S
    while record.now() < end:
        for core in list(deployment.cores):
            reply = await call(core.ip, CONTROL_PORT, "GET", "/config/get")
            version = json.loads(reply[2])["version"] if reply and reply[0] == 200 else None
            record(f"operator reads from {core.name}: {reply[0] if reply else 'no answer'}, version {version}")
            if version is not None:
                versions.append(version)
        await asyncio.sleep(0.5)
    return versions


async def case(deployment, record):
    deployment.add_leafs()
    operator = await deployment.start(config(7))
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
    await replace(deployment, next(core for core in deployment.cores if core.bootstrap and core is not leader))
    await asyncio.sleep(CATCH_UP_S + CONTACT_S)
    record("all core machines run and are connected; the operator reads the configuration")
    versions = await read_back(deployment, record)
    return not versions or max(versions) < 9, (
        f"version 9 was acknowledged; read back for {READ_BACK_S:g} s: "
        f"{f'version {max(versions)}' if versions else 'no configuration'}")


main(case)
