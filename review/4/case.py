"""An order of the operator that a frozen core VM executes after a later one was acknowledged."""

import asyncio
import signal

from standins import CONTACT_S, EVACUATE_S, TROUBLE, CannotRun, config, main

ZONE = "fen-north"
FREEZE_S = 7.0
WATCH_S = 12.0
CLIENTS, INTERVAL_S = 12, 0.1


async def case(deployment, record):
    deployment.add_leafs(in_each_zone=2, work_ms=5)
    operator = await deployment.start(config(7))
    load = deployment.start_load(CLIENTS, INTERVAL_S)
    await asyncio.sleep(CONTACT_S)

    # The zone is evacuated, taken back and evacuated again.
    if not await operator.order(f"/evacuations/{ZONE}/start"):
        raise CannotRun("the evacuation is not acknowledged")
    await asyncio.sleep(1)
    leader = await deployment.leader()
    frozen = next(core for core in deployment.cores if core is not leader)
    frozen_at = record.now()
    if TROUBLE:
        frozen.send(signal.SIGSTOP)
    await asyncio.sleep(2.5)
    if not await operator.order(f"/evacuations/{ZONE}/finish", first=frozen):
        raise CannotRun("the end of the evacuation is not acknowledged")
    await asyncio.sleep(1)
    acknowledged_at = await operator.order(f"/evacuations/{ZONE}/start", first=leader)
    if not acknowledged_at:
        raise CannotRun("the second evacuation is not acknowledged")
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
    if TROUBLE:
        frozen.send(signal.SIGCONT)

    # All machines are in touch CONTACT_S after the core VM runs again.
    counted_from = max(record.now() + CONTACT_S, acknowledged_at + EVACUATE_S)
    record(f"requests to leafs of {ZONE} count from {counted_from:.3f} on")
    await asyncio.sleep(counted_from + WATCH_S - record.now())
    for task in load:
        task.cancel()
    if sum(status == 200 for status in deployment.answers().values()) < 100:
        raise CannotRun("too few requests were served")
    late = [run for leaf in deployment.leafs if leaf.zone == ZONE for run in leaf.runs if run[0] > counted_from]
    return bool(late), (f"{len(late)} requests ran on leafs of {ZONE} more than {EVACUATE_S:g} s after its "
                        f"evacuation was acknowledged at {acknowledged_at:.3f}, which was never taken back")


main(case)
