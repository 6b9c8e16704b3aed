"""Test streams whose endpoints answer with errors or without events."""

import asyncio
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
from standins import virtualloop
from tests import entrybuilders
from tests.requests import test_stream

CHUNKED = (('transfer-encoding', 'chunked'),)
ERROR = b'HTTP/1.1 500 no\r\n\r\n{"error":"x"}'


def make_events(first, last):
    return [
        f'id: {number}\ndata: s.{number}\n\n'.encode()
        for number in range(first, last + 1)
    ]


def make_step(
    *chunks, status=200, breaks=False, headers=CHUNKED, signature='s'
):
    """Return an answer in chunks, which may break off after the last."""

    async def make_chunks():
        for chunk in chunks:
            await asyncio.sleep(0.01)
            yield chunk
        if breaks:
            raise message.ExchangeError('truncated', 1)

    reply = message.OpenReply(status, headers, make_chunks(), 1)
    return calls.Answer(status, headers, False, signature, None, None, reply)


BEGUN = (b'id: 1\ndata: s.1\n\n', b'id: 2\ndata: s.2\n\n')


class ScriptedPort:
    """Port whose answers come in a given order, whatever the endpoint."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.resumed_after = []

    async def open(self, target, call, timeout_ms, stall_ms=None, fresh=False):
        await asyncio.sleep(0.01)
        self.resumed_after.append(call.last_event_id)
        if not self.answers:
            raise calls.CallFailedError('connect-failed', False)
        return self.answers.pop(0)

    async def is_refused(self, target):
        return False


def make_route(resumable, max_attempts=4):
    return routes.Route(
        *('r', 'h', '/', routes.RouteType.STREAMING),
        *((routes.Share('engines', 1.0),), 5000.0, 400.0, max_attempts),
        resumable,
    )


def run(*answers, resumable=True):
    """Open a stream; return status, body, whether it is whole, the port."""

    async def scenario():
        registry = registries.Registry(lambda event: None)
        for number in range(4):
            registry.put(
                endpoints.Endpoint(
                    *(f'e{number}', 'engines', '10.0.0.1:1', 'north'),
                    *(8, False, {'m': 1}, 1),
                )
            )
        port = ScriptedPort(answers)
        forwarder = forward.Forwarder(
            *(registry, port, 'north', random.Random(1), lambda event: None),
            *(quarantine.Quarantine(), entrybuilders.make_permits()),
            entrybuilders.make_memory(),
        )
        forwarder = streams.StreamForwarder(
            forwarder, entrybuilders.make_origins(registry), 'weight-versions'
        )
        call = calls.Call('s', 'h', 'POST', '/', (), b'', 5.0)
        reply = await forwarder.open_stream(call, make_route(resumable))
        if isinstance(reply, outcomes.Outcome):
            is_whole = reply.kind is outcomes.OutcomeKind.ANSWERED
            return reply.status, reply.body, is_whole, port
        body, is_whole = await test_stream.collect(reply)
        return reply.status, body, is_whole, port

    return virtualloop.run(scenario())


@pytest.mark.parametrize(
    'second',
    [
        {'status': 500},
        {'status': 404},
        {'status': 200},
        {'status': 200, 'headers': ()},
    ],
)
def test_error_of_the_next_engine_does_not_reach_the_stream(second):
    status, body, is_whole, port = run(
        make_step(*BEGUN, breaks=True),
        make_step(ERROR, **second),
        make_step(*make_events(3, 4)),
    )
    assert (status, is_whole) == (200, True)
    assert body == b''.join(make_events(1, 4))
    assert port.resumed_after == [None, '2', '2']


def test_stream_breaks_off_if_all_other_engines_answer_with_errors():
    status, body, is_whole, _ = run(
        make_step(*BEGUN, breaks=True),
        make_step(ERROR, status=500),
        make_step(ERROR, status=500),
        make_step(ERROR, status=500),
    )
    assert (status, is_whole) == (200, False)
    assert body == b''.join(BEGUN)


# The connection of an engine that dies may close before the first event.
def test_resumed_run_without_a_length_or_an_event_is_not_the_end():
    _, body, is_whole, _ = run(
        make_step(*BEGUN, breaks=True),
        make_step(headers=()),
        make_step(*make_events(3, 4)),
    )
    assert is_whole
    assert body == b''.join(make_events(1, 4))


def test_resumed_run_that_says_it_is_empty_ends_the_stream():
    _, body, is_whole, _ = run(make_step(*BEGUN, breaks=True), make_step())
    assert is_whole
    assert body == b''.join(BEGUN)


@pytest.mark.parametrize('resumable', [True, False])
@pytest.mark.parametrize('status', [404, 422])
def test_refusal_by_the_first_engine_arrives_whole(resumable, status):
    answers = make_step(b'{"error":', b'"x"}', status=status)
    result = run(answers, resumable=resumable)
    assert result[:3] == (status, b'{"error":"x"}', True)


def test_error_that_breaks_off_is_not_joined_with_the_next():
    status, body, is_whole, _ = run(
        make_step(b'{"a\n\n', status=404, breaks=True),
        make_step(b'b"}\n\n', status=404),
    )
    assert (status, body, is_whole) in (
        (404, b'b"}\n\n', True),
        (0, b'', False),
    )


def test_error_of_a_stream_that_may_not_be_repeated_arrives_whole():
    result = run(
        make_step(b'no', b'pe', status=500),
        make_step(*BEGUN),
        resumable=False,
    )
    assert result[:3] == (500, b'nope', True)


@pytest.mark.parametrize('resumable', [True, False])
def test_stream_without_a_signature_is_not_passed_on(resumable):
    status, body, is_whole, _ = run(
        make_step(*BEGUN, signature=None),
        make_step(*BEGUN),
        resumable=resumable,
    )
    expected = (200, b''.join(BEGUN), True) if resumable else (0, b'', False)
    assert (status, body, is_whole) == expected
