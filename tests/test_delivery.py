"""Check hand-overs with a lost reply, and conflicting requests."""

import asyncio
import json

from standins import virtualloop
from tests import builders


def find_events(sim_cluster, kind: str) -> list[str]:
    """Return the subjects of the events of a kind on all instances."""
    return [
        event.subject
        for member in sim_cluster.member_by_name.values()
        for event in member.context.log.events
        if event.kind == kind
    ]


def test_hand_over_with_a_lost_reply_is_recorded_as_done():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(token_ms=100.0)
        request_task = asyncio.ensure_future(
            builders.request_batch(sim_cluster, 'entry-0', 1)
        )
        while not find_events(sim_cluster, 'sample-done'):
            await asyncio.sleep(0.02)
        sim_cluster.table.app.faults['lose_answers'] = 6
        status, body = await request_task
        assert status == 200
        await asyncio.sleep(3)
        assert find_events(sim_cluster, 'batch-handed-over') == ['learner/1']
        second_reply = await builders.request_batch(sim_cluster, 'entry-1', 1)
        assert second_reply == (200, body)

    virtualloop.run(main())


def test_weights_published_during_a_step_are_checked_at_hand_over():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(token_ms=150.0)
        request_task = asyncio.ensure_future(
            builders.request_batch(sim_cluster, 'entry-0', 1)
        )
        await asyncio.sleep(0.6)
        for version in (2, 3, 4):
            assert (
                await builders.publish(sim_cluster, 'entry-1', version) == 200
            )
        while True:
            status, body = await request_task
            if status == 200:
                break
            request_task = asyncio.ensure_future(
                builders.request_batch(sim_cluster, 'entry-0', 1)
            )
        oldest = min(
            version
            for group in body['groups']
            for delivered_sample in group['samples']
            for version in delivered_sample['weight_versions']
        )
        assert body['published_version'] == 4
        assert oldest >= 3

    virtualloop.run(main())


def test_step_requested_again_with_other_prompts_is_refused():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        assert (await builders.request_batch(sim_cluster, 'entry-0', 1))[
            0
        ] == 200
        reply = await sim_cluster.send_request(
            'entry-1',
            'POST',
            '/trainers/learner/batches/1',
            {'prompts': ['other']},
        )
        assert reply.status == 409
        assert json.loads(reply.body)['code'] == 'step-conflict'

    virtualloop.run(main())
