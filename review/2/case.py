"""A late extra refusal that hides the run of a request that must not be repeated."""

import asyncio
import collections
import zlib

from standins import ID, REQUESTS_PER_S, TROUBLE, CannotRun, Leaf, config, main

EVACUATED = "fen-west"
GARBLED_ANSWERS = 0.04  # of the answers of a leaf, in each window
SHED_REQUESTS = 0.04  # whose first arrival at each leaf is shed
WINDOWS, WINDOW_S, PAUSE_S = 9, 5.0, 4.0
CLIENTS = 24


class Trouble:
    """The disruption, on or off, as seen by all leafs."""
    active = False


class GreyLeaf(Leaf):
    """While the disruption lasts, it sheds the first arrival of some requests; it may send an extra response late."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_grey = False
        self.garbled_clients = set()
        self.shed = set()
        self.answers = self.extras = 0  # of the current window

    def sheds(self, attempt):
        return (Trouble.active and self.is_grey and attempt not in self.shed and
                zlib.crc32(attempt.encode()) % 1000 < 1000 * SHED_REQUESTS)

    async def serve(self, reader, writer):
        writer.late = collections.deque()  # extra responses that this connection still gets
        await super().serve(reader, writer)

    async def answer(self, writer, first, headers, body):
        while writer.late:  # "at the point where the next response is expected"
            attempt, extra = writer.late.popleft()
            self.record(f"leaf {self.id} sends its answer to {attempt} a second time, before that to "
                        f"{headers.get(ID, 'a health check')}")
            writer.write(extra)
        attempt = headers.get(ID)
        self.answers += Trouble.active and attempt is not None
        if not attempt or not self.sheds(attempt):
            await super().answer(writer, first, headers, body)
            return
        self.shed.add(attempt)
        refusal = self.refusal(503, attempt)
        writer.write(refusal)
        client = attempt.rpartition("-")[0]
        if client in self.garbled_clients and self.extras + 1 <= GARBLED_ANSWERS * self.answers:
            self.extras += 1
            writer.late.append((attempt, refusal))


async def case(deployment, record):
    deployment.add_leafs(leaf_class=GreyLeaf)  # platboard of railrover-hire: four leafs, one in each zone
    operator = await deployment.start(config(7, "non_idempotent"))
    if not await operator.order(f"/evacuations/{EVACUATED}/start"):
        raise CannotRun("the evacuation is not acknowledged")
    load = deployment.start_load(CLIENTS, CLIENTS / REQUESTS_PER_S, "POST")
    # Three of the four leafs shed. Two spoil answers, to requests that come by the entry VM of their own zone.
    used = [leaf for leaf in deployment.leafs if leaf.zone != EVACUATED]
    for leaf in used:
        leaf.is_grey = True
    for leaf in used[:2]:
        leaf.garbled_clients = {client.name for client in deployment.clients if client.entry.zone == leaf.zone}
    await asyncio.sleep(10)
    for _ in range(WINDOWS):
        Trouble.active = TROUBLE
        record(f"the disruption {'begins' if TROUBLE else 'is left out'}")
        await asyncio.sleep(WINDOW_S)
        Trouble.active = False
        record("the disruption ends")
        for leaf in used:
            record(f"leaf {leaf.id}: {leaf.answers} answers in this window, {leaf.extras} sent twice; "
                   f"{len(leaf.shed)} shed so far")
            leaf.answers = leaf.extras = 0
        await asyncio.sleep(PAUSE_S)
    for task in load:
        task.cancel()
    await asyncio.sleep(0.5)
    answers = deployment.answers()
    if sum(status == 200 for status in answers.values()) < 500:
        raise CannotRun("too few requests were served")
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
