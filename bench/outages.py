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
COMPLETION = {'model': 'spares-ordering', 'max_tokens': TOKENS}
# The stand-in engine generates 4 to 7 of 8 tokens.
MEAN_TOKENS = 5.5
CAPACITY_PER_S = ENGINES * SLOTS * 1000 / (MEAN_TOKENS * TOKEN_MS)


def measure_overload(seed: int) -> list[target.Outcome]:
    """Offer twice the capacity; measure goodput and refusals."""
    generator = virtualloop.run(_run_overload(seed))
    end_ms = min(call.started_ms for call in generator.calls) + RUN_S * 1000
    answered = [
        call
        for call in generator.calls
        if call.status == 200 and call.started_ms + call.took_ms <= end_ms
    ]
    refused = [call for call in generator.calls if call.status != 200]
    goodput = len(answered) / RUN_S / CAPACITY_PER_S
    waits = [call.took_ms / TIMEOUT_MS for call in refused]
    not_run = sum(call.verdict == 'not-run' for call in refused)
    return [
        target.Outcome(GOODPUT_TARGET, goodput),
        target.Outcome(EARLY_TARGET, load.get_percentile(waits, 99)),
        target.Outcome(NOT_RUN_TARGET, not_run / max(1, len(refused))),
    ]


def measure_retries(seed: int) -> list[target.Outcome]:
    """Count the extra runs of engines while half of their work fails."""
    extra_percent = virtualloop.run(_run_retries(seed))
    return [target.Outcome(RETRY_TARGET, extra_percent)]


def measure_poison(seed: int) -> list[target.Outcome]:
    """Count the engines that one repeated request crashes."""
    lost_engines = virtualloop.run(_run_poison(seed))
    return [target.Outcome(POISON_TARGET, lost_engines)]


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
    sim_cluster = await _build(seed)
    generator = load.Load(sim_cluster, seed)
    shape = load.Shape('short', 1.0, '/v1/completions', COMPLETION)
    await generator.run(2 * CAPACITY_PER_S, RUN_S, [shape])
    return generator


async def _run_retries(seed: int) -> float:
    sim_cluster = await _build(seed)
    for engine in sim_cluster.engine_by_name.values():
        engine.app.faults['fail_share'] = 0.5
    generator = load.Load(sim_cluster, seed)
    shape = load.Shape('short', 1.0, '/v1/completions', COMPLETION)
    await generator.run(RETRY_PER_S, RUN_S, [shape])
    run_count = sum(
        len(engine.ran) for engine in sim_cluster.engine_by_name.values()
    )
    request_count = len(
        {
            request_id.rpartition('.')[0]
            for engine in sim_cluster.engine_by_name.values()
            for request_id in engine.ran
        }
    )
    return 100 * (run_count - request_count) / request_count


async def _run_poison(seed: int) -> int:
    sim_cluster = await _build(seed, engines=7)
    body = {**COMPLETION, 'prompt': 'POISON'}
    for index in range(60):
        name = f'entry-{index % deployment.ENTRIES}'
        await sim_cluster.send_request(name, 'POST', '/v1/completions', body)
        await asyncio.sleep(1)
    return len(sim_cluster.network.refused)
