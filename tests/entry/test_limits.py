"""Test that endpoints get no more requests than the limits they name."""

import asyncio
import dataclasses

import pytest

from pomelopass import message
from tests import entrybuilders

LIMIT_PER_S = 2.5
# The bounds of the users' rule.
SETTLE_S = 3.0
WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
ENGINES = ('engine-0', 'engine-1', 'engine-2')
DESKS = ('desk-0', 'desk-1')


def set_limits(cluster, names, limit_per_s=LIMIT_PER_S):
    for name in names:
        cluster.pool.endpoint_by_id[name].limit_per_s = limit_per_s


def get_worst_window(cluster, names, since, limit_per_s=LIMIT_PER_S):
    """Return the largest share of the allowed requests in any window."""
    allowed = TOLERANCE * WINDOW_S * limit_per_s + EXTRA_REQUESTS
    worst = 0.0
    for name in names:
        arrivals = cluster.pool.endpoint_by_id[name].arrivals
        counted = [at for at in arrivals if at >= since]
        for start in counted:
            count = sum(start <= at < start + WINDOW_S for at in counted)
            worst = max(worst, count / allowed)
    return worst


def count_arrivals(cluster, names, start, end):
    return [
        sum(
            start <= at < end
            for at in cluster.pool.endpoint_by_id[name].arrivals
        )
        for name in names
    ]


def make_trainer_job(trainer, groups=16):
    """Return a job that has an owner of its own."""
    submission = entrybuilders.make_submission(f'job-{trainer}', groups)
    return dataclasses.replace(submission, model=trainer)


async def submit_jobs(cluster, count, groups=16):
    for number in range(count):
        job = make_trainer_job(f'trainer-{number}', groups)
        await cluster.submit(f'entry-{number % 3}', job)


def get_owners(cluster):
    node = next(
        entry.node for entry in cluster.entry_by_name.values() if entry.alive
    )
    return {record.owner_name for record, _ in node.jobs.get_records()}


@pytest.mark.parametrize('seed', range(4))
def test_engines_get_no_more_than_their_limit_from_all_owners(seed):
    async def scenario(cluster):
        set_limits(cluster, ENGINES)
        started_at = asyncio.get_running_loop().time()
        await submit_jobs(cluster, 6)
        assert len(get_owners(cluster)) > 1
        await asyncio.sleep(16)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, ENGINES, since) <= 1.0
        # A limit must not idle its engine.
        counts = count_arrivals(cluster, ENGINES, since, since + 12)
        assert min(counts) >= 0.85 * LIMIT_PER_S * 12

    entrybuilders.run_cluster(scenario, seed)


def test_single_busy_owner_uses_the_whole_limit():
    async def scenario(cluster):
        set_limits(cluster, ENGINES)
        started_at = asyncio.get_running_loop().time()
        await submit_jobs(cluster, 1, groups=40)
        assert len(get_owners(cluster)) == 1
        await asyncio.sleep(16)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, ENGINES, since) <= 1.0
        counts = count_arrivals(cluster, ENGINES, since, since + 12)
        assert min(counts) >= 0.85 * LIMIT_PER_S * 12

    entrybuilders.run_cluster(scenario, instances=9)


def test_limit_that_is_lifted_no_longer_slows_the_work():
    async def scenario(cluster):
        set_limits(cluster, ENGINES)
        await submit_jobs(cluster, 2, groups=40)
        await asyncio.sleep(8)
        set_limits(cluster, ENGINES, None)
        lifted_at = asyncio.get_running_loop().time()
        await asyncio.sleep(6)
        counts = count_arrivals(cluster, ENGINES, lifted_at + 2, lifted_at + 6)
        assert min(counts) >= 2 * LIMIT_PER_S * 4

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_across_a_kill_of_all_instances(seed):
    async def scenario(cluster):
        set_limits(cluster, ENGINES)
        started_at = asyncio.get_running_loop().time()
        await submit_jobs(cluster, 6)
        for pause_s in (6.0 + seed / 3, 3.0, 3.0):
            await asyncio.sleep(pause_s)
            for name in list(cluster.entry_by_name):
                cluster.kill(name)
            await asyncio.sleep(0.3)
            for number in range(3):
                cluster.start(f'entry-{number}')
        await asyncio.sleep(8)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, ENGINES, since) <= 1.0
        end = asyncio.get_running_loop().time()
        counts = count_arrivals(cluster, ENGINES, end - 6, end)
        assert min(counts) >= 0.75 * LIMIT_PER_S * 6

    entrybuilders.run_cluster(scenario, seed)


@pytest.mark.parametrize('seed', range(4))
def test_low_limit_is_known_right_after_a_kill_of_all_instances(seed):
    async def scenario(cluster):
        set_limits(cluster, ENGINES, 0.5)
        started_at = asyncio.get_running_loop().time()
        await submit_jobs(cluster, 6)
        await asyncio.sleep(7.0 + seed / 3)
        for name in list(cluster.entry_by_name):
            cluster.kill(name)
        await asyncio.sleep(0.3)
        for number in range(3):
            cluster.start(f'entry-{number}')
        await asyncio.sleep(8)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, ENGINES, since, 0.5) <= 1.0

    entrybuilders.run_cluster(scenario, seed)


@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_while_instances_cannot_reach_each_other(seed):
    async def scenario(cluster):
        set_limits(cluster, ENGINES)
        started_at = asyncio.get_running_loop().time()
        await submit_jobs(cluster, 6, groups=24)
        await asyncio.sleep(5)
        for entry in cluster.entry_by_name.values():
            entry.unreachable = True
        await asyncio.sleep(6)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, ENGINES, since) <= 1.0

    entrybuilders.run_cluster(scenario, seed)


@pytest.mark.parametrize('seed', range(4))
def test_orders_and_reports_fit_into_the_limit(seed):
    async def scenario(cluster):
        set_limits(cluster, ENGINES)
        for name in ENGINES:
            cluster.pool.endpoint_by_id[name].load_s = 3.5
        started_at = asyncio.get_running_loop().time()
        await submit_jobs(cluster, 3, groups=24)
        for version in range(2, 6):
            cluster.set_target_version(entrybuilders.MODEL, version)
            await asyncio.sleep(4.0)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, ENGINES, since) <= 1.0
        orders = [
            len(cluster.pool.endpoint_by_id[name].accepted_orders)
            for name in ENGINES
        ]
        assert min(orders) >= 1

    entrybuilders.run_cluster(scenario, seed)


@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_while_the_table_is_away(seed):
    async def scenario(cluster):
        started_at = asyncio.get_running_loop().time()
        set_limits(cluster, ENGINES)
        await submit_jobs(cluster, 6, groups=24)
        await asyncio.sleep(0.1 + seed * 0.4)
        cluster.service.down = True
        await asyncio.sleep(6)
        cluster.kill('entry-1')
        await asyncio.sleep(4)
        cluster.service.down = False
        await asyncio.sleep(8)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, ENGINES, since) <= 1.0
        counts = count_arrivals(cluster, ENGINES, since, since + 3)
        assert min(counts) >= 0.75 * LIMIT_PER_S * 3

    entrybuilders.run_cluster(scenario, seed)


async def send_requests(cluster, per_s, duration_s, path='/scores/1'):
    """Send requests to all instances in turn; return the statuses."""
    tasks = []
    names = list(cluster.entry_by_name)
    for number in range(int(per_s * duration_s)):
        name = names[number % len(names)]
        request = message.Request(
            'POST',
            path,
            (
                ('host', entrybuilders.HOST),
                ('attempt-id', f'r-{number}'),
                ('deadline-ms', '1500'),
            ),
            f'body {number}'.encode(),
        )
        handler = cluster.entry_by_name[name].node.ingress.handle
        tasks.append(asyncio.ensure_future(handler(request)))
        await asyncio.sleep(1 / per_s)
    replies = await asyncio.gather(*tasks)
    return [reply.status for reply in replies]


def test_plain_service_gets_no_more_than_its_limit_from_all_instances():
    async def scenario(cluster):
        set_limits(cluster, DESKS)
        started_at = asyncio.get_running_loop().time()
        statuses = await send_requests(cluster, 20, 14)
        since = started_at + SETTLE_S
        assert get_worst_window(cluster, DESKS, since) <= 1.0
        assert set(statuses) == {200, 503}
        counts = count_arrivals(cluster, DESKS, since, since + 10)
        assert min(counts) >= 0.85 * LIMIT_PER_S * 10

    entrybuilders.run_cluster(scenario, instances=9)


def test_callers_within_the_limit_are_all_served():
    async def scenario(cluster):
        set_limits(cluster, DESKS)
        statuses = await send_requests(cluster, 3, 14)
        assert statuses.count(200) >= 0.97 * len(statuses)

    entrybuilders.run_cluster(scenario, instances=9)
