"""Test when requests count as begun by an endpoint."""

import asyncio
import random

import pytest

from pomelopass.registry import endpoint as endpoints
from pomelopass.registry import registry as registries
from pomelopass.requests import call as calls
from pomelopass.requests import forward
from pomelopass.requests import quarantine
from pomelopass.requests import start as starts
from standins import virtualloop
from tests import entrybuilders
from tests.requests import test_forward
from tests.requests import test_stream


class Book:
    """Start of the only request, and where it was placed before."""

    def __init__(self):
        self.at = None
        self.places = []

    def open(self, call):
        return self

    def place(self, at):
        self.at = round(at, 3)
        self.places.append(self.at)

    def withdraw(self):
        self.at = None


def run(route_type=test_forward.IDEMPOTENT, leaves_after_s=None, **steps):
    """Forward one request at time 0 and return its book."""

    async def scenario():
        registry = registries.Registry(lambda event: None)
        for name in steps:
            registry.put(
                endpoints.Endpoint(
                    name, 'desk', '10.0.0.1:1', 'north', 4, False, {}, 1
                )
            )
        book = Book()
        forwarder = forward.Forwarder(
            registry,
            test_forward.ScriptedClient(**steps),
            'north',
            random.Random(1),
            lambda event: None,
            quarantine.Quarantine(),
            entrybuilders.make_permits(),
            entrybuilders.make_memory(),
            book,
        )
        call = calls.Call('id', 'h', 'POST', '/', (), b'', None)
        route = test_forward.make_route(route_type)
        forwarding = asyncio.ensure_future(forwarder.forward(call, route))
        await asyncio.wait((forwarding,), timeout=leaves_after_s)
        forwarding.cancel()
        await asyncio.gather(forwarding, return_exceptions=True)
        return book

    return virtualloop.run(scenario())


ANSWER = test_forward.make_answer_step(0.05)
REFUSAL = test_forward.make_answer_step(0.02, status=503, not_run=True)


# The time of the answer is later by the time that the request ran.
def test_request_begins_when_the_answered_attempt_was_sent():
    assert run(a=ANSWER).at == 0.0
    book = run(a=REFUSAL, b=ANSWER)
    assert book.at == pytest.approx(0.02, abs=0.005)


def test_request_that_every_endpoint_refused_has_not_begun():
    assert run(a=REFUSAL, b=REFUSAL).at is None
    failure = test_forward.make_failure_step('connect-failed', False)
    assert run(a=failure).at is None


# A lost answer may be that of a request that ran.
def test_request_without_an_answer_began_if_it_may_have_run():
    failure = test_forward.make_failure_step('reset', True, 0.03)
    book = run(test_forward.NON_IDEMPOTENT, a=failure, b=ANSWER)
    assert book.at == 0.0


# An instance that is killed while requests run must have counted them.
def test_running_request_has_begun_also_if_its_caller_leaves():
    slow = test_forward.make_answer_step(0.5)
    assert run(leaves_after_s=0.04, a=slow).at == 0.0


def test_time_in_the_queue_of_the_endpoint_does_not_count():
    def estimate(waiting):
        load = endpoints.LoadReport(4, waiting, 4)
        return starts.estimate_start(10.0, 11.0, load)

    assert starts.estimate_start(10.0, 11.0, None) == 10.0
    assert estimate(0) == 10.0
    # As many wait as run: half of the time was spent waiting.
    assert estimate(4) == 10.5


@pytest.mark.parametrize('resumable', [True, False])
def test_stream_begins_with_its_first_event_and_once(resumable):
    async def scenario():
        pool, forwarder = test_stream.make_streams(3, 0.5)
        book = Book()
        forwarder.forwarder.start_book = book
        call = calls.Call('s', 'h', 'POST', '/', (), b'', None)
        reply = await forwarder.open_stream(
            call, test_stream.make_route(resumable)
        )
        opened_at = asyncio.get_running_loop().time()
        chunk = await anext(reply.chunks)
        assert chunk
        begun_at = round(asyncio.get_running_loop().time(), 3)
        assert begun_at > opened_at
        await test_stream.collect(reply)
        # Further runs of a broken stream are no further starts.
        assert book.at == begun_at

    virtualloop.run(scenario())
