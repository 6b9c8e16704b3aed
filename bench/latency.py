"""Measure tail latency with slow endpoints and with mixed work."""

import asyncio

from bench import deployment
from bench import load
from bench import target
from standins import virtualloop

__all__ = ['measure_short_behind_long', 'measure_slow_endpoint']

SLOW_TARGET = target.Target(
    'p99 with 1 of 5 endpoints at 10x, over p99 with all healthy', 1.5, 'x'
)
SHORT_TARGET = target.Target(
    'p99 of short work at 70% load, over its p99 unloaded', 2.0, 'x'
)
LONG_TARGET = target.Target(
    'long work that finishes at 70% load', 0.99, 'share', True
)
POLICIES = ('two-choices', 'round-robin', 'least-reported-load')
SLOW_FACTOR = 10.0
SLOW_WORK_MS = 40.0
SLOW_PER_S = 150.0
SLOW_RUN_S = 120.0
LONG_TOKENS = 200
SHORT_TOKENS = 4
TOKEN_MS = 20.0
LONG_SLOTS = 24
LONG_LOAD = 0.7
LONG_RUN_S = 90.0
MEMBER_QUERY = load.Shape('short', 1.0, '/services/members/members/17', None)


def measure_slow_endpoint(seed: int) -> list[target.Outcome]:
    """Compare policies while one of five endpoints is slow."""
    ratios = {}
    for policy in POLICIES:
        healthy = virtualloop.run(_run_slow(policy, seed, 1.0))
        slow = virtualloop.run(_run_slow(policy, seed, SLOW_FACTOR))
        ratios[policy] = slow / healthy
    return [_compare(SLOW_TARGET, ratios)]


def measure_short_behind_long(seed: int) -> list[target.Outcome]:
    """Compare policies with a tenth of the requests 50 times longer."""
    ratios = {}
    finished = {}
    for policy in POLICIES:
        unloaded, _ = virtualloop.run(_run_mixed(policy, seed, 0.0))
        mixed, share = virtualloop.run(_run_mixed(policy, seed, LONG_LOAD))
        ratios[policy] = mixed / unloaded
        finished[policy] = share
    return [
        _compare(SHORT_TARGET, ratios),
        _compare(LONG_TARGET, finished),
    ]


def _compare(
    compared: target.Target, by_policy: dict[str, float]
) -> target.Outcome:
    product_value = by_policy.pop(POLICIES[0])
    return target.Outcome(compared, product_value, by_policy)


def _is_baseline(policy: str) -> bool:
    return policy != POLICIES[0]


async def _run_slow(policy: str, seed: int, factor: float) -> float:
    value = deployment.read_example('al-nakheel')
    pool = value['pools']['ledger-desk']
    pool['policy'] = policy
    pool['ejects_slow_endpoints'] = not _is_baseline(policy)
    value['services']['members']['max_in_progress_per_caller'] = 1000
    sim_cluster = await deployment.build(
        'al-nakheel', value, {}, {'ledger-desk': 5}, seed, work_ms=SLOW_WORK_MS
    )
    slow_service = sim_cluster.service_by_name['ledger-desk-0']
    slow_service.app.faults['slow_factor'] = factor
    generator = load.Load(sim_cluster, seed)
    await generator.run(SLOW_PER_S, SLOW_RUN_S, [MEMBER_QUERY])
    return load.get_percentile(generator.get_latencies('short'), 99)


async def _run_mixed(
    policy: str, seed: int, share_of_slots: float
) -> tuple[float, float]:
    value = deployment.read_example('sinaleira')
    pool = value['pools']['spares-engines']
    pool['policy'] = policy
    if _is_baseline(policy):
        pool['ejects_slow_endpoints'] = False
        pool['long_percent'] = 100
    value['services']['spares-ordering']['timeout_ms'] = 60_000
    value['services']['spares-ordering']['max_in_progress_per_caller'] = 1000
    sim_cluster = await deployment.build(
        'sinaleira',
        value,
        {'spares-engines': 3},
        {'order-desk': 1},
        seed,
        token_ms=TOKEN_MS,
        load_lag_ms=5000.0,
    )
    generator = load.Load(sim_cluster, seed)
    shapes, per_s = _make_mix(share_of_slots)
    await generator.run(per_s, LONG_RUN_S, shapes)
    await asyncio.sleep(1)
    long_calls = [call for call in generator.calls if call.kind == 'long']
    succeeded = sum(call.status == 200 for call in long_calls)
    short = generator.get_latencies('short', 10_000)
    share = succeeded / len(long_calls) if long_calls else 1.0
    return load.get_percentile(short, 99), share


def _make_mix(share_of_slots: float) -> tuple[list[load.Shape], float]:
    short = _make_shape('short', 0.9, SHORT_TOKENS)
    if share_of_slots == 0:
        return [short], 5.0
    long = _make_shape('long', 0.1, LONG_TOKENS)
    # The stand-in engine generates between half and all of max_tokens.
    mean_ms = (0.9 * SHORT_TOKENS + 0.1 * LONG_TOKENS) * TOKEN_MS * 0.75
    return [short, long], share_of_slots * LONG_SLOTS * 1000 / mean_ms


def _make_shape(kind: str, weight: float, tokens: int) -> load.Shape:
    body = {'model': 'spares-ordering', 'max_tokens': tokens}
    return load.Shape(kind, weight, '/v1/completions', body)
