"""A search whose route names a shard twice (rule MIXED).

TROUBLE=0 sends the same configurations with each shard named once.
"""

import asyncio
import hashlib
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))

import stand

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHARDS = ["stock-1", "stock-2", "stock-3"]
SEARCHES = 20
RECORDS = 4
RECORD_BYTES = 16


class Shard(stand.Leaf):
    """All leafs of a shard hold the same records."""

    stamps = {}

    def stamp(self, attempt):
        text = super().stamp(attempt)
        Shard.stamps[text] = self.service
        return text

    def body_for(self, target, attempt):
        return b"".join(hashlib.sha256(("%s %d" % (self.service, i)).encode()).digest()[:RECORD_BYTES]
                        for i in range(RECORDS))


async def main():
    record = stand.Record(os.path.join(HERE, "record.txt"))
    tier = stand.Tier(record, cores=3, entries=2)
    for name in SHARDS:
        for number in range(2):
            tier.add_leaf(name, number, Shard)
    services = [stand.service(name) for name in SHARDS]

    def text(version, fanout):
        routes = [stand.route("sweep", "stock.example", "/sweep/", fanout=fanout, max_results=20, min_coverage=0.5,
                              timeout_ms=600, slo_ms=100)]
        record("version  %d names %s" % (version, fanout))
        return stand.config(version, routes, services)

    try:
        await tier.start()
        status, _ = await tier.order("POST", "/config/replace", text(1, SHARDS))
        if status != 200 or not await tier.wait_ready(tier.entries):
            return 2
        fanout = ["stock-1", "stock-2", "stock-2", "stock-3"] if TROUBLE else SHARDS
        status, answer = await tier.order("POST", "/config/replace", text(2, fanout))
        if status is None:
            return 2
        record("operator's answer: %s %r" % (status, answer))
        await asyncio.sleep(tier.bounds["config_propagation_ms"] / 1000)
        broken = served = 0
        for number in range(SEARCHES):
            entry = tier.entries[number % len(tier.entries)]
            attempt = "search-%d" % number
            status, fields, body = await stand.call(
                entry.ip, tier.ports["frontend"], "GET", "/sweep/winch",
                [("Host", "stock.example"), ("X-Ragwortdrift-Attempt-Id", attempt),
                 ("X-Ragwortdrift-Deadline-Ms", "600")])
            parts = [Shard.stamps.get(item.strip(), "unknown")
                     for item in (stand.field(fields, "X-Ragwortdrift-Part-Stamps") or "").split(",")]
            records = [body[i:i + RECORD_BYTES] for i in range(0, len(body), RECORD_BYTES)]
            doubled = len(records) - len(set(records))
            record("answer   %s at %s: %d, parts of %s, %d records, %d of them twice"
                   % (attempt, entry.name, status, parts, len(records), doubled))
            served += 1 if status == 200 else 0
            if status == 200 and len(set(parts)) < len(parts):
                record("BROKEN   %s holds two signatures of one service" % attempt)
                broken += 1
            await asyncio.sleep(0.05)
        record("%d of %d successes break the rule" % (broken, served))
        return 1 if broken else 0 if served else 2
    finally:
        tier.end()


sys.exit(stand.run_case(main))
