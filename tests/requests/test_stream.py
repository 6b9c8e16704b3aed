"""Test forwarding and resumption of streamed answers."""

import asyncio
import dataclasses
import random

import pytest

from pomelopass import message
from pomelopass.registry import endpoint as endpoints
from pomelopass.registry import registry as registries
from pomelopass.requests import call as calls
from pomelopass.requests import forward
from pomelopass.requests import outcome as outcomes
from pomelopass.requests import quarantine
from pomelopass.requests import routes
from pomelopass.requests import stream as streams
from standins import modelengines
from standins import rowtable
from standins import virtualloop
from tests import entrybuilders


# A caller disconnects after a pause of this length.
CALLER_TIMEOUT_S = 2.0


def make_streams(seed, break_share, engine_count=3):
    rng = random.Random(seed)
    pool = modelengines.EndpointPool(rowtable.RowService(), rng)
    registry = registries.Registry(lambda event: None)
    for number in range(engine_count):
        endpoint = modelengines.FakeEndpoint(
            f'e{number}',
            'engines',
            version_by_model={'m': 1},
            break_share=break_share,
        )
        pool.add(endpoint)
        registry.put(
            endpoints.Endpoint(
                endpoint.id,
                'engines',
                '10.0.0.1:1',
                'north',
                8,
                False,
                {'m': 1},
                1,
            )
        )
    forwarder = forward.Forwarder(
        registry,
        pool,
        'north',
        rng,
        lambda event: None,
        quarantine.Quarantine(),
        entrybuilders.make_permits(),
        entrybuilders.make_memory(),
    )
    origin_recorder = entrybuilders.make_origins(registry)
    return pool, streams.StreamForwarder(
        forwarder, origin_recorder, 'weight-versions'
    )


def make_route(resumable):
    return routes.Route(
        'r',
        'h',
        '/',
        routes.RouteType.STREAMING,
        (routes.Share('engines', 1.0),),
        20_000.0,
        400.0,
        50,
        resumable,
    )


async def collect(reply):
    chunks = []
    try:
        async for chunk in reply.chunks:
            chunks.append(chunk)
    except (ConnectionResetError, message.ExchangeError):
        return b''.join(chunks), False
    return b''.join(chunks), True


def get_data(stream):
    blocks = stream.decode().split('\n\n')
    return [
        line.removeprefix('data: ')
        for block in blocks
        for line in block.split('\n')
        if line.startswith('data: ')
    ]


@pytest.mark.parametrize('seed', range(12))
def test_resumed_stream_has_each_event_once(seed):
    async def scenario():
        pool, forwarder = make_streams(seed, 0.5)
        call = calls.Call('s', 'h', 'POST', '/', (), b'', None)
        reply = await forwarder.open_stream(call, make_route(True))
        stream, is_complete = await collect(reply)
        count = pool.events_by_item['s']
        expected = [f's.{number}' for number in range(1, count + 1)]
        assert get_data(stream) == expected[: len(get_data(stream))]
        if is_complete:
            assert get_data(stream) == expected

    virtualloop.run(scenario())


def test_broken_stream_that_is_not_resumable_ends_with_an_error():
    async def scenario():
        pool, forwarder = make_streams(1, 1.0)
        call = calls.Call('s', 'h', 'POST', '/', (), b'', None)
        reply = await forwarder.open_stream(call, make_route(False))
        _, is_complete = await collect(reply)
        assert not is_complete
        ran = sum(
            len(endpoint.ran) for endpoint in pool.endpoint_by_id.values()
        )
        assert ran == 1

    virtualloop.run(scenario())


def test_stream_ends_as_not_run_when_engines_are_full():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0, engine_count=1)
        pool.endpoint_by_id['e0'].running = 8
        loop = asyncio.get_running_loop()
        call = calls.Call('s', 'h', 'POST', '/', (), b'', loop.time() + 1)
        outcome = await forwarder.open_stream(call, make_route(False))
        assert outcome.kind is outcomes.OutcomeKind.NOT_RUN
        assert pool.endpoint_by_id['e0'].ran == []

    virtualloop.run(scenario())


def record_events(forwarder):
    logged_events = []
    forwarder.forwarder.write_event = logged_events.append
    return logged_events


def make_call(body=b''):
    loop = asyncio.get_running_loop()
    return calls.Call('s', 'h', 'POST', '/', (), body, loop.time() + 20)


def test_end_of_each_stream_is_logged_once():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        logged_events = record_events(forwarder)
        reply = await forwarder.open_stream(make_call(), make_route(True))
        await collect(reply)
        reply = await forwarder.open_stream(make_call(), make_route(True))
        await anext(reply.chunks)
        await reply.chunks.aclose()
        for endpoint in pool.endpoint_by_id.values():
            endpoint.running = endpoint.slots
        await forwarder.open_stream(make_call(), make_route(False))
        logged_outcomes = [event.outcome for event in logged_events]
        assert logged_outcomes == ['answered', 'caller-left', 'not-run']
        assert logged_events[-1].refused_by == ['e0', 'e1', 'e2']
        assert logged_events[0].last_event_id is not None
        assert [event.status for event in logged_events] == [200, 200, 0]

    virtualloop.run(scenario())


def test_stream_is_refused_early_enough_for_a_retry_when_engines_are_full():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0, engine_count=1)
        pool.endpoint_by_id['e0'].running = 8
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outcome = await forwarder.open_stream(make_call(), make_route(False))
        assert outcome.kind is outcomes.OutcomeKind.NOT_RUN
        assert outcome.retry_after_ms > 0
        assert loop.time() - started_at < 20 * 0.7

    virtualloop.run(scenario())


def test_resumable_stream_is_retried_on_another_engine_after_an_error():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        logged_events = record_events(forwarder)
        for name in ('e0', 'e1'):
            pool.endpoint_by_id[name].error_share = 1.0
        for number in range(6):
            call = dataclasses.replace(make_call(), id=f's{number}')
            reply = await forwarder.open_stream(call, make_route(True))
            assert reply.status == 200
            await collect(reply)
        assert max(event.may_have_run for event in logged_events) == 3

    virtualloop.run(scenario())


@pytest.mark.parametrize('resumable', [False, True])
def test_error_is_passed_on_after_the_last_attempt(resumable):
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        for endpoint in pool.endpoint_by_id.values():
            endpoint.error_share = 1.0
        route = dataclasses.replace(make_route(resumable), max_attempts=2)
        reply = await forwarder.open_stream(make_call(), route)
        assert reply.status == 500
        ran = sum(
            len(endpoint.ran) for endpoint in pool.endpoint_by_id.values()
        )
        assert ran == (2 if resumable else 1)

    virtualloop.run(scenario())


@pytest.mark.parametrize('error_body', [b'{}\n\n', b''])
def test_resumed_stream_never_contains_an_error_answer(error_body):
    async def scenario():
        pool, forwarder = make_streams(1, 1.0)
        pool.events_by_item['s'] = 20
        reply = await forwarder.open_stream(make_call(), make_route(True))
        for endpoint in pool.endpoint_by_id.values():
            endpoint.error_share = 1.0
            endpoint.error_status = 404
            endpoint.error_body = error_body
        stream, is_complete = await collect(reply)
        assert not is_complete
        assert b'{}' not in stream

    virtualloop.run(scenario())


def test_resumable_stream_leaves_a_silent_engine_before_its_caller_does():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        pool.events_by_item['s'] = 20
        loop = asyncio.get_running_loop()
        reply = await forwarder.open_stream(make_call(), make_route(True))
        await anext(reply.chunks)
        serving_endpoint = next(
            endpoint
            for endpoint in pool.endpoint_by_id.values()
            if endpoint.running
        )
        serving_endpoint.slowness = 1000.0
        last_event_at = loop.time()
        longest_pause_s = 0.0
        async for _ in reply.chunks:
            longest_pause_s = max(longest_pause_s, loop.time() - last_event_at)
            last_event_at = loop.time()
        assert longest_pause_s < CALLER_TIMEOUT_S

    virtualloop.run(scenario())


def test_stream_that_crashes_engines_is_quarantined():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0, engine_count=6)
        logged_events = record_events(forwarder)
        for _ in range(6):
            await forwarder.open_stream(
                make_call(modelengines.POISON), make_route(True)
            )
        ran = sum(
            len(endpoint.ran) for endpoint in pool.endpoint_by_id.values()
        )
        assert ran == quarantine.CRASHES_TO_BLOCK
        assert logged_events[-1].reason == 'crashes-endpoints'

    virtualloop.run(scenario())
