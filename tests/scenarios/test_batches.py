"""Test the guarantees for trainers under random faults."""

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

STEP_COUNT = 4
MAX_STALENESS_VERSIONS = 1
REQUEST_TIMEOUT_S = 15.0
LAST_FAULT_MS = 12_000
RUN_LIMIT_S = 240.0


class TrainerRun:
    """Run a trainer against all instances and record its batches."""

    def __init__(self, sim_cluster: cluster.Cluster, seed: int):
        self.sim_cluster = sim_cluster
        self.rng = random.Random(seed)
        self.batches_by_step: dict[int, list[dict]] = {}

    def pick_entry(self) -> str:
        """Return the name of a random live instance."""
        live_names = [
            name
            for name, member in self.sim_cluster.member_by_name.items()
            if not member.gate.dead
        ]
        return self.rng.choice(live_names)

    async def request_until_ready(self, step: int) -> None:
        """Request the batch from random instances until one returns it."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    status, body = await builders.request_batch(
                        self.sim_cluster, self.pick_entry(), step
                    )
            except TimeoutError:
                continue
            if status == 200:
                self.batches_by_step.setdefault(step, []).append(body)
                return
            await asyncio.sleep(0.3)

    async def publish_until_accepted(self, version: int) -> None:
        """Publish through random instances until one accepts."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    status = await builders.publish(
                        self.sim_cluster, self.pick_entry(), version
                    )
            except TimeoutError:
                continue
            if status == 200:
                return
            await asyncio.sleep(0.3)

    async def run(self) -> None:
        """Request each step twice while publishing the next version."""
        for step in range(1, STEP_COUNT + 1):
            async with asyncio.TaskGroup() as group:
                group.create_task(self.request_until_ready(step))
                group.create_task(self.request_until_ready(step))
                group.create_task(self.publish_until_accepted(step + 1))


def check_run(run: TrainerRun) -> None:
    """Compare the batches with the records of engines and table."""
    delivered_ids: set[str] = set()
    for step in range(1, STEP_COUNT + 1):
        first, second = run.batches_by_step[step]
        assert first == second
        ids = [sample['id'] for sample in get_samples(first)]
        assert len(ids) == len(set(ids))
        assert not delivered_ids & set(ids)
        delivered_ids.update(ids)
        for sample in get_samples(first):
            check_sample(run.sim_cluster, sample)
        check_staleness(run.sim_cluster, step, first)
    batches = [
        run.batches_by_step[step][0] for step in range(1, STEP_COUNT + 1)
    ]
    check_carried(batches)


def check_carried(batches: list[dict]) -> None:
    """Assert that each carried group is listed in the next batch."""
    for earlier, later in itertools.pairwise(batches):
        accounted_ids = {group['id'] for group in later['groups']}
        accounted_ids.update(later['carried_groups'])
        accounted_ids.update(group['id'] for group in later['failed_groups'])
        assert set(earlier['carried_groups']) <= accounted_ids


def get_samples(body: dict) -> list[dict]:
    """Return all samples of a batch."""
    return [sample for group in body['groups'] for sample in group['samples']]


def check_sample(sim_cluster: cluster.Cluster, sample: dict) -> None:
    """Assert that the sample names the versions that generated it."""
    actual_versions = []
    for engine in sim_cluster.engine_by_name.values():
        actual_versions += engine.versions_by_request.get(
            sample['request_id'], []
        )
    reported_versions = []
    for segment in sample['segments']:
        reported_versions += [segment['version']] * segment['tokens']
    assert actual_versions == reported_versions, sample
    assert sample['weight_versions'] == sorted(set(actual_versions))


def check_staleness(
    sim_cluster: cluster.Cluster, step: int, body: dict
) -> None:
    """Assert the staleness bound in the write order of the table."""
    published = 1
    for key, value in sim_cluster.table.log:
        if key == 'published/learner':
            published = json.loads(value)['version']
        if key == f'batch/learner/{step}':
            break
    assert body['published_version'] == published
    for sample in get_samples(body):
        assert (
            min(sample['weight_versions'])
            >= published - MAX_STALENESS_VERSIONS
        )


@hypothesis.given(
    seed=st.integers(0, 1000),
    checks_fencing=st.booleans(),
    hand_over_percent=st.sampled_from((50, 100)),
    fault_plan=faults.make_faults(faults.FAULT_KINDS, LAST_FAULT_MS, 8),
)
def test_batches_under_random_faults(
    seed, checks_fencing, hand_over_percent, fault_plan
):
    async def main() -> None:
        text = builders.make_configuration_text(
            trainer={'hand_over_percent': hand_over_percent}
        )
        sim_cluster = await builders.start_cluster(
            seed, checks_fencing=checks_fencing, text=text, token_ms=60.0
        )
        run = TrainerRun(sim_cluster, seed)
        tasks = [
            asyncio.ensure_future(faults.inject(sim_cluster, fault))
            for fault in fault_plan
        ]
        asyncio.get_running_loop().call_later(
            LAST_FAULT_MS / 1000 + 8, faults.clear_faults, sim_cluster
        )
        async with asyncio.timeout(RUN_LIMIT_S):
            await run.run()
        check_run(run)
        for task in tasks:
            task.cancel()

    virtualloop.run(main())
