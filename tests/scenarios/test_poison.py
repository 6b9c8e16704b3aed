"""Test that a poison request crashes at most two endpoints."""

import asyncio
import json

import hypothesis
from hypothesis import strategies as st

from pomelopass.core import quarantine
from standins import cluster
from standins import virtualloop
from tests import builders

MAX_CRASHES = 2
POISON = {'model': 'matching', 'prompt': 'POISON', 'max_tokens': 8}
HARMLESS = {'model': 'matching', 'prompt': 'harmless', 'max_tokens': 8}


async def send(
    sim_cluster: cluster.Cluster, name: str, body: dict
) -> tuple[int, dict]:
    """Send a completion request; return status and body."""
    reply = await sim_cluster.send_request(
        name, 'POST', '/v1/completions', body
    )
    return reply.status, json.loads(reply.body)


@hypothesis.given(
    seed=st.integers(0, 1000),
    gaps_ms=st.lists(st.integers(0, 3000), min_size=1, max_size=12),
    stores_down=st.booleans(),
)
def test_resent_poison_request_crashes_at_most_two_endpoints(
    seed, gaps_ms, stores_down
):
    async def main() -> None:
        sim_cluster = await builders.start_cluster(seed, engines=5)
        if stores_down:
            sim_cluster.table.app.faults['down'] = 1
            sim_cluster.objects.app.faults['down'] = 1
        for index, gap_ms in enumerate(gaps_ms):
            await send(sim_cluster, f'entry-{index % 3}', POISON)
            await asyncio.sleep(gap_ms / 1000)
        assert len(sim_cluster.network.refused) <= MAX_CRASHES
        status, _ = await send(sim_cluster, 'entry-1', HARMLESS)
        assert status == 200

    virtualloop.run(main())


def test_every_instance_refuses_a_quarantined_request_as_not_run():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=4)
        _, first = await send(sim_cluster, 'entry-0', POISON)
        assert first['code'] == 'quarantined'
        assert first['verdict'] == 'may-have-run'
        await asyncio.sleep(1)
        for name in sim_cluster.member_by_name:
            status, body = await send(sim_cluster, name, POISON)
            assert status == 422
            assert body['verdict'] == 'not-run'
        assert len(sim_cluster.network.refused) == MAX_CRASHES

    virtualloop.run(main())


def test_crash_counts_if_the_dying_process_still_accepts_a_connection():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=4)
        sim_cluster.network.resets_after_exit = 1
        codes = [
            (await send(sim_cluster, name, POISON))[1]['code']
            for name in sim_cluster.member_by_name
        ]
        assert codes == ['quarantined'] * len(codes)
        assert len(sim_cluster.network.refused) == MAX_CRASHES

    virtualloop.run(main())


def test_quarantine_of_a_false_positive_expires():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=4)
        await send(sim_cluster, 'entry-0', POISON)
        for address in list(sim_cluster.network.refused):
            sim_cluster.network.refused.discard(address)
        for engine in sim_cluster.engine_by_name.values():
            engine.app.faults['crash_on'] = 'nothing'
        await asyncio.sleep(quarantine.QUARANTINE_MS / 1000 + 1)
        status, _ = await send(sim_cluster, 'entry-1', POISON)
        assert status == 200

    virtualloop.run(main())


def test_poisoned_group_fails_and_the_step_completes():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=5)
        value = {'prompts': ['good part', 'POISON part']}
        target = '/trainers/learner/batches/1'
        while True:
            reply = await sim_cluster.send_request(
                'entry-0', 'POST', target, value
            )
            if reply.status == 200:
                break
        body = json.loads(reply.body)
        assert [group['prompt'] for group in body['groups']] == ['good part']
        assert body['failed_groups'] == [
            {'id': 'learner/1/1', 'code': 'quarantined'}
        ]
        assert len(sim_cluster.network.refused) <= MAX_CRASHES

    virtualloop.run(main())
