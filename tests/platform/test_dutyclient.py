"""Test the calls of a duty's holder to the platform."""

import asyncio
import contextlib

import orjson
import pytest

from pomelopass.edges import httpclient
from pomelopass.leadership import outcome as outcomes
from pomelopass.platform import dutyclient
from pomelopass.scaling import order as orders
from pomelopass.usage import report as reports

ORDER = orders.EngineOrder('engines', 'north', 3, is_spot=True)


@contextlib.asynccontextmanager
async def run_api(status, is_checked=True, delay_s=0.0, per_s=1000.0):
    """Yield a client and the requests that its API has received."""
    requests = []

    async def answer(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().partition(b'content-length: ')[2].split()[0])
        requests.append((head.decode(), await reader.readexactly(length)))
        await asyncio.sleep(delay_s)
        if status:
            reply = f'HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n'
            writer.write(reply.encode())
            await writer.drain()
        writer.close()

    listener = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    client = dutyclient.DutyClient(
        httpclient.HttpClient(), f'127.0.0.1:{port}', per_s, is_checked
    )
    try:
        yield client, requests
    finally:
        listener.close()


async def send(client, may_send=lambda: True):
    report = reports.Report(7, client.encode_report(7, {'b': 2, 'a': 1}))
    return await client.report_usage(report, 'entry-0', 5, may_send)


# A 409 means another thing where tokens are checked; without an answer the
# call may still run, so it must not count as refused.
@pytest.mark.parametrize(
    ('status', 'is_checked', 'expected'),
    [
        (200, True, outcomes.DutyOutcome.ACCEPTED),
        (409, True, outcomes.DutyOutcome.FENCED),
        (409, False, outcomes.DutyOutcome.UNAVAILABLE),
        (429, True, outcomes.DutyOutcome.BUSY),
        (503, True, outcomes.DutyOutcome.BUSY),
        (500, True, outcomes.DutyOutcome.UNKNOWN),
        (0, True, outcomes.DutyOutcome.UNKNOWN),
    ],
)
async def test_outcome_follows_from_the_answer(status, is_checked, expected):
    async with run_api(status, is_checked) as (client, requests):
        assert await send(client) is expected
        head, body = requests[0]
        assert 'duty-holder: entry-0' in head
        assert 'fence-token: 5' in head
        assert orjson.loads(body) == {
            'window_id': 7,
            'counts': {'a': 1, 'b': 2},
        }


async def test_order_names_service_zone_number_and_kind():
    async with run_api(200) as (client, requests):
        await client.order_engines(ORDER, 'entry-0', 5, lambda: True)
        assert orjson.loads(requests[0][1]) == {
            'service': 'engines',
            'zone': 'north',
            'target_groups': 3,
            'spot': True,
        }


# The grant may end while the connection opens.
async def test_call_without_consent_on_its_connection_is_not_sent():
    async with run_api(200) as (client, requests):
        outcome = await send(client, lambda: False)
        assert outcome is outcomes.DutyOutcome.WITHDRAWN
        assert requests == []


async def test_second_call_on_a_subject_waits_for_no_answer():
    async with run_api(200, delay_s=0.1) as (client, requests):
        found = await asyncio.gather(send(client), send(client))
        assert found == [
            outcomes.DutyOutcome.ACCEPTED,
            outcomes.DutyOutcome.WITHDRAWN,
        ]
        assert len(requests) == 1


# Holders of all subjects together exceeded the rate and got 429.
async def test_rate_is_shared_by_all_subjects():
    loop = asyncio.get_running_loop()
    async with run_api(200, per_s=100.0) as (client, _):
        client.set_subject_count(4)
        started_at = loop.time()
        await send(client)
        # A quarter of 100 a second for each subject, less the reserve.
        next_at = client.next_call_at_by_subject['usage']
        assert next_at - started_at >= 4 / 100
        await send(client)
        assert loop.time() >= next_at
