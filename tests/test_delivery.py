"""Check a hand-over whose answer is lost, and one that conflicts."""

import asyncio
import json

from standins import virtualloop
from tests import builders


def find_events(built, kind: str) -> list[str]:
    """Return the subjects of the events of a kind on all instances."""
    return [
        one.subject
        for member in built.member_by_name.values()
        for one in member.context.log.events
        if one.kind == kind
    ]


def test_hand_over_with_a_lost_answer_is_known_as_done():
    async def main() -> None:
        built = await builders.start_cluster(token_ms=100.0)
        ask = asyncio.ensure_future(
            builders.request_batch(built, 'entry-0', 1)
        )
        while not find_events(built, 'sample-done'):
            await asyncio.sleep(0.02)
        built.table.app.faults['lose_answers'] = 6
        status, body = await ask
        assert status == 200
        await asyncio.sleep(3)
        assert find_events(built, 'batch-handed-over') == ['learner/1']
        again = await builders.request_batch(built, 'entry-1', 1)
        assert again == (200, body)

    virtualloop.run(main())


def test_weights_published_during_a_step_are_checked_at_hand_over():
    async def main() -> None:
        built = await builders.start_cluster(token_ms=150.0)
        ask = asyncio.ensure_future(
            builders.request_batch(built, 'entry-0', 1)
        )
        await asyncio.sleep(0.6)
        for version in (2, 3, 4):
            assert await builders.publish(built, 'entry-1', version) == 200
        while True:
            status, body = await ask
            if status == 200:
                break
            ask = asyncio.ensure_future(
                builders.request_batch(built, 'entry-0', 1)
            )
        oldest = min(
            version
            for group in body['groups']
            for one in group['samples']
            for version in one['weight_versions']
        )
        assert body['published_version'] == 4
        assert oldest >= 3

    virtualloop.run(main())


def test_step_asked_with_other_prompts_is_refused():
    async def main() -> None:
        built = await builders.start_cluster()
        assert (await builders.request_batch(built, 'entry-0', 1))[0] == 200
        reply = await built.send_request(
            'entry-1',
            'POST',
            '/trainers/learner/batches/1',
            {'prompts': ['other']},
        )
        assert reply.status == 409
        assert json.loads(reply.body)['code'] == 'step-conflict'

    virtualloop.run(main())
