"""Prove what trainers are promised, under random faults."""

import asyncio
import itertools
import json
import random

import hypothesis
from hypothesis import strategies as st

from standins import cluster
from standins import virtualloop
from tests import builders
from tests.scenarios import faults

STEPS = 4
BOUND = 1
ASK_TIMEOUT_S = 15.0
LAST_FAULT_MS = 12_000
RUN_LIMIT_S = 240.0


class TrainerRun:
    """Hold the batches that a trainer got at different instances."""

    def __init__(self, built: cluster.Cluster, seed: int):
        self.built = built
        self.rng = random.Random(seed)
        self.batches_by_step: dict[int, list[dict]] = {}

    def pick(self) -> str:
        """Return an instance that is not dead."""
        live = [
            name
            for name, member in self.built.member_by_name.items()
            if not member.gate.dead
        ]
        return self.rng.choice(live)

    async def ask_until_there(self, step: int) -> None:
        """Ask at random instances until one gives the batch."""
        while True:
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    status, body = await builders.request_batch(
                        self.built, self.pick(), step
                    )
            except TimeoutError:
                continue
            if status == 200:
                self.batches_by_step.setdefault(step, []).append(body)
                return
            await asyncio.sleep(0.3)

    async def publish_until_done(self, version: int) -> None:
        """Publish at random instances until one accepts."""
        while True:
            try:
                async with asyncio.timeout(ASK_TIMEOUT_S):
                    status = await builders.publish(
                        self.built, self.pick(), version
                    )
            except TimeoutError:
                continue
            if status == 200:
                return
            await asyncio.sleep(0.3)

    async def run(self) -> None:
        """Ask twice for each step and publish while it is made."""
        for step in range(1, STEPS + 1):
            async with asyncio.TaskGroup() as group:
                group.create_task(self.ask_until_there(step))
                group.create_task(self.ask_until_there(step))
                group.create_task(self.publish_until_done(step + 1))


def check(run: TrainerRun) -> None:
    """Assert on what trainer, engines and table saw."""
    seen: set[str] = set()
    for step in range(1, STEPS + 1):
        first, second = run.batches_by_step[step]
        assert first == second
        ids = [one['id'] for one in get_samples(first)]
        assert len(ids) == len(set(ids))
        assert not seen & set(ids)
        seen.update(ids)
        for one in get_samples(first):
            check_sample(run.built, one)
        check_staleness(run.built, step, first)
    batches = [run.batches_by_step[step][0] for step in range(1, STEPS + 1)]
    check_carried(batches)


def check_carried(batches: list[dict]) -> None:
    """Assert that a carried group comes up in the next batch."""
    for before, after in itertools.pairwise(batches):
        known = {group['id'] for group in after['groups']}
        known.update(after['carried_groups'])
        known.update(one['id'] for one in after['failed_groups'])
        assert set(before['carried_groups']) <= known


def get_samples(body: dict) -> list[dict]:
    """Return all samples of a batch."""
    return [one for group in body['groups'] for one in group['samples']]


def check_sample(built: cluster.Cluster, one: dict) -> None:
    """Assert that the engine produced just what the sample names."""
    produced = []
    for engine in built.engine_by_name.values():
        produced += engine.versions_by_request.get(one['request_id'], [])
    named = []
    for part in one['segments']:
        named += [part['version']] * part['tokens']
    assert produced == named, one
    assert one['weight_versions'] == sorted(set(produced))


def check_staleness(built: cluster.Cluster, step: int, body: dict) -> None:
    """Assert on the order in which the table applied its writes."""
    published = 1
    for key, value in built.table.log:
        if key == 'published/learner':
            published = json.loads(value)['version']
        if key == f'batch/learner/{step}':
            break
    assert body['published_version'] == published
    for one in get_samples(body):
        assert min(one['weight_versions']) >= published - BOUND


@hypothesis.given(
    seed=st.integers(0, 1000),
    checks_fencing=st.booleans(),
    share=st.sampled_from((50, 100)),
    plan=faults.make_faults(faults.FAULT_KINDS, LAST_FAULT_MS, 8),
)
def test_batches_under_random_faults(seed, checks_fencing, share, plan):
    async def main() -> None:
        text = builders.make_configuration_text(
            trainer={'hand_over_percent': share}
        )
        built = await builders.start_cluster(
            seed, checks_fencing=checks_fencing, text=text, token_ms=60.0
        )
        run = TrainerRun(built, seed)
        tasks = [
            asyncio.ensure_future(faults.inject(built, one)) for one in plan
        ]
        asyncio.get_running_loop().call_later(
            LAST_FAULT_MS / 1000 + 8, faults.mend, built
        )
        async with asyncio.timeout(RUN_LIMIT_S):
            await run.run()
        check(run)
        for task in tasks:
            task.cancel()

    virtualloop.run(main())
