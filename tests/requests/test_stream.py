"""Test streams of callers, broken and resumed."""

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


# After this pause a caller leaves.
PATIENCE_S = 2.0


def make_streams(seed, break_share, engines=3):
    rng = random.Random(seed)
    pool = modelengines.EndpointPool(rowtable.RowService(), rng)
    registry = registries.Registry(lambda event: None)
    for number in range(engines):
        one = modelengines.FakeEndpoint(
            f'e{number}',
            'engines',
            version_by_model={'m': 1},
            break_share=break_share,
        )
        pool.add(one)
        registry.put(
            endpoints.Endpoint(
                one.id,
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
    )
    return pool, streams.StreamForwarder(forwarder, 'weight-versions')


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
    parts = []
    try:
        async for chunk in reply.chunks:
            parts.append(chunk)
    except (ConnectionResetError, message.ExchangeError):
        return b''.join(parts), False
    return b''.join(parts), True


def get_data(stream):
    blocks = stream.decode().split('\n\n')
    return [
        line.removeprefix('data: ')
        for block in blocks
        for line in block.split('\n')
        if line.startswith('data: ')
    ]


@pytest.mark.parametrize('seed', range(12))
def test_resumable_stream_has_each_event_once(seed):
    async def scenario():
        pool, forwarder = make_streams(seed, 0.5)
        call = calls.Call('s', 'h', 'POST', '/', (), b'', None)
        reply = await forwarder.open_stream(call, make_route(True))
        stream, whole = await collect(reply)
        count = pool.events_by_item['s']
        expected = [f's.{number}' for number in range(1, count + 1)]
        assert get_data(stream) == expected[: len(get_data(stream))]
        if whole:
            assert get_data(stream) == expected

    virtualloop.run(scenario())


def test_stream_that_may_not_be_resumed_never_looks_complete():
    async def scenario():
        pool, forwarder = make_streams(1, 1.0)
        call = calls.Call('s', 'h', 'POST', '/', (), b'', None)
        reply = await forwarder.open_stream(call, make_route(False))
        _, whole = await collect(reply)
        assert not whole
        ran = sum(len(one.ran) for one in pool.endpoint_by_id.values())
        assert ran == 1

    virtualloop.run(scenario())


def test_full_engines_refuse_with_not_run():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0, engines=1)
        pool.endpoint_by_id['e0'].running = 8
        loop = asyncio.get_running_loop()
        call = calls.Call('s', 'h', 'POST', '/', (), b'', loop.time() + 1)
        outcome = await forwarder.open_stream(call, make_route(False))
        assert outcome.kind is outcomes.OutcomeKind.NOT_RUN
        assert pool.endpoint_by_id['e0'].ran == []

    virtualloop.run(scenario())


def tell_events(forwarder):
    told = []
    forwarder.forwarder.write_event = told.append
    return told


def make_call(body=b''):
    loop = asyncio.get_running_loop()
    return calls.Call('s', 'h', 'POST', '/', (), body, loop.time() + 20)


def test_each_stream_leaves_one_line_with_its_end():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        told = tell_events(forwarder)
        reply = await forwarder.open_stream(make_call(), make_route(True))
        await collect(reply)
        reply = await forwarder.open_stream(make_call(), make_route(True))
        await anext(reply.chunks)
        await reply.chunks.aclose()
        for one in pool.endpoint_by_id.values():
            one.running = one.slots
        await forwarder.open_stream(make_call(), make_route(False))
        outcomes_told = [event.outcome for event in told]
        assert outcomes_told == ['answered', 'caller-left', 'not-run']
        assert told[-1].refused_by == ['e0', 'e1', 'e2']
        assert told[0].last_event_id is not None
        assert [event.status for event in told] == [200, 200, 0]

    virtualloop.run(scenario())


def test_stream_is_refused_in_time_to_come_again_while_engines_are_full():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0, engines=1)
        pool.endpoint_by_id['e0'].running = 8
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await forwarder.open_stream(make_call(), make_route(False))
        assert outcome.kind is outcomes.OutcomeKind.NOT_RUN
        assert outcome.retry_after_ms > 0
        assert loop.time() - began < 20 * 0.7

    virtualloop.run(scenario())


def test_resumable_stream_goes_elsewhere_after_an_error_of_an_engine():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        told = tell_events(forwarder)
        for name in ('e0', 'e1'):
            pool.endpoint_by_id[name].error_share = 1.0
        for number in range(6):
            call = dataclasses.replace(make_call(), id=f's{number}')
            reply = await forwarder.open_stream(call, make_route(True))
            assert reply.status == 200
            await collect(reply)
        assert max(event.may_have_run for event in told) == 3

    virtualloop.run(scenario())


@pytest.mark.parametrize('resumable', [False, True])
def test_stream_passes_an_error_on_when_no_more_may_run(resumable):
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        for one in pool.endpoint_by_id.values():
            one.error_share = 1.0
        route = dataclasses.replace(make_route(resumable), max_attempts=2)
        reply = await forwarder.open_stream(make_call(), route)
        assert reply.status == 500
        ran = sum(len(one.ran) for one in pool.endpoint_by_id.values())
        assert ran == (2 if resumable else 1)

    virtualloop.run(scenario())


def test_stream_is_never_joined_with_an_error_of_another_engine():
    async def scenario():
        pool, forwarder = make_streams(1, 1.0)
        pool.events_by_item['s'] = 20
        reply = await forwarder.open_stream(make_call(), make_route(True))
        for one in pool.endpoint_by_id.values():
            one.error_share = 1.0
            one.error_status = 404
        stream, whole = await collect(reply)
        assert not whole
        assert b'{}' not in stream

    virtualloop.run(scenario())


def test_resumable_stream_moves_before_its_caller_leaves_a_silent_engine():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0)
        pool.events_by_item['s'] = 20
        loop = asyncio.get_running_loop()
        reply = await forwarder.open_stream(make_call(), make_route(True))
        await anext(reply.chunks)
        busy = next(one for one in pool.endpoint_by_id.values() if one.running)
        busy.slowness = 1000.0
        last_at = loop.time()
        longest = 0.0
        async for _ in reply.chunks:
            longest = max(longest, loop.time() - last_at)
            last_at = loop.time()
        assert longest < PATIENCE_S

    virtualloop.run(scenario())


def test_stream_that_crashes_engines_is_stopped():
    async def scenario():
        pool, forwarder = make_streams(1, 0.0, engines=6)
        told = tell_events(forwarder)
        for _ in range(6):
            await forwarder.open_stream(
                make_call(modelengines.POISON), make_route(True)
            )
        ran = sum(len(one.ran) for one in pool.endpoint_by_id.values())
        assert ran == quarantine.CRASHES_TO_BLOCK
        assert told[-1].reason == 'crashes-endpoints'

    virtualloop.run(scenario())
