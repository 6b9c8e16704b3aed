"""Test that streams are resumed for the workspace that began them."""

import asyncio

import orjson
import pytest

from pomelopass.origins import origin as origins
from standins import modelengines
from tests import entrybuilders
from tests import workspacebuilders as builders

FIRST = 'entry-0'
OTHER = 'entry-1'
EVENTS = 12


async def begin(cluster, key, name=FIRST):
    """Begin a stream and return after its first event."""
    cluster.pool.events_by_item['s1'] = EVENTS
    request = builders.make_request(key, '/chats/1', request_id='s1')
    reply = await cluster.entry_by_name[name].node.ingress.handle(request)
    assert reply.status == 200
    await anext(reply.chunks)
    await reply.chunks.aclose()


async def resume(cluster, key, name):
    headers = (('last-event-id', '1'), ('resumes', 's1'))
    request = builders.make_request(key, '/chats/1', headers, 's2')
    reply = await cluster.entry_by_name[name].node.ingress.handle(request)
    if reply.status == 200:
        data = b''.join([chunk async for chunk in reply.chunks])
        assert data.count(b'data: ') == EVENTS - 1
    return reply.status


def add_other_software(cluster):
    """Let only engines of another software than the base serve streams."""
    for endpoint in list(cluster.pool.endpoint_by_id.values()):
        if endpoint.version_by_model:
            endpoint.slots = 0
            cluster.pool.register(endpoint)
    cluster.pool.add(
        modelengines.FakeEndpoint(
            'engine-new',
            'engines',
            version_by_model={entrybuilders.MODEL: 1},
            software='v2',
        )
    )


# The instance that began a stream checks its workspace, even without a row.
@pytest.mark.parametrize('has_row', [False, True])
def test_stream_is_not_resumed_for_another_workspace(has_row):
    async def scenario(cluster):
        if has_row:
            add_other_software(cluster)
            await asyncio.sleep(1.0)
        await begin(cluster, 'red-key-1')
        names = [FIRST, OTHER] if has_row else [FIRST]
        for name in names:
            received = len(builders.get_received(cluster))
            assert await resume(cluster, 'blue-key-1', name) == 404
            assert len(builders.get_received(cluster)) == received
            assert await resume(cluster, 'red-key-2', name) == 200
        assert ['red'] in builders.get_workspaces(cluster, 's2')
        assert ['blue'] not in builders.get_workspaces(cluster, 's2')

    builders.run(scenario, software='v1')


# Without a row, the endpoint gets the workspace of the resuming caller.
def test_stream_without_a_row_is_resumed_under_the_name_of_the_caller():
    async def scenario(cluster):
        await begin(cluster, 'red-key-1')
        assert await resume(cluster, 'blue-key-1', OTHER) == 200
        assert builders.get_workspaces(cluster, 's2') == [['blue']]

    builders.run(scenario, software='v1')


def test_stream_of_a_workspace_is_not_resumed_without_its_key():
    async def scenario(cluster):
        await begin(cluster, 'red-key-1')
        assert await resume(cluster, 'gone', FIRST) == 401
        assert await resume(cluster, 'red-key-2', FIRST) == 200

    builders.run(scenario, builders.make_configuration(anonymous=('chats',)))


def test_stream_that_was_begun_without_a_key_is_open_to_all():
    async def scenario(cluster):
        await begin(cluster, None)
        assert await resume(cluster, 'blue-key-1', FIRST) == 200

    builders.run(scenario, builders.make_configuration(anonymous=('chats',)))


# Earlier builds write and compare these bytes.
def test_row_without_a_workspace_is_that_of_earlier_builds():
    record = origins.RecordedOrigin('engines', 'v1', 5)
    value = origins.encode_record(record)
    assert value == orjson.dumps(
        {'service': 'engines', 'software': 'v1', 'created_ms': 5}
    )
    assert origins.decode_record(value) == record
    named = origins.RecordedOrigin('engines', 'v1', 5, 'red')
    assert origins.decode_record(origins.encode_record(named)) == named
