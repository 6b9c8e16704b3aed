"""Measure trainer idle time and staleness."""

import asyncio
import dataclasses
import json

from bench import deployment
from bench import target
from standins import cluster
from standins import virtualloop

__all__ = [
    'TrainerRun',
    'measure_idle_time',
    'measure_staleness',
    'read_example',
]

IDLE_TARGET = target.Target(
    'trainer wait over the bound of work and slots, 2 stragglers in 16',
    1.10,
    'x',
)
STALE_TARGET = target.Target(
    'samples handed over beyond the staleness bound', 0, 'samples'
)
DISCARDED_TARGET = target.Target(
    'finished samples thrown away, new weights every 3 minutes', 2.0, '%'
)
ENGINES = 4
IDLE_GROUPS = 32
IDLE_GROUP_SIZE = 16
IDLE_TOKENS = 16
TOKEN_MS = 20.0
STRAGGLE_SHARE = 2 / 16
STEPS = 3
RETRY_PAUSE_S = 0.05
STALE_TOKEN_MS = 400.0
STALE_RUN_S = 900.0
PUBLISH_EVERY_S = 180.0


@dataclasses.dataclass(slots=True)
class TrainerRun:
    """The batches of one trainer and its total waiting time."""

    sim_cluster: cluster.Cluster
    name: str
    prompts: int
    batches: list[dict] = dataclasses.field(default_factory=list)
    waited_ms: float = 0.0

    async def request_batch(self, step: int) -> dict:
        """Request the batch of a step, and retry until it is complete."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        prompts = [
            f'{self.name} {step} {index}' for index in range(self.prompts)
        ]
        path = f'/trainers/{self.name}/batches/{step}'
        while True:
            reply = await self.sim_cluster.send_request(
                'entry-1', 'POST', path, {'prompts': prompts}
            )
            if reply.status == 200:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        self.waited_ms += (loop.time() - started_s) * 1000
        batch = json.loads(reply.body)
        self.batches.append(batch)
        return batch


def measure_idle_time(seed: int) -> list[target.Outcome]:
    """Compare the wait for batches with the bound of work and slots."""
    with_races = virtualloop.run(_run_idle(seed, 100, True))
    without_races = virtualloop.run(_run_idle(seed, 100, False))
    return [
        target.Outcome(IDLE_TARGET, with_races, {'no races': without_races})
    ]


def measure_staleness(seed: int) -> list[target.Outcome]:
    """Count stale and discarded samples over many weight changes."""
    stale, discarded = virtualloop.run(_run_staleness(seed))
    return [
        target.Outcome(STALE_TARGET, stale),
        target.Outcome(DISCARDED_TARGET, discarded),
    ]


def _get_samples(batch: dict) -> list[dict]:
    return [sample for group in batch['groups'] for sample in group['samples']]


def _count_tokens(samples: list[dict]) -> int:
    return sum(
        segment['tokens']
        for sample in samples
        for segment in sample['segments']
    )


def read_example(changes: dict) -> dict:
    """Return Sinaleira's example configuration with trainer changes."""
    value = deployment.read_example('sinaleira')
    value['pools']['part-engines']['sample_percent'] = 75
    value['trainers']['part-matching-trainer'].update(changes)
    return value


async def _run_idle(seed: int, share: int, races: bool) -> float:
    value = read_example(
        {
            'group_size': IDLE_GROUP_SIZE,
            'max_tokens': IDLE_TOKENS,
            'hand_over_percent': share,
            'race_percent': 10 if races else 0,
        }
    )
    sim_cluster = await deployment.build(
        'sinaleira',
        value,
        {'part-engines': ENGINES},
        {'order-desk': 2},
        seed,
        token_ms=TOKEN_MS,
        straggle_share=STRAGGLE_SHARE,
    )
    run = TrainerRun(sim_cluster, 'part-matching-trainer', IDLE_GROUPS)
    for step in range(1, STEPS + 1):
        await run.request_batch(step)
    slots = ENGINES * 6
    tokens = sum(_count_tokens(_get_samples(batch)) for batch in run.batches)
    mean_slowdown = 1 + STRAGGLE_SHARE * 7
    bound_ms = tokens * TOKEN_MS * mean_slowdown / slots
    return run.waited_ms / bound_ms


async def _run_staleness(seed: int) -> tuple[int, float]:
    value = read_example({'group_size': 8, 'max_tokens': 64})
    sim_cluster = await deployment.build(
        'sinaleira',
        value,
        {'part-engines': ENGINES},
        {'order-desk': 2},
        seed,
        token_ms=STALE_TOKEN_MS,
        entries=3,
        load_ms=5000.0,
    )
    run = TrainerRun(sim_cluster, 'part-matching-trainer', 8)
    publisher = asyncio.ensure_future(_publish(sim_cluster))
    loop = asyncio.get_running_loop()
    end = loop.time() + STALE_RUN_S
    step = 0
    while loop.time() < end:
        step += 1
        await run.request_batch(step)
    publisher.cancel()
    stale = sum(
        min(sample['weight_versions']) < batch['published_version'] - 1
        for batch in run.batches
        for sample in _get_samples(batch)
    )
    handed_over = sum(len(_get_samples(batch)) for batch in run.batches)
    discarded = _count_discarded(sim_cluster)
    return stale, 100 * discarded / (handed_over + discarded)


async def _publish(sim_cluster: cluster.Cluster) -> None:
    version = 1
    while True:
        await asyncio.sleep(PUBLISH_EVERY_S)
        version += 1
        body = {'version': version, 'object': f'w{version}'}
        path = '/trainers/part-matching-trainer/weights'
        await sim_cluster.send_request('entry-2', 'POST', path, body)


def _count_discarded(sim_cluster: cluster.Cluster) -> int:
    total = 0
    for member in sim_cluster.member_by_name.values():
        for event in member.context.log.events:
            if event.kind == 'samples-thrown-away':
                total += int(event.detail)
    return total
