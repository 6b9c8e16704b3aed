"""Measure overload, retries in an outage and poison requests."""

import asyncio

from bench import deployment
from bench import load
from bench import target
from standins import virtualloop

__all__ = ['measure_overload', 'measure_poison', 'measure_retries']

GOODPUT_TARGET = target.Target(
    'goodput at an overload of 2x, of capacity', 0.90, 'share', True
)
EARLY_TARGET = target.Target(
    'p99 time to a refusal in overload, of the timeout', 0.25, 'share'
)
NOT_RUN_TARGET = target.Target(
    'refusals in overload that say "not run"', 1.0, 'share', True
)
RETRY_TARGET = target.Target(
    'load that retries add while every engine fails half of its work',
    20.0,
    '%',
)
POISON_TARGET = target.Target(
    'engines lost to one poison request, sent again for a minute',
    2,
    'engines',
)
ENGINES = 3
SLOTS = 8
TOKENS = 8
TOKEN_MS = 40.0
TIMEOUT_MS = 4000
RUN_S = 40.0
RETRY_PER_S = 30.0
ASK = {'model': 'spares-ordering', 'max_tokens': TOKENS}
# The stand-in engine makes 4 to 7 of 8 tokens.
MEAN_TOKENS = 5.5
CAPACITY_PER_S = ENGINES * SLOTS * 1000 / (MEAN_TOKENS * TOKEN_MS)


def measure_overload(seed: int) -> list[target.Outcome]:
    """Offer twice the capacity and look at answers and refusals."""
    run = virtualloop.run(_run_overload(seed))
    end_ms = min(one.began_ms for one in run.calls) + RUN_S * 1000
    answered = [
        one
        for one in run.calls
        if one.status == 200 and one.began_ms + one.took_ms <= end_ms
    ]
    refused = [one for one in run.calls if one.status != 200]
    goodput = len(answered) / RUN_S / CAPACITY_PER_S
    waits = [one.took_ms / TIMEOUT_MS for one in refused]
    not_run = sum(one.verdict == 'not-run' for one in refused)
    return [
        target.Outcome(GOODPUT_TARGET, goodput),
        target.Outcome(EARLY_TARGET, load.get_percentile(waits, 99)),
        target.Outcome(NOT_RUN_TARGET, not_run / max(1, len(refused))),
    ]


def measure_retries(seed: int) -> list[target.Outcome]:
    """Count what the engines see while half of their work fails."""
    share = virtualloop.run(_run_retries(seed))
    return [target.Outcome(RETRY_TARGET, share)]


def measure_poison(seed: int) -> list[target.Outcome]:
    """Count the engines that one content brings down."""
    lost = virtualloop.run(_run_poison(seed))
    return [target.Outcome(POISON_TARGET, lost)]


async def _build(seed: int, engines: int = ENGINES):
    value = deployment.read_example('sinaleira')
    service = value['services']['spares-ordering']
    service['timeout_ms'] = TIMEOUT_MS
    service['max_in_progress_per_caller'] = 10_000
    return await deployment.build(
        'sinaleira',
        value,
        {'spares-engines': engines},
        {'order-desk': 1},
        seed,
        token_ms=TOKEN_MS,
    )


async def _run_overload(seed: int) -> load.Load:
    built = await _build(seed)
    run = load.Load(built, seed)
    shape = load.Shape('short', 1.0, '/v1/completions', ASK)
    await run.run(2 * CAPACITY_PER_S, RUN_S, [shape])
    return run


async def _run_retries(seed: int) -> float:
    built = await _build(seed)
    for one in built.engine_by_name.values():
        one.app.faults['fail_share'] = 0.5
    run = load.Load(built, seed)
    shape = load.Shape('short', 1.0, '/v1/completions', ASK)
    await run.run(RETRY_PER_S, RUN_S, [shape])
    started = sum(len(one.ran) for one in built.engine_by_name.values())
    first = len(
        {
            request.rpartition('.')[0]
            for one in built.engine_by_name.values()
            for request in one.ran
        }
    )
    return 100 * (started - first) / first


async def _run_poison(seed: int) -> int:
    built = await _build(seed, engines=7)
    body = {**ASK, 'prompt': 'POISON'}
    for index in range(60):
        name = f'entry-{index % deployment.ENTRIES}'
        await built.send_request(name, 'POST', '/v1/completions', body)
        await asyncio.sleep(1)
    return len(built.network.refused)
