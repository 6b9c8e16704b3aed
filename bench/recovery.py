"""Measure the recovery of entry instances after crashes and outages."""

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
NINE_TENTHS_TARGET = target.Target('until nine tenths of it', 6.0, 's')
BURST_TARGET = target.Target(
    'calls of 12 instances in the first second after an outage beyond those '
    "of a second before, of the table's rates",
    0.1,
    'share',
)
INSTANCE_COUNT = 12
ENGINE_COUNT = 6
KILLED_COUNT = 6
JOB_COUNT = 24
# Long enough that no job completes before it is adopted.
LONG_EVENTS = 400
# About a second per item, for a steady goodput.
SHORT_EVENTS = 20
JOB_EVERY_S = 0.5
STEADY_S = 10.0
OUTAGE_S = 5.0
RESTART_S = 1.0
OBSERVED_S = 12.0
BUCKET_S = 0.5
# Total reads and writes a second that the users' table allows.
TABLE_CALLS_PER_S = 2800


@dataclasses.dataclass(frozen=True, slots=True)
class _Adoptions:
    max_delay_s: float
    max_by_survivor: int
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Calls:
    steady: int
    after: int


def measure_recovery(seed: int) -> list[target.Outcome]:
    """Measure after kills of half and all instances and a table outage."""
    adoptions = virtualloop.run(_kill_half(seed))
    listed_at, restored_at = virtualloop.run(_kill_all(seed))
    calls = virtualloop.run(_count_after_outage(seed))
    mean_count = adoptions.count / (INSTANCE_COUNT - KILLED_COUNT)
    return [
        target.Outcome(ADOPTION_TARGET, adoptions.max_delay_s),
        target.Outcome(SPREAD_TARGET, adoptions.max_by_survivor / mean_count),
        target.Outcome(
            TENTH_TARGET, _get_recovery_s(listed_at, restored_at, 0.1)
        ),
        target.Outcome(
            HALF_TARGET, _get_recovery_s(listed_at, restored_at, 0.5)
        ),
        target.Outcome(
            NINE_TENTHS_TARGET, _get_recovery_s(listed_at, restored_at, 0.9)
        ),
        target.Outcome(
            BURST_TARGET,
            max(0, calls.after - calls.steady) / TABLE_CALLS_PER_S,
        ),
    ]


async def _kill_half(seed: int) -> _Adoptions:
    cluster = await _start(seed)
    for number in range(JOB_COUNT):
        submission = entrybuilders.make_submission(f'job-{number}', 1, 2)
        for item in submission.items:
            cluster.pool.events_by_item[item.id] = LONG_EVENTS
        await cluster.submit(f'entry-{number % INSTANCE_COUNT}', submission)
    await asyncio.sleep(1)
    killed_at = asyncio.get_running_loop().time()
    for number in range(KILLED_COUNT):
        cluster.kill(f'entry-{number}')
    await asyncio.sleep(OBSERVED_S)
    adopted = [
        (event['at'] - killed_at, name)
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
    listed_before = _get_listing_times(cluster)
    await asyncio.sleep(RESTART_S)
    for name in list(cluster.entry_by_name):
        cluster.start(name)
    await asyncio.sleep(OUTAGE_S - RESTART_S)
    cluster.service.down = False
    restored_at = loop.time()
    await asyncio.sleep(OBSERVED_S)
    listed_at = listed_before + _get_listing_times(cluster)
    await _stop(cluster, trainer)
    return listed_at, restored_at


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
        seed, instances=INSTANCE_COUNT, engines=ENGINE_COUNT
    )
    await asyncio.sleep(3)
    return cluster


async def _submit_steadily(cluster: entries.EntryCluster) -> None:
    async with asyncio.TaskGroup() as submissions:
        for number in itertools.count():
            submission = entrybuilders.make_submission(f'step-{number}', 2, 4)
            for item in submission.items:
                cluster.pool.events_by_item[item.id] = SHORT_EVENTS
            name = f'entry-{number % INSTANCE_COUNT}'
            submissions.create_task(cluster.submit(name, submission))
            await asyncio.sleep(JOB_EVERY_S)


def _get_listing_times(cluster: entries.EntryCluster) -> list[float]:
    return [
        event['at']
        for entry in cluster.entry_by_name.values()
        for event in entry.events
        if event['event'] == 'results-listed'
        for _ in event['items']
    ]


def _get_recovery_s(
    listed_at: list[float], restored_at: float, share: float
) -> float:
    """Return the time in s until a share of the previous rate returns.

    >>> _get_recovery_s([1.0, 2.0, 3.0, 20.2, 20.9], 20.0, 0.1)
    0.5
    """
    outage_start = restored_at - OUTAGE_S
    steady = [
        at
        for at in listed_at
        if outage_start - STEADY_S / 2 <= at < outage_start
    ]
    min_results = share * len(steady) / (STEADY_S / 2) * BUCKET_S
    bucket_end = restored_at
    while bucket_end < restored_at + OBSERVED_S:
        bucket_end += BUCKET_S
        if (
            sum(bucket_end - BUCKET_S <= at < bucket_end for at in listed_at)
            >= min_results
        ):
            return bucket_end - restored_at
    return OBSERVED_S
