"""A planned replacement of a core machine, then the loss of another one's disk.

VARIANT=successor: a machine is lost, and so is its successor soon after its start.
"""

import asyncio
import os
import pathlib
import shutil
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from tier import Leaf, LIMITS, run_case, service  # noqa: E402

HOST, PREFIX = "hufi27.example", "/goka902/"
VARIANT = os.environ.get("VARIANT", "planned")
CATCH_UP_S = 4.0
# replace_core: the empty machine comes x = 1 s later.
SUCCESSOR_S = 1.0
# VARIANT=successor: life of the successor that is lost for good.
LIFE_S = 1.5
# The successor has had catch_up_s before the former machine stops;
# time from its end to the loss of the disk, and to the return of that machine.
MARGIN_S = 1.0
BETWEEN_S = 1.5
BACK_S = 1.0
# recovery_s (12 s) and more, then the operator reads for contact_ms (4 s) and more.
RECOVERY_S = 15.0
READ_S = 15.0


def config(version, target):
    return {"version": version, "limits": LIMITS,
            "services": [service("kafi81c", 96), service("nylo40d", 96)],
            "routes": [{"name": "r-slips", "host": HOST, "path_prefix": PREFIX,
                        "type": "idempotent", "timeout_ms": 2000, "slo_ms": 400,
                        "priority": 2, "service": target, "max_attempts": 2}]}


async def lose_with_successor(tier):
    """A machine is gone for good, its successor too, and another one comes."""
    await tier.replace_core(0, f"{tier.net}.8", SUCCESSOR_S)
    await asyncio.sleep(LIFE_S)
    await tier.replace_core(0, f"{tier.net}.9", SUCCESSOR_S)
    await asyncio.sleep(CATCH_UP_S)


async def replace_planned(tier):
    """Starts an empty core machine at another address, then stops one."""
    former = tier.cores[0]
    successor = tier.new_core(f"{tier.net}.9", former.zone)
    await successor.start()
    tier.record("core-added", name=successor.name, ip=successor.ip)
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    former.signal(signal.SIGTERM)
    await former.process.wait()
    tier.record("core-stopped", name=former.name, ip=former.ip,
                exit=former.process.returncode)
    tier.removed.append(former)
    tier.cores[0] = successor


async def lose_disk(tier, core):
    """The machine loses its disk and comes back empty at its address."""
    core.signal(signal.SIGKILL)
    await core.process.wait()
    shutil.rmtree(tier.folder / f"data-{core.name}")
    tier.record("disk-lost", name=core.name, ip=core.ip)
    await asyncio.sleep(BACK_S)
    tier.render(core, False)
    await core.start()
    tier.record("core-back", name=core.name, ip=core.ip)


async def read_back(tier, seconds):
    """Reads the configuration at each core machine in turn; returns the versions read."""
    versions = []
    end = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < end:
        core = tier.cores[turn % 3]
        turn += 1
        status, _, body = await tier.call(core.ip, tier.ports["control"], "GET", "/config/get")
        version = tier.version_of(body) if status == 200 else None
        tier.record("read", core=core.name, status=status, version=version)
        if version is not None:
            versions.append(version)
        await asyncio.sleep(0.25)
    return versions


async def play(tier, trouble):
    for i in range(6):
        tier.add_leaf(Leaf, f"i-{i + 1}", "kafi81c" if i < 3 else "nylo40d")
    await tier.start(config(1, "kafi81c"))
    await asyncio.sleep(2)
    if trouble and VARIANT == "planned":
        await replace_planned(tier)
        await asyncio.sleep(BETWEEN_S)
    acknowledged = await tier.submit(config(2, "nylo40d"), 5)
    if trouble and VARIANT == "planned":
        await lose_disk(tier, tier.cores[1])
    elif trouble:
        await lose_with_successor(tier)
    await asyncio.sleep(RECOVERY_S)
    versions = await read_back(tier, READ_S)
    accepted = await tier.submit(config(3, "kafi81c"), 6)
    tier.record("summary", acknowledged=acknowledged, reads=len(versions),
                newest=max(versions, default=None), next_accepted=accepted)
    print(f"version 2 acknowledged {acknowledged}, read back {len(versions)} times, "
          f"version 3 accepted {accepted}")
    # CONFIG: what is read back is older than what was acknowledged, or doesn't come.
    return not acknowledged or (len(versions) > 0 and versions[-1] >= 2)


run_case(play, HERE, entries=1)
