"""Test usage reports under random faults of a whole cluster."""

import asyncio
import random

import pytest

from tests import usagebuilders

FAULTS = 12
# Lasts until all windows with requests are reported.
SETTLE_S = 25.0
TOLERANCE = 0.05
# At the borders of windows, and of the last half second of a killed instance.
ALLOWED = 3


async def disturb(cluster, api, rng):
    """Inject one fault and end it."""
    name = rng.choice(usagebuilders.get_live(cluster))
    entry = cluster.entry_by_name[name]
    faults = entry.client.faults
    kind = rng.choice(
        ['kill', 'lose', 'late', 'api', 'cut', 'table', 'skew', 'stale', 'own']
    )
    if kind == 'kill':
        name = usagebuilders.get_holder(cluster) or name
        cluster.kill(name)
        await asyncio.sleep(rng.choice([0.05, 0.3, 2.0, 5.0]))
        cluster.start(name)
    elif kind == 'lose':
        api.lost_answers += rng.randint(1, 3)
    elif kind == 'late':
        api.late_calls, api.late_s = 1, rng.uniform(0.5, 3.0)
    elif kind == 'api':
        api.down = True
        await asyncio.sleep(rng.uniform(1, 15))
        api.down = False
    elif kind == 'table':
        cluster.service.down = True
        await asyncio.sleep(rng.uniform(0.5, 10))
        cluster.service.down = False
    elif kind == 'skew':
        cluster.skew_ms_by_name = {name: rng.choice([-2000.0, 2000.0])}
    else:
        entry.duties.is_cut = kind == 'cut'
        faults.stale_s = rng.uniform(0.2, 3) if kind == 'stale' else 0.0
        faults.lose_answers = faults.late_writes = 0.2 * (kind == 'own')
        await asyncio.sleep(rng.uniform(1, 8))
        entry.duties.is_cut = False
        faults.stale_s = faults.lose_answers = faults.late_writes = 0.0


@pytest.mark.parametrize('checks_fences', [True, False])
@pytest.mark.parametrize('seed', range(3))
def test_each_window_has_one_report_that_is_nearly_complete(
    seed, checks_fences
):
    async def scenario(cluster, api, traffic):
        rng = random.Random(seed)
        await asyncio.sleep(6)
        sending = asyncio.ensure_future(traffic.run(1000.0))
        for _ in range(FAULTS):
            await asyncio.sleep(rng.uniform(0.5, 6))
            await disturb(cluster, api, rng)
        sending.cancel()
        ended_at = asyncio.get_running_loop().time()
        await asyncio.sleep(SETTLE_S)
        found = api.get_counts()
        reported = sorted(found)
        last = usagebuilders.get_window(ended_at)
        assert reported == list(range(reported[0], reported[-1] + 1))
        assert reported[-1] >= last
        for window in range(reported[2], last):
            expected = sum(traffic.counts[window].values())
            counted = sum(found[window].values())
            allowed = max(TOLERANCE * expected, ALLOWED)
            assert abs(counted - expected) <= allowed, window

    usagebuilders.run(
        scenario, instances=4, relays=True, checks_fences=checks_fences
    )
