"""Test which requests are served, for which workspace, on whole instances."""

import asyncio

import pytest

from pomelopass.entry import telemetry as telemetries
from pomelopass import message
from pomelopass.reporting import logevents
from pomelopass.requests import routes
from standins import links
from standins import modelengines
from tests import entrybuilders
from tests import workspacebuilders as builders

ENTRY = 'entry-0'


async def send(cluster, key=None, name=ENTRY, **changes):
    request = builders.make_request(key, **changes)
    ingress = cluster.entry_by_name[name].node.ingress
    return await ingress.handle(request)


async def get_status(cluster, key=None, name=ENTRY, **changes):
    return (await send(cluster, key, name, **changes)).status


# Endpoints of earlier deployments read these headers themselves.
def test_without_workspaces_endpoints_get_all_headers_as_they_came():
    async def scenario(cluster):
        headers = (('x-a', '1'), ('tenant', 'own'), ('tenant', 'other'))
        assert await get_status(cluster, 'any', headers=headers) == 200
        (received,) = builders.get_received(cluster, 'r1')
        assert received[0] == ('host', entrybuilders.HOST)
        assert received[1:5] == (('authorization', 'Bearer any'), *headers)
        assert received[5] == ('attempt-id', 'r1')
        names = [name for name, _ in received[6:]]
        assert names == ['expect-instance', 'deadline-ms']

    builders.run(scenario, entrybuilders.make_configuration(2))


def test_endpoint_gets_the_name_of_the_workspace_and_never_the_key():
    async def scenario(cluster):
        headers = (('x-a', '1'), ('tenant', 'blue'), ('tenant', 'red'))
        assert await get_status(cluster, 'red-key-2', headers=headers) == 200
        (received,) = builders.get_received(cluster, 'r1')
        assert ('x-a', '1') in received
        assert builders.get_workspaces(cluster) == [['red']]
        assert 'red-key' not in repr(received)
        logged = repr([entry.events for entry in get_entries(cluster)])
        assert 'red-key' not in logged

    def get_entries(cluster):
        return cluster.entry_by_name.values()

    builders.run(scenario)


@pytest.mark.parametrize(
    'headers',
    [
        (),
        (('authorization', 'Bearer unknown'),),
        (('authorization', 'Basic red-key-1'),),
        (('authorization', 'Bearer'),),
        (
            ('authorization', 'Bearer red-key-1'),
            ('authorization', 'Bearer blue-key-1'),
        ),
        (('tenant', 'red'),),
    ],
)
def test_request_without_a_valid_key_is_refused_and_not_sent(headers):
    async def scenario(cluster):
        reply = await send(cluster, headers=headers)
        assert reply.status == 401
        assert message.find_header(reply.headers, 'www-authenticate')
        assert not builders.get_received(cluster)

    builders.run(scenario)


# Callers do not retry after a 401, and the key may just have been added.
def test_unknown_key_is_refused_for_good_only_by_a_confirmed_copy():
    async def scenario(cluster):
        entry = cluster.entry_by_name[ENTRY]
        assert await get_status(cluster, 'new') == 401
        entry.client.faults.silent = True
        await asyncio.sleep(2.1)
        reply = await send(cluster, 'new')
        assert reply.status == 503
        assert message.find_header(reply.headers, 'retry-after')
        assert await get_status(cluster, 'red-key-1') == 200
        entry.client.faults.silent = False
        await asyncio.sleep(3.0)
        assert await get_status(cluster, 'new') == 401

    builders.run(scenario)


# All instances may be new at once, as after a loss of power.
def test_instances_that_are_new_serve_each_key_or_answer_503():
    async def scenario(cluster):
        for name in list(cluster.entry_by_name):
            cluster.kill(name)
            cluster.start(name)
        statuses = {'red-key-1': [], 'unknown': []}
        for _ in range(60):
            for key, received in statuses.items():
                received.append(await get_status(cluster, key))
            await asyncio.sleep(0.02)
        assert set(statuses['red-key-1']) == {503, 200}
        assert set(statuses['unknown']) == {503, 401}
        for received in statuses.values():
            assert received == sorted(received, reverse=True)

    builders.run(scenario)


def test_anonymous_route_names_the_workspace_of_a_valid_key_only():
    async def scenario(cluster):
        for key, names in (
            (None, []),
            ('unknown', []),
            ('blue-key-1', ['blue']),
        ):
            request_id = f'r-{key}'
            status = await get_status(
                cluster, key, request_id=request_id, headers=(('tenant', 'x'),)
            )
            assert status == 200
            assert builders.get_workspaces(cluster, request_id) == [names]
        assert 'authorization' not in repr(builders.get_received(cluster))

    builders.run(scenario, builders.make_configuration(anonymous=('scores',)))


def test_version_replaces_all_keys_within_the_limit_at_each_instance():
    async def scenario(cluster):
        keys = {'red': ['red-key-2'], 'blue': [], 'green': ['blue-key-1']}
        cluster.put_configuration(builders.make_configuration(3, keys))
        await asyncio.sleep(routes.APPLY_LIMIT_MS / 1000)
        for name in cluster.entry_by_name:
            assert await get_status(cluster, 'red-key-1', name) == 401
            assert await get_status(cluster, 'red-key-2', name) == 200
            status = await get_status(
                cluster, 'blue-key-1', name, request_id=f'moved-{name}'
            )
            assert status == 200
            names = builders.get_workspaces(cluster, f'moved-{name}')
            assert names == [['green']]

    builders.run(scenario)


# Its workspace would be open to all, or closed to the others as well.
def test_workspace_that_loses_its_last_key_is_closed_and_others_are_not():
    async def scenario(cluster):
        await builders.put(cluster, 3, {'red': [], 'blue': ['blue-key-1']})
        assert await get_status(cluster, 'red-key-1') == 401
        assert await get_status(cluster, '') == 401
        assert await get_status(cluster, 'blue-key-1') == 200
        await builders.put(cluster, 4, {})
        assert await get_status(cluster, 'blue-key-1') == 401
        assert await get_status(cluster) == 401

    builders.run(scenario)


async def wait_through(cluster, configuration, wait_s=0.5, **changes):
    """Return the status of a request that waits while a version comes."""
    builders.set_slots(cluster, 0)
    request = asyncio.ensure_future(
        get_status(cluster, 'red-key-1', **changes)
    )
    await asyncio.sleep(0.2)
    cluster.put_configuration(configuration)
    await asyncio.sleep(wait_s)
    builders.set_slots(cluster, 8)
    for endpoint in cluster.pool.endpoint_by_id.values():
        endpoint.received.clear()
    return await request


WITHOUT_RED = {'red': [], 'blue': ['blue-key-1']}
SCORES = '/scores/1'
ORDERS = '/orders/1'


@pytest.mark.parametrize('target', [SCORES, ORDERS])
def test_request_that_waits_is_refused_when_its_key_is_removed(target):
    async def scenario(cluster):
        configuration = builders.make_configuration(3, WITHOUT_RED)
        status = await wait_through(cluster, configuration, target=target)
        assert status == 401
        assert not builders.get_received(cluster)

    builders.run(scenario)


@pytest.mark.parametrize('target', [SCORES, ORDERS])
def test_request_that_waits_runs_under_the_new_name_of_its_key(target):
    async def scenario(cluster):
        keys = {'red': ['red-key-2'], 'blue': ['red-key-1']}
        configuration = builders.make_configuration(3, keys)
        status = await wait_through(cluster, configuration, target=target)
        assert status == 200
        assert builders.get_workspaces(cluster) == [['blue']]

    builders.run(scenario)


def test_request_that_waits_with_another_key_of_its_workspace_is_served():
    async def scenario(cluster):
        configuration = builders.make_configuration(3, {'red': ['red-key-1']})
        assert await wait_through(cluster, configuration) == 200
        assert builders.get_workspaces(cluster) == [['red']]

    builders.run(scenario)


# All versions allow it: a 401 would be wrong, and so would be the name.
def test_anonymous_request_that_waits_loses_the_name_with_its_key():
    async def scenario(cluster):
        configuration = builders.make_configuration(
            3, WITHOUT_RED, anonymous=('scores',)
        )
        assert await wait_through(cluster, configuration) == 200
        assert builders.get_workspaces(cluster) == [[]]

    builders.run(scenario, builders.make_configuration(anonymous=('scores',)))


def test_request_that_waits_while_workspaces_come_does_not_bring_its_key():
    async def scenario(cluster):
        status = await wait_through(cluster, builders.make_configuration(3))
        assert status == 200
        assert builders.get_workspaces(cluster) == [['red']]
        assert 'red-key' not in repr(builders.get_received(cluster))

    builders.run(scenario, entrybuilders.make_configuration(2))


# The version reaches the instance only with the answers of its peers.
def test_key_is_checked_before_the_send_also_by_a_refused_instance():
    async def scenario(cluster):
        cluster.entry_by_name[ENTRY].client.faults.reset = True
        await asyncio.sleep(3.0)
        configuration = builders.make_configuration(3, WITHOUT_RED)
        status = await wait_through(cluster, configuration, 2.0, target=ORDERS)
        assert status == 401
        assert not builders.get_received(cluster)

    builders.run(scenario, relays=True)


# The check precedes the connection, which may take long to open.
def test_key_that_is_removed_while_the_connection_opens_is_not_sent():
    async def scenario(cluster):
        entry = cluster.entry_by_name[ENTRY]
        connect = entry.links._connect

        async def connect_late(target, timeout_ms):
            await asyncio.sleep(1.5)
            await connect(target, timeout_ms)

        entry.links._connect = connect_late
        request = asyncio.ensure_future(
            get_status(cluster, 'red-key-1', target=ORDERS)
        )
        await asyncio.sleep(0.1)
        await builders.put(cluster, 3, WITHOUT_RED)
        assert await request == 401
        assert not builders.get_received(cluster)
        # The endpoint is well.
        states = entry.node.registry.get_by_service('desk')
        assert not any(state.consecutive_failures for state in states)

    builders.run(scenario)


# An answer at the end of its time would keep the caller for nothing.
@pytest.mark.parametrize('target', [SCORES, ORDERS, '/chats/1'])
def test_request_that_waits_is_refused_as_soon_as_its_key_is_removed(target):
    async def scenario(cluster):
        loop = asyncio.get_running_loop()
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.slots = 0
        request = asyncio.ensure_future(
            get_status(cluster, 'red-key-1', target=target)
        )
        await asyncio.sleep(0.2)
        changed_at = loop.time()
        cluster.put_configuration(builders.make_configuration(3, WITHOUT_RED))
        assert await request == 401
        assert loop.time() - changed_at < 0.2

    builders.run(scenario)


def test_stream_that_waits_is_refused_when_its_key_is_removed():
    async def scenario(cluster):
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.slots = 0
        request = asyncio.ensure_future(
            get_status(cluster, 'red-key-1', target='/chats/1')
        )
        await asyncio.sleep(0.2)
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.received.clear()
        await builders.put(cluster, 3, WITHOUT_RED)
        assert await request == 401

    builders.run(scenario)


# Each workspace has its own requests that crash endpoints.
def test_content_that_crashes_endpoints_is_blocked_for_its_workspace():
    async def scenario(cluster):
        node = cluster.entry_by_name[ENTRY].node
        request = {'body': modelengines.POISON, 'target': '/orders/1'}
        for number in range(4):
            await get_status(
                cluster, 'red-key-1', request_id=f'p{number}', **request
            )
            await asyncio.sleep(1.5)
        blocked = node.quarantine.block_by_fingerprint
        assert len(blocked) == 1
        builders_before = len(builders.get_received(cluster))
        await get_status(cluster, 'red-key-1', request_id='p8', **request)
        assert len(builders.get_received(cluster)) == builders_before
        await get_status(cluster, 'blue-key-1', request_id='p9', **request)
        assert len(builders.get_received(cluster)) > builders_before

    builders.run(scenario)


# A line for each request of a crowd would fill the disk.
def test_refused_keys_of_a_crowd_are_counted_in_few_lines():
    async def scenario(cluster):
        for number in range(200):
            await get_status(cluster, 'stolen', request_id=f'c{number}')
        await asyncio.sleep(11)
        lines = cluster.get_events('keys-refused')
        assert [line['refusals'] for line in lines] == [1, 199]
        assert [line['id'] for line in lines] == ['c0', 'c1']
        # The metric counts by status: the lines must not mix them.
        cluster.entry_by_name[ENTRY].client.faults.silent = True
        statuses = []
        for number in range(60):
            statuses.append(
                await get_status(cluster, 'stolen', request_id=f'd{number}')
            )
            await asyncio.sleep(0.1)
        await asyncio.sleep(11)
        lines = cluster.get_events('keys-refused')
        for status in (401, 503):
            counts = [
                line['refusals']
                for line in lines[2:]
                if line['status'] == status
            ]
            assert counts == [1, statuses.count(status) - 1]
        assert 'stolen' not in repr(lines)

    builders.run(scenario)


# The lines are few, the requests may be many.
async def test_metric_counts_refused_keys_and_not_lines():
    telemetry = telemetries.Telemetry('entry-0')
    event = logevents.KeysRefused(
        id='r', refusals=199, status=401, configuration=1, age_ms=1.0
    )
    telemetry.count_event(event)
    reply = await telemetry.handle(message.Request('GET', '/metrics'))
    (line,) = [
        line
        for line in reply.body.decode().splitlines()
        if line.startswith('pomelopass_refused_keys_total{')
    ]
    assert line.endswith(' 199')
    assert 'status="401"' in line


# A peer carries the bytes; the instance that has the caller decides.
def test_request_over_a_peer_brings_the_name_and_not_the_key():
    async def scenario(cluster):
        entry = cluster.entry_by_name[ENTRY]
        entry.links.cut = links.CutKind.REFUSE
        await asyncio.sleep(2.0)
        status = await get_status(cluster, 'red-key-1')
        assert status == 200
        assert builders.get_workspaces(cluster) == [['red']]
        assert 'red-key' not in repr(builders.get_received(cluster))
        builders.set_slots(cluster, 0)
        request = asyncio.ensure_future(
            get_status(cluster, 'red-key-1', target=ORDERS, request_id='r2')
        )
        await asyncio.sleep(0.2)
        await builders.put(cluster, 3, WITHOUT_RED)
        assert await request == 401

    builders.run(scenario)


# The running answer continues, but no other endpoint may resume it.
def test_stream_is_not_continued_elsewhere_after_its_key_is_removed():
    async def scenario(cluster):
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.slowness = 5.0
        cluster.pool.events_by_item['r1'] = 20
        reply = await send(cluster, 'red-key-1', target='/chats/1')
        assert reply.status == 200
        await anext(reply.chunks)
        await builders.put(cluster, 3, WITHOUT_RED)
        assert await anext(reply.chunks)
        for endpoint in cluster.pool.endpoint_by_id.values():
            if endpoint.running:
                cluster.pool.crash_and_restart(endpoint.id)
        with pytest.raises(ConnectionResetError):
            async for _ in reply.chunks:
                pass
        assert len(builders.get_received(cluster, 'r1')) == 1

    builders.run(scenario)


# A silent endpoint would have the request sent again with a removed key.
def test_request_in_flight_is_not_sent_again_after_its_key_is_removed():
    async def scenario(cluster):
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.lose_share = 1.0
            endpoint.slowness = 30.0
        request = asyncio.ensure_future(
            get_status(cluster, 'red-key-1', target=SCORES)
        )
        await asyncio.sleep(0.02)
        cluster.put_configuration(builders.make_configuration(3, WITHOUT_RED))
        assert await request == 502
        assert len(builders.get_received(cluster, 'r1')) == 1

    builders.run(scenario)


# An instance that the table refuses receives the keys through its peers.
def test_peers_get_no_key_with_the_rows_that_they_relay():
    async def scenario(cluster):
        answers = []
        for entry in cluster.entry_by_name.values():
            spy_on_relay(entry.node.relay_server, answers)
        cluster.entry_by_name[ENTRY].client.faults.reset = True
        await asyncio.sleep(3.0)
        keys = {'red': ['later-key'], 'blue': ['blue-key-1']}
        cluster.put_configuration(builders.make_configuration(3, keys))
        await asyncio.sleep(routes.APPLY_LIMIT_MS / 1000)
        assert await get_status(cluster, 'later-key') == 200
        assert await get_status(cluster, 'red-key-1') == 401
        relayed = b''.join(answers)
        assert b'api_key_digests' in relayed
        assert b'-key' not in relayed.replace(b'api_key_digests', b'')

    builders.run(scenario, relays=True)


def spy_on_relay(server, answers):
    process = server.process

    async def process_and_record(frame):
        answer, takeover = await process(frame)
        answers.extend((frame, answer))
        return answer, takeover

    server.process = process_and_record
