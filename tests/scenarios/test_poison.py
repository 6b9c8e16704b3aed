"""Prove that a request that crashes endpoints costs at most two."""

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
    built: cluster.Cluster, name: str, body: dict
) -> tuple[int, dict]:
    """Send a completion; return status and body."""
    reply = await built.send_request(name, 'POST', '/v1/completions', body)
    return reply.status, json.loads(reply.body)


@hypothesis.given(
    seed=st.integers(0, 1000),
    gaps_ms=st.lists(st.integers(0, 3000), min_size=1, max_size=12),
    cut=st.booleans(),
)
def test_resent_poison_costs_at_most_two_endpoints(seed, gaps_ms, cut):
    async def main() -> None:
        built = await builders.start_cluster(seed, engines=5)
        if cut:
            built.table.app.faults['down'] = 1
            built.objects.app.faults['down'] = 1
        for index, gap_ms in enumerate(gaps_ms):
            await send(built, f'entry-{index % 3}', POISON)
            await asyncio.sleep(gap_ms / 1000)
        assert len(built.network.refused) <= MAX_CRASHES
        status, _ = await send(built, 'entry-1', HARMLESS)
        assert status == 200

    virtualloop.run(main())


def test_quarantine_is_known_everywhere_and_refuses_with_not_run():
    async def main() -> None:
        built = await builders.start_cluster(engines=4)
        _, first = await send(built, 'entry-0', POISON)
        assert first['code'] == 'quarantined'
        assert first['verdict'] == 'may-have-run'
        await asyncio.sleep(1)
        for name in built.member_by_name:
            status, body = await send(built, name, POISON)
            assert status == 422
            assert body['verdict'] == 'not-run'
        assert len(built.network.refused) == MAX_CRASHES

    virtualloop.run(main())


def test_crash_counts_when_the_ending_process_still_takes_a_connection():
    async def main() -> None:
        built = await builders.start_cluster(engines=4)
        built.network.resets_after_exit = 1
        codes = [
            (await send(built, name, POISON))[1]['code']
            for name in built.member_by_name
        ]
        assert codes == ['quarantined'] * len(codes)
        assert len(built.network.refused) == MAX_CRASHES

    virtualloop.run(main())


def test_false_positive_expires():
    async def main() -> None:
        built = await builders.start_cluster(engines=4)
        await send(built, 'entry-0', POISON)
        for one in list(built.network.refused):
            built.network.refused.discard(one)
        for one in built.engine_by_name.values():
            one.app.faults['crash_on'] = 'nothing'
        await asyncio.sleep(quarantine.QUARANTINE_MS / 1000 + 1)
        status, _ = await send(built, 'entry-1', POISON)
        assert status == 200

    virtualloop.run(main())


def test_poisoned_group_is_given_up_and_the_step_goes_on():
    async def main() -> None:
        built = await builders.start_cluster(engines=5)
        value = {'prompts': ['good part', 'POISON part']}
        target = '/trainers/learner/batches/1'
        while True:
            reply = await built.send_request('entry-0', 'POST', target, value)
            if reply.status == 200:
                break
        body = json.loads(reply.body)
        assert [one['prompt'] for one in body['groups']] == ['good part']
        assert body['failed_groups'] == [
            {'id': 'learner/1/1', 'code': 'quarantined'}
        ]
        assert len(built.network.refused) <= MAX_CRASHES

    virtualloop.run(main())
