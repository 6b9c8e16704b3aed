"""Measure how shared engines are divided between trainers."""

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
UTILISATION_TARGET = target.Target(
    'slots in use while only one trainer asks', 0.90, 'share', True
)
ENGINES = 4
TOKEN_MS = 20.0
SHARE_BY_TRAINER = {'first': 1.0, 'second': 2.0, 'third': 5.0}
SHARE_RUN_S = 60.0


def measure_shares(seed: int) -> list[target.Outcome]:
    """Compare the trainers' use of engines with their shares."""
    error = virtualloop.run(_run_shares(seed))
    used = virtualloop.run(_run_single_trainer(seed))
    return [
        target.Outcome(SHARE_TARGET, error),
        target.Outcome(UTILISATION_TARGET, used),
    ]


def _read_shares() -> dict:
    value = deployment.read_example('sinaleira')
    base = value['trainers'].pop('part-matching-trainer')
    models = [f'model-{name}' for name in SHARE_BY_TRAINER]
    value['pools']['part-engines']['models'] += models
    value['pools']['part-engines']['sample_percent'] = 75
    for name, share in SHARE_BY_TRAINER.items():
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
    sim_cluster = await deployment.build(
        'sinaleira',
        _read_shares(),
        {'part-engines': ENGINES},
        {'order-desk': 2},
        seed,
        token_ms=TOKEN_MS,
    )
    await asyncio.sleep(5)
    return sim_cluster


async def _run_shares(seed: int) -> float:
    sim_cluster = await _build_shares(seed)
    runs = [
        training.TrainerRun(sim_cluster, name, 400)
        for name in SHARE_BY_TRAINER
    ]
    requests = [asyncio.ensure_future(run.request_batch(1)) for run in runs]
    await asyncio.sleep(5)
    before = _get_usage_by_trainer(sim_cluster)
    await asyncio.sleep(SHARE_RUN_S)
    after = _get_usage_by_trainer(sim_cluster)
    for request in requests:
        request.cancel()
    used_by_trainer = {
        name: after[name] - before[name] for name in SHARE_BY_TRAINER
    }
    total = sum(used_by_trainer.values())
    share_sum = sum(SHARE_BY_TRAINER.values())
    return max(
        100
        * abs(used_by_trainer[name] / total - share / share_sum)
        / (share / share_sum)
        for name, share in SHARE_BY_TRAINER.items()
    )


def _get_usage_by_trainer(sim_cluster: cluster.Cluster) -> dict[str, float]:
    used_by_trainer = dict.fromkeys(SHARE_BY_TRAINER, 0.0)
    for member in sim_cluster.member_by_name.values():
        for state in member.context.duties.batches_by_name.values():
            for name, share in SHARE_BY_TRAINER.items():
                used = state.fairness.used_by_trainer.get(name, 0.0)
                used_by_trainer[name] += used * share
    return used_by_trainer


async def _run_single_trainer(seed: int) -> float:
    sim_cluster = await _build_shares(seed)
    run = training.TrainerRun(sim_cluster, 'first', 200)
    request = asyncio.ensure_future(run.request_batch(1))
    await asyncio.sleep(3)
    used_shares = []
    for _ in range(100):
        running = sum(
            engine.running for engine in sim_cluster.engine_by_name.values()
        )
        used_shares.append(running / (ENGINES * 6))
        await asyncio.sleep(0.1)
    request.cancel()
    return sum(used_shares) / len(used_shares)
