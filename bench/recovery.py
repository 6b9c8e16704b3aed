"""Measure how entry instances come back after they were lost."""

import asyncio
import collections
import dataclasses
import itertools

from bench import target
from standins import entries
from standins import virtualloop
from tests import entrybuilders

__all__ = ['measure_recovery']

ADOPTION_TARGET = target.Target(
    'adoption of a job after 6 of 12 owners died, longest', 3.0, 's'
)
SPREAD_TARGET = target.Target(
    'jobs adopted by one survivor, most, of an even share', 2.0, 'times'
)
TENTH_TARGET = target.Target(
    'until a tenth of the goodput is back, all instances lost and 5 s of '
    'outage, from the return of the table',
    2.0,
    's',
)
HALF_TARGET = target.Target('until a half of it', 3.0, 's')
WHOLE_TARGET = target.Target('until nine tenths of it', 6.0, 's')
BURST_TARGET = target.Target(
    'calls of 12 instances in the first second after an outage beyond those '
    "of a second before, of the table's rates",
    0.1,
    'share',
)
INSTANCES = 12
ENGINES = 6
KILLED = 6
JOBS = 24
# Items long enough that no job ends before it is adopted.
LONG_EVENTS = 400
# Items that take a second or so, for a steady goodput.
SHORT_EVENTS = 20
JOB_EVERY_S = 0.5
STEADY_S = 10.0
OUTAGE_S = 5.0
RESTART_S = 1.0
WATCHED_S = 12.0
BUCKET_S = 0.5
# Reads and writes a second that the users' table allows, together.
TABLE_RATE = 2800


@dataclasses.dataclass(frozen=True, slots=True)
class _Adoptions:
    longest_s: float
    most: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Calls:
    steady: int
    after: int


def measure_recovery(seed: int) -> list[target.Outcome]:
    """Kill owners, then all instances, while the table is away."""
    adoptions = virtualloop.run(_kill_half(seed))
    listed, back_at = virtualloop.run(_kill_all(seed))
    calls = virtualloop.run(_count_after_outage(seed))
    share = adoptions.count / (INSTANCES - KILLED)
    return [
        target.Outcome(ADOPTION_TARGET, adoptions.longest_s),
        target.Outcome(SPREAD_TARGET, adoptions.most / share),
        target.Outcome(TENTH_TARGET, _get_back_s(listed, back_at, 0.1)),
        target.Outcome(HALF_TARGET, _get_back_s(listed, back_at, 0.5)),
        target.Outcome(WHOLE_TARGET, _get_back_s(listed, back_at, 0.9)),
        target.Outcome(
            BURST_TARGET, max(0, calls.after - calls.steady) / TABLE_RATE
        ),
    ]


async def _kill_half(seed: int) -> _Adoptions:
    cluster = await _start(seed)
    for number in range(JOBS):
        submission = entrybuilders.make_submission(f'job-{number}', 1, 2)
        for item in submission.items:
            cluster.pool.events_by_item[item.id] = LONG_EVENTS
        await cluster.submit(f'entry-{number % INSTANCES}', submission)
    await asyncio.sleep(1)
    died_at = asyncio.get_running_loop().time()
    for number in range(KILLED):
        cluster.kill(f'entry-{number}')
    await asyncio.sleep(WATCHED_S)
    adopted = [
        (event['at'] - died_at, name)
        for name, entry in cluster.entry_by_name.items()
        for event in entry.events
        if event['event'] == 'job-adopted' and event['applied']
    ]
    await cluster.stop()
    count_by_name = collections.Counter(name for _, name in adopted)
    return _Adoptions(
        max(after_s for after_s, _ in adopted),
        max(count_by_name.values()),
        len(adopted),
    )


async def _kill_all(seed: int) -> tuple[list[float], float]:
    cluster = await _start(seed)
    loop = asyncio.get_running_loop()
    trainer = asyncio.ensure_future(_submit_steadily(cluster))
    await asyncio.sleep(STEADY_S)
    cluster.service.down = True
    for name in list(cluster.entry_by_name):
        cluster.kill(name)
    before = _get_listed(cluster)
    await asyncio.sleep(RESTART_S)
    for name in list(cluster.entry_by_name):
        cluster.start(name)
    await asyncio.sleep(OUTAGE_S - RESTART_S)
    cluster.service.down = False
    back_at = loop.time()
    await asyncio.sleep(WATCHED_S)
    listed = before + _get_listed(cluster)
    await _stop(cluster, trainer)
    return listed, back_at


async def _count_after_outage(seed: int) -> _Calls:
    cluster = await _start(seed)
    trainer = asyncio.ensure_future(_submit_steadily(cluster))
    await asyncio.sleep(STEADY_S)
    steady = await _count_calls(cluster)
    cluster.service.down = True
    await asyncio.sleep(OUTAGE_S)
    cluster.service.down = False
    after = await _count_calls(cluster)
    await _stop(cluster, trainer)
    return _Calls(steady, after)


async def _count_calls(cluster: entries.EntryCluster) -> int:
    before = cluster.service.calls
    await asyncio.sleep(1)
    return cluster.service.calls - before


async def _stop(cluster: entries.EntryCluster, trainer: asyncio.Task) -> None:
    trainer.cancel()
    await asyncio.gather(trainer, return_exceptions=True)
    await cluster.stop()


async def _start(seed: int) -> entries.EntryCluster:
    cluster = entrybuilders.make_cluster(
        seed, instances=INSTANCES, engines=ENGINES
    )
    await asyncio.sleep(3)
    return cluster


async def _submit_steadily(cluster: entries.EntryCluster) -> None:
    async with asyncio.TaskGroup() as submissions:
        for number in itertools.count():
            submission = entrybuilders.make_submission(f'step-{number}', 2, 4)
            for item in submission.items:
                cluster.pool.events_by_item[item.id] = SHORT_EVENTS
            name = f'entry-{number % INSTANCES}'
            submissions.create_task(cluster.submit(name, submission))
            await asyncio.sleep(JOB_EVERY_S)


def _get_listed(cluster: entries.EntryCluster) -> list[float]:
    return [
        event['at']
        for entry in cluster.entry_by_name.values()
        for event in entry.events
        if event['event'] == 'results-listed'
        for _ in event['items']
    ]


def _get_back_s(listed: list[float], back_at: float, share: float) -> float:
    """Return when the rate of results reaches a share of that before.

    >>> _get_back_s([1.0, 2.0, 3.0, 20.2, 20.9], 20.0, 0.1)
    0.5
    """
    outage_from = back_at - OUTAGE_S
    steady = [
        at for at in listed if outage_from - STEADY_S / 2 <= at < outage_from
    ]
    wanted = share * len(steady) / (STEADY_S / 2) * BUCKET_S
    edge = back_at
    while edge < back_at + WATCHED_S:
        edge += BUCKET_S
        if sum(edge - BUCKET_S <= at < edge for at in listed) >= wanted:
            return edge - back_at
    return WATCHED_S
