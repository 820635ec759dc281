"""A late extra refusal that hides the run of a request that must not be repeated."""

import asyncio
import collections
import json
import zlib

from standins import CONTACT_S, ID, TROUBLE, CannotRun, Client, Leaf, Operator, main

HOST, SERVICE = "hufi27.example", "kafi81c"  # platboard of railrover-hire: 4 leafs, one in each zone
REQUESTS_PER_S = 45  # bookfetch of railrover-hire
GARBLED_ANSWERS = 0.04  # of the answers of a leaf
REFUSED_ATTEMPTS = 0.02
WINDOWS, WINDOW_S, PAUSE_S = 4, 5.0, 4.0

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/goka902/", "type": "non_idempotent",
                "timeout_ms": 2000, "slo_ms": 400, "priority": 2, "service": SERVICE, "max_attempts": 2}],
    "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 52, "protocol": "h1", "tls": False,
                  "warmup_s": 3.0, "warmup_per_s": 0.0}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class Trouble:
    """The disruption, on or off, as seen by all leafs."""
    active = False


class GreyLeaf(Leaf):
    """While the disruption lasts, it sheds the first arrival of some requests; it may send an extra response late."""

    def __init__(self, *arguments, garbles, **options):
        super().__init__(*arguments, **options)
        self.garbles = garbles
        self.shed = set()
        self.answers = self.extras = 0

    def sheds(self, attempt):
        return (Trouble.active and attempt not in self.shed and
                zlib.crc32(attempt.encode()) % 1000 < 1000 * REFUSED_ATTEMPTS)

    async def serve(self, reader, writer):
        late = collections.deque()  # extra responses that this connection still gets
        writer.late = late
        await super().serve(reader, writer)

    async def answer(self, writer, first, headers, body):
        while writer.late:  # "at the point where the next response is expected"
            attempt, extra = writer.late.popleft()
            self.record(f"leaf {self.id} sends its answer to {attempt} a second time, before that to "
                        f"{headers.get(ID, 'a health check')}")
            writer.write(extra)
        attempt = headers.get(ID)
        if attempt:
            self.answers += Trouble.active
        if not attempt or not self.sheds(attempt):
            await super().answer(writer, first, headers, body)
            return
        self.shed.add(attempt)
        refusal = self.refusal(503, attempt)
        writer.write(refusal)
        if self.garbles and self.extras + 1 <= GARBLED_ANSWERS * self.answers:
            self.extras += 1
            writer.late.append((attempt, refusal))


async def keep_sending(client, delay, interval):
    await asyncio.sleep(delay)
    while True:
        begin = asyncio.get_running_loop().time()
        await client.request("POST", HOST, "/goka902/2f", 2000, b"dock=3")
        await asyncio.sleep(max(0.0, begin + interval - asyncio.get_running_loop().time()))


async def case(deployment, record):
    for number, zone in enumerate(deployment.zones):
        deployment.leafs.append(GreyLeaf(record, f"i-{zone}", SERVICE, deployment.new_ip(), zone, work_ms=90,
                                         garbles=number % 2 == 0))
    await deployment.start()
    if not await Operator(deployment).order("/config/replace", json.dumps(CONFIG).encode(), limit=15):
        raise CannotRun("the first configuration is not acknowledged")
    await deployment.wait_ready()
    per_entry = 6
    clients = [Client(record, entry, f"{entry.name}-{number}")
               for entry in deployment.entries for number in range(per_entry)]
    load = [asyncio.create_task(keep_sending(client, number / REQUESTS_PER_S, len(clients) / REQUESTS_PER_S))
            for number, client in enumerate(clients)]
    await asyncio.sleep(max(CONTACT_S, 10.0))
    for _ in range(WINDOWS):
        Trouble.active = TROUBLE
        record(f"the disruption {'begins' if TROUBLE else 'is left out'}")
        await asyncio.sleep(WINDOW_S)
        Trouble.active = False
        record("the disruption ends")
        await asyncio.sleep(PAUSE_S)
    for task in load:
        task.cancel()
    await asyncio.sleep(0.5)
    answers = {attempt: status for client in clients for attempt, status in client.answers.items()}
    if sum(status == 200 for status in answers.values()) < 500:
        raise CannotRun("too few requests were served")
    for leaf in deployment.leafs:
        record(f"leaf {leaf.id}: {leaf.answers} answers during the disruption, {len(leaf.shed)} shed, "
               f"{leaf.extras} sent twice")
    runs = collections.Counter(attempt for leaf in deployment.leafs for _, attempt in leaf.runs)
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    refused = sorted(attempt for attempt in runs if answers.get(attempt) in (408, 421, 429, 503))
    for attempt in twice:
        record(f"TWICE: {attempt} ran {runs[attempt]} times and was answered {answers.get(attempt)}")
    for attempt in refused:
        record(f"REFUSED: {attempt} ran {runs[attempt]} times and was answered {answers[attempt]}")
    return bool(twice), (f"{len(twice)} requests that are not idempotent ran more than once, {len(refused)} were "
                         f"answered 503 and ran")


main(case)
