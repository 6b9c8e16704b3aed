"""Test what the client takes from the heads of endpoints' answers."""

import asyncio
import contextlib
import dataclasses

import pytest

from pomelopass.edges import httpclient
from pomelopass import message
from pomelopass.platform import endpointclient
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import call as calls
from pomelopass.versions import orders
from pomelopass.workspaces import access
from pomelopass.workspaces import grant as grants

ORDER = orders.VersionOrder('m', 2, True, 'holder', 1, 0)
CALL = calls.Call('id-1', 'h', 'POST', '/', (), b'x', None)
TARGET = endpoints.Endpoint('e0', 'desk', '1.2.3.4:5', 'n', 8, False, {}, 7)


@contextlib.asynccontextmanager
async def run_endpoint(status, body=b'{}'):
    """Yield a client, an endpoint that answers all, and who said it leaves."""

    async def answer(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        head = (
            f'HTTP/1.1 {status} X\r\nattempt-id: id-1\r\n'
            f'Server-Leaving: 1\r\ncontent-length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    target = endpoints.Endpoint(
        'e0', 'desk', f'127.0.0.1:{port}', 'north', 8, False, {}, 7
    )
    leaving = []
    client = endpointclient.EndpointClient(httpclient.HttpClient())
    client.set_on_leaving(lambda target: leaving.append(target.id))
    try:
        yield client, target, leaving
    finally:
        await client.http.close()
        listener.close()


@pytest.mark.parametrize('status', [200, 429, 500, 503])
async def test_any_answer_may_say_that_its_endpoint_leaves(status):
    async with run_endpoint(status) as (client, target, leaving):
        answer = await client.open(target, CALL, 1000)
        assert answer.is_leaving
        assert leaving == ['e0']
        await answer.reply.close()


# Another endpoint answers where an address was used again.
async def test_answer_of_another_endpoint_says_nothing_of_this_one():
    async with run_endpoint(421) as (client, target, leaving):
        answer = await client.open(target, CALL, 1000)
        assert not answer.is_leaving
        assert leaving == []
        await answer.reply.close()


async def test_report_may_say_that_its_engine_leaves():
    async with run_endpoint(200) as (client, target, leaving):
        assert await client.fetch_report(target) is not None
        assert leaving == ['e0']


async def test_answer_to_an_order_may_say_that_its_engine_leaves():
    async with run_endpoint(409) as (client, target, leaving):
        outcome = await client.order_version(target, ORDER, lambda: True)
        assert outcome is orders.OrderOutcome.BUSY
        assert leaving == ['e0']


# An order that was checked before its connection opened went out late.
async def test_order_is_withdrawn_when_its_connection_opens_too_late():
    async with run_endpoint(202) as (client, target, leaving):
        opened = []
        open_connection = client.http.open_connection

        async def open_late(address):
            connection = await open_connection(address)
            opened.append(connection)
            return connection

        client.http.open_connection = open_late
        outcome = await client.order_version(target, ORDER, lambda: not opened)
        assert outcome is orders.OrderOutcome.WITHDRAWN
        assert leaving == []
        # An order that may be sent reaches the endpoint.
        outcome = await client.order_version(target, ORDER, lambda: True)
        assert outcome is orders.OrderOutcome.ACCEPTED


# A key may be removed while the connection to the endpoint opens.
async def test_request_is_withdrawn_when_its_connection_opens_too_late():
    async with run_endpoint(200) as (client, target, _):
        opened = []
        open_connection = client.http.open_connection

        async def open_late(address):
            opened.append(await open_connection(address))
            return opened[-1]

        client.http.open_connection = open_late
        grant = grants.Grant(
            access.OPEN, 1, lambda: (None if opened else access.OPEN, 1), 0.0
        )
        call = dataclasses.replace(CALL, grant=grant)
        with pytest.raises(calls.CallFailedError) as caught:
            await client.open(target, call, 1000)
        assert caught.value.kind == message.WITHDRAWN
        assert not caught.value.may_have_run


# The bytes of the configuration, and nothing that splits the head.
def test_name_of_a_workspace_is_sent_as_utf_8():
    async def make():
        call = dataclasses.replace(CALL, workspace=' цех é ')
        return endpointclient.make_headers(TARGET, call)

    sent = message.encode_headers(asyncio.run(make()))
    assert dict(sent)[b'tenant'] == 'цех é'.encode()
