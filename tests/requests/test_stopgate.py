"""Test which requests a stopping instance takes."""

import asyncio

import pytest

from pomelopass.requests import routes
from pomelopass.requests import stopgate
from standins import virtualloop

KINDS = routes.RouteType


def make_route(route_type, resumable=False):
    return routes.Route(
        *('r', 'h', '/', route_type, (), 1000.0, 200.0, 2, resumable)
    )


ORDERS = make_route(KINDS.NON_IDEMPOTENT)
SCORES = make_route(KINDS.IDEMPOTENT)
CHATS = make_route(KINDS.STREAMING, resumable=True)
TALKS = make_route(KINDS.STREAMING)


def run_stop(scenario):
    async def run():
        gate = stopgate.StopGate()
        loop = asyncio.get_running_loop()
        gate.begin(loop.time(), loop.time() + 7.0)
        await scenario(gate, loop)

    virtualloop.run(run())


@pytest.mark.parametrize('route', [ORDERS, SCORES, CHATS, TALKS])
def test_request_that_can_end_in_time_is_taken(route):
    async def scenario(gate, loop):
        await asyncio.sleep(5.0)
        assert gate.admits(route, loop.time() + 1.5)
        assert not gate.admits(route, loop.time() + 1.95)

    run_stop(scenario)


# The end would cut it, and its caller could not send it again.
def test_long_request_that_may_run_once_is_refused_from_the_start():
    async def scenario(gate, loop):
        for route in (ORDERS, TALKS):
            assert not gate.admits(route, loop.time() + 10.0)
        for route in (SCORES, CHATS):
            assert gate.admits(route, loop.time() + 10.0)
        await asyncio.sleep(3.1)
        for route in (SCORES, CHATS):
            assert not gate.admits(route, loop.time() + 10.0)

    run_stop(scenario)


@pytest.mark.parametrize('before', [True, False])
def test_request_that_still_runs_at_the_end_is_ended_in_time(before):
    async def run():
        gate = stopgate.StopGate()
        loop = asyncio.get_running_loop()
        closes_at = loop.time() + 7.0
        if not before:
            gate.begin(loop.time(), closes_at)
        else:
            loop.call_later(1.0, gate.begin, loop.time(), closes_at)
        with pytest.raises(stopgate.InstanceStopsError):
            async with gate.limit():
                await asyncio.sleep(60)
        assert closes_at - 0.2 < loop.time() < closes_at
        assert not gate.has_time(0.0)

    virtualloop.run(run())


# Such an error would be answered as if the instance stopped.
def test_timeout_within_a_request_is_not_the_end_of_the_instance():
    async def run():
        gate = stopgate.StopGate()
        with pytest.raises(TimeoutError):
            async with gate.limit():
                raise TimeoutError

    virtualloop.run(run())


def test_nothing_is_limited_without_a_stop():
    async def run():
        gate = stopgate.StopGate()
        async with gate.limit():
            await asyncio.sleep(60)
        assert gate.admits(ORDERS, 1e9)
        assert gate.has_time(1e9)

    virtualloop.run(run())
