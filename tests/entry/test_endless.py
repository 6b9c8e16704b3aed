"""Test that answers without an end hold nothing up and fill no memory."""

import asyncio

import pytest

from pomelopass import message
from tests.entry import test_jobs
from tests import entrybuilders

# An endpoint's bytes must be cut off well below an instance's memory.
MAX_BYTES = 16_777_216


def spoil(cluster, name, endless):
    cluster.pool.endpoint_by_id[name].endless = endless


async def send(cluster, path, request_id, deadline_ms='1500'):
    request = message.Request(
        'POST',
        path,
        (
            ('host', entrybuilders.HOST),
            ('attempt-id', request_id),
            ('deadline-ms', deadline_ms),
            ('model', entrybuilders.MODEL),
        ),
        b'x',
    )
    node = cluster.entry_by_name['entry-0'].node
    return await node.ingress.handle(request)


@pytest.mark.parametrize(
    'endless',
    [
        'refusal',
        'dripping-refusal',
        'error',
        'event',
        'large-event',
        'blank-lines',
        'comments',
        'junk-events',
    ],
)
def test_job_is_done_though_an_engine_never_ends_its_answers(endless):
    async def scenario(cluster):
        spoil(cluster, 'engine-0', endless)
        submission = entrybuilders.make_submission(groups=2)
        await cluster.submit('entry-0', submission)
        results = await cluster.read_all('job-1', 14)
        test_jobs.check_results(cluster, submission, results)
        endpoint = cluster.pool.endpoint_by_id['engine-0']
        assert endpoint.endless_bytes < MAX_BYTES

    # The other engines can run every item at once.
    entrybuilders.run_cluster(scenario, engines=3)


@pytest.mark.parametrize(
    'endless', ['refusal', 'dripping-refusal', 'error', 'body']
)
def test_request_is_answered_though_an_endpoint_never_ends(endless):
    async def scenario(cluster):
        spoil(cluster, 'desk-0', endless)
        replies = [
            await send(cluster, '/scores/1', f'r-{number}')
            for number in range(6)
        ]
        assert [reply.status for reply in replies] == [200] * 6

    entrybuilders.run_cluster(scenario)


def test_order_refused_without_an_end_is_sent_to_another_endpoint():
    async def scenario(cluster):
        spoil(cluster, 'desk-0', 'dripping-refusal')
        replies = [
            await send(cluster, '/orders/1', f'r-{number}')
            for number in range(4)
        ]
        assert [reply.status for reply in replies] == [200] * 4

    entrybuilders.run_cluster(scenario)


def test_body_without_an_end_is_cut_off():
    async def scenario(cluster):
        for name in ('desk-0', 'desk-1'):
            spoil(cluster, name, 'body')
        reply = await send(cluster, '/orders/1', 'r', '60000')
        assert reply.status == 502
        received = sum(
            endpoint.endless_bytes
            for endpoint in cluster.pool.endpoint_by_id.values()
        )
        assert received < MAX_BYTES

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize(
    'endless',
    ['refusal', 'error', 'event', 'large-event', 'blank-lines', 'junk-events'],
)
def test_stream_goes_on_though_an_engine_never_ends(endless):
    async def scenario(cluster):
        spoil(cluster, 'engine-0', endless)
        loop = asyncio.get_running_loop()
        for number in range(4):
            started_at = loop.time()
            reply = await send(cluster, '/chats/1', f's-{number}', '20000')
            assert reply.status == 200
            body = b''.join([chunk async for chunk in reply.chunks])
            count = cluster.pool.events_by_item[f's-{number}']
            assert body.count(b'data: ') == count
            # Before its caller leaves, 2 s after the last event.
            assert loop.time() - started_at < 2.0 + 30 * 0.03 + 0.2

    entrybuilders.run_cluster(scenario)
