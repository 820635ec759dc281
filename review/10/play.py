"""Header fields over 64 KiB, within max_header_bytes, end the entry processes."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from tier import Client, Leaf, LIMITS, run_case, service  # noqa: E402

HOST, PREFIX = "hufi27.example", "/goka902/"
MAX_HEADER_BYTES = 131072
RESTART_S = 0.5
ROUNDS = 3


def config(version):
    return {"version": version, "limits": dict(LIMITS, max_header_bytes=MAX_HEADER_BYTES),
            "services": [service("kafi81c", 96)],
            "routes": [{"name": "r-slips", "host": HOST, "path_prefix": PREFIX,
                        "type": "idempotent", "timeout_ms": 2000, "slo_ms": 400,
                        "priority": 2, "service": "kafi81c", "max_attempts": 2}]}


async def play(tier, trouble):
    for i in range(3):
        tier.add_leaf(Leaf, f"i-slip-{i + 1}", "kafi81c")
    await tier.start(config(1))
    # contact_ms: the machines are in touch.
    await asyncio.sleep(4.5)
    field_bytes = 70000 if trouble else 60000
    ends = {entry.name: 0 for entry in tier.entries}
    answered = 0
    for turn in range(ROUNDS):
        for entry in tier.entries:
            client = Client(tier, entry.ip)
            request_id = f"h{turn}-{entry.name}"
            status, cause, body = await client.ask(
                request_id, HOST, f"{PREFIX}{request_id}", 2000,
                extra=[("Cookie", "c" * field_bytes)])
            client.close()
            answered += status == 200
            await asyncio.sleep(RESTART_S)
            tier.record("answered", request=request_id, entry=entry.name, status=status,
                        field_bytes=field_bytes, cause=cause if status is None else "",
                        exit=entry.process.returncode)
            if entry.ended():
                ends[entry.name] += 1
                # The platform starts a process again that has ended.
                tier.render(entry, False)
                await entry.start()
        for entry in tier.entries:
            await tier.until_ready(entry, 15)
        await asyncio.sleep(1)
    tier.record("summary", answered=answered, **{f"ends_{n}": c for n, c in ends.items()})
    print(f"answered {answered} of {ROUNDS * len(tier.entries)}, own ends {ends}")
    # Fault: on a tenth of the machines, two at least, processes end by themselves three times.
    return sum(count >= 3 for count in ends.values()) < 2


run_case(play, HERE, entries=2)
