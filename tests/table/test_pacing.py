"""Test how often a busy feed is polled, and how late its rows are."""

import asyncio
import random

from pomelopass.entry import tablewatch
from pomelopass.table import follower
from pomelopass.table import rows
from standins import rowtable
from standins import virtualloop

MEASURED_S = 5.0
# An answer in transit, a call and its answer, 4 ms each.
ROUND_TRIP_S = 0.0121
ENTRY_INTERVAL_S = 1.2


class CuttingClient(rowtable.RowClient):
    """Client of a service that returns a limited number of changes."""

    max_rows = 100

    async def follow(self, table, after, wait_ms):
        changes = await super().follow(table, after, wait_ms)
        kept = changes.rows[: self.max_rows]
        if len(kept) == len(changes.rows):
            return changes
        return rows.Changes(kept, kept[-1].version, changes.now_ms)


def follow_engines(engine_count, make_client=rowtable.RowClient):
    """Return the calls a second and the lateness of each row in seconds."""
    latenesses = []

    async def scenario():
        loop = asyncio.get_running_loop()
        service = rowtable.RowService()
        rng = random.Random(1)
        written_at_by_version = {}

        def record(row):
            latenesses.append(loop.time() - written_at_by_version[row.version])

        table_follower = follower.Follower(
            make_client(service, rng),
            't',
            ('',),
            record,
            rng,
            max_pause_ms=tablewatch.MAX_ENDPOINT_PAUSE_MS,
        )
        follow_task = asyncio.ensure_future(table_follower.run())
        await asyncio.sleep(0.1)
        service.calls = 0
        started_at = loop.time()
        for number in range(int(engine_count * MEASURED_S / ENTRY_INTERVAL_S)):
            version = service.put('t', f'k{number % engine_count}', b'v')
            written_at_by_version[version] = loop.time()
            pause_s = ENTRY_INTERVAL_S / engine_count
            await asyncio.sleep(rng.uniform(0, 2 * pause_s))
        follow_task.cancel()
        return service.calls / (loop.time() - started_at)

    return virtualloop.run(scenario()), latenesses


# Each of 300 instances polled 110 times a second while 3,000 engines wrote.
def test_a_feed_that_never_rests_is_polled_seldom():
    calls_per_s, latenesses = follow_engines(3000)
    assert calls_per_s <= 8
    limit_s = tablewatch.MAX_ENDPOINT_PAUSE_MS / 1000 + ROUND_TRIP_S
    assert max(latenesses) <= limit_s


# A pause would delay the entries in fleets of the present size.
def test_the_entries_of_few_endpoints_are_not_delayed():
    _, latenesses = follow_engines(100)
    assert max(latenesses) <= ROUND_TRIP_S


# An instance that pauses after each full answer would fall behind for good.
def test_a_feed_with_limited_answers_is_followed_in_time():
    _, latenesses = follow_engines(1500, CuttingClient)
    assert max(latenesses) <= 2 * tablewatch.MAX_ENDPOINT_PAUSE_MS / 1000
