"""Measure the shares of trainers on engines that they have in common."""

import asyncio

from bench import deployment
from bench import target
from bench import training
from standins import cluster
from standins import virtualloop

__all__ = ['measure_shares']

SHARE_TARGET = target.Target(
    'largest error of a trainer share on shared engines', 5.0, '%'
)
UNUSED_TARGET = target.Target(
    'slots in use while only one trainer asks', 0.90, 'share', True
)
ENGINES = 4
TOKEN_MS = 20.0
SHARES = {'first': 1.0, 'second': 2.0, 'third': 5.0}
SHARE_RUN_S = 60.0


def measure_shares(seed: int) -> list[target.Outcome]:
    """Compare what trainers got with their shares."""
    error = virtualloop.run(_run_shares(seed))
    used = virtualloop.run(_run_unused(seed))
    return [
        target.Outcome(SHARE_TARGET, error),
        target.Outcome(UNUSED_TARGET, used),
    ]


def _read_shares() -> dict:
    value = deployment.read_example('sinaleira')
    base = value['trainers'].pop('part-matching-trainer')
    models = [f'model-{name}' for name in SHARES]
    value['pools']['part-engines']['models'] += models
    value['pools']['part-engines']['sample_percent'] = 75
    for name, share in SHARES.items():
        model = f'model-{name}'
        start = f'{name}-start'
        value['weight_versions'][start] = {
            'model': model,
            'number': 1,
            'object': start,
        }
        value['trainers'][name] = {
            **base,
            'model': model,
            'start_weights': start,
            'share': share,
            'group_size': 16,
            'max_tokens': 16,
        }
    return value


async def _build_shares(seed: int) -> cluster.Cluster:
    built = await deployment.build(
        'sinaleira',
        _read_shares(),
        {'part-engines': ENGINES},
        {'order-desk': 2},
        seed,
        token_ms=TOKEN_MS,
    )
    await asyncio.sleep(5)
    return built


async def _run_shares(seed: int) -> float:
    built = await _build_shares(seed)
    runs = [training.TrainerRun(built, name, 400) for name in SHARES]
    asks = [asyncio.ensure_future(one.ask(1)) for one in runs]
    await asyncio.sleep(5)
    before = _count_made(built)
    await asyncio.sleep(SHARE_RUN_S)
    after = _count_made(built)
    for one in asks:
        one.cancel()
    made = {name: after[name] - before[name] for name in SHARES}
    total = sum(made.values())
    whole = sum(SHARES.values())
    return max(
        100 * abs(made[name] / total - share / whole) / (share / whole)
        for name, share in SHARES.items()
    )


def _count_made(built: cluster.Cluster) -> dict[str, float]:
    made = dict.fromkeys(SHARES, 0.0)
    for member in built.member_by_name.values():
        for state in member.context.duties.batches_by_name.values():
            for name, share in SHARES.items():
                used = state.fairness.used_by_trainer.get(name, 0.0)
                made[name] += used * share
    return made


async def _run_unused(seed: int) -> float:
    built = await _build_shares(seed)
    run = training.TrainerRun(built, 'first', 200)
    ask = asyncio.ensure_future(run.ask(1))
    await asyncio.sleep(3)
    looks = []
    for _ in range(100):
        running = sum(one.running for one in built.engine_by_name.values())
        looks.append(running / (ENGINES * 6))
        await asyncio.sleep(0.1)
    ask.cancel()
    return sum(looks) / len(looks)
