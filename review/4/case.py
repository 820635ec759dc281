"""An order of the operator that a frozen core VM executes after a later one was acknowledged."""

import asyncio
import json
import signal

from standins import CONTACT_S, EVACUATE_S, TROUBLE, CannotRun, Client, Leaf, Operator, main

HOST, SERVICE, ZONE = "leno12.example", "kafi81c", "fen-north"
FREEZE_S = 7.0
WATCH_S = 12.0

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/goka902/", "type": "idempotent", "timeout_ms": 2000,
                "slo_ms": 400, "priority": 2, "service": SERVICE, "max_attempts": 2}],
    "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 52, "protocol": "h1", "tls": False,
                  "warmup_s": 3.0, "warmup_per_s": 0.0}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


async def keep_sending(client):
    while True:
        await client.request("GET", HOST, "/goka902/2f", 2000)
        await asyncio.sleep(0.1)


async def case(deployment, record):
    for zone in deployment.zones:
        for number in range(2):
            deployment.leafs.append(Leaf(record, f"i-{zone}-{number}", SERVICE, deployment.new_ip(), zone))
    await deployment.start()
    operator = Operator(deployment)
    if not await operator.order("/config/replace", json.dumps(CONFIG).encode(), limit=15):
        raise CannotRun("the first configuration is not acknowledged")
    await deployment.wait_ready()
    clients = [Client(record, entry, f"{entry.name}-{number}") for entry in deployment.entries for number in range(3)]
    load = [asyncio.create_task(keep_sending(client)) for client in clients]
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
    others = [core for core in deployment.cores if core is not frozen]
    acknowledged_at = await operator.order(f"/evacuations/{ZONE}/start", first=others[0])
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
    served = sum(status == 200 for client in clients for status in client.answers.values())
    if served < 100:
        raise CannotRun(f"only {served} requests were served")
    late = [run for leaf in deployment.leafs if leaf.zone == ZONE for run in leaf.runs if run[0] > counted_from]
    return bool(late), (f"{len(late)} requests ran on leafs of {ZONE} more than {EVACUATE_S:g} s after its "
                        f"evacuation was acknowledged at {acknowledged_at:.3f}, which was never taken back")


main(case)
