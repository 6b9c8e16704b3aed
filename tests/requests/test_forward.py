"""Test how requests reach endpoints and come back."""

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
from standins import virtualloop


class ScriptedPort:
    """Answer each endpoint by a script."""

    def __init__(self, **script):
        self.script = script
        self.sent = []

    async def open(self, target, call, timeout_ms, stall_ms=None, fresh=False):
        self.sent.append(target.id)
        step = self.script[target.id]
        return await step(call, timeout_ms)

    async def is_refused(self, target):
        return False

    async def read(self, answer, limit):
        return await answer.reply.read(limit)


def make_answer(status=200, body=b'x', not_run=False, signature='s'):
    async def make_chunks():
        yield body

    reply = message.OpenReply(status, (), make_chunks(), 1)
    return calls.Answer(status, (), not_run, signature, None, None, reply)


def answer(after_s=0.01, **fields):
    async def step(call, timeout_ms):
        await asyncio.sleep(after_s)
        return make_answer(**fields)

    return step


def fail(kind, may_have_run, after_s=0.01):
    async def step(call, timeout_ms):
        await asyncio.sleep(min(after_s, timeout_ms / 1000))
        raise calls.CallFailedError(kind, may_have_run)

    return step


def make_route(repeat, max_attempts=3, timeout_ms=1000.0):
    return routes.Route(
        'r',
        'h',
        '/',
        repeat,
        (routes.Share('desk', 1.0),),
        timeout_ms,
        200.0,
        max_attempts,
    )


def run(repeat, max_attempts=3, deadline_s=None, **script):
    """Return outcome, endpoints asked and seconds taken."""

    async def scenario():
        registry = registries.Registry(lambda event: None)
        for number, name in enumerate(script):
            registry.put(
                endpoints.Endpoint(
                    name,
                    'desk',
                    f'10.0.0.{number}:1',
                    'north',
                    4,
                    False,
                    {},
                    1,
                )
            )
        port = ScriptedPort(**script)
        forwarder = forward.Forwarder(
            registry,
            port,
            'north',
            random.Random(1),
            lambda event: None,
            quarantine.Quarantine(),
        )
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = None if deadline_s is None else began + deadline_s
        call = calls.Call('id', 'h', 'POST', '/', (), b'', deadline)
        route = make_route(repeat, max_attempts)
        outcome = await forwarder.forward(call, route)
        assert all(one.in_flight == 0 for one in registry.state_by_id.values())
        return outcome, port.sent, loop.time() - began

    return virtualloop.run(scenario())


IDEMPOTENT = routes.RouteType.IDEMPOTENT
ONCE = routes.RouteType.NON_IDEMPOTENT
KINDS = outcomes.OutcomeKind


def test_idempotent_request_is_sent_again_after_a_reset():
    outcome, sent, _ = run(IDEMPOTENT, a=fail('reset', True), b=answer())
    assert outcome.kind is KINDS.ANSWERED
    assert sent == ['a', 'b']


def test_non_idempotent_request_is_not_sent_again_once_it_may_have_run():
    outcome, sent, _ = run(ONCE, a=fail('reset', True), b=answer())
    assert outcome.kind is KINDS.MAY_HAVE_RUN
    assert sent == ['a']


@pytest.mark.parametrize('repeat', [IDEMPOTENT, ONCE])
def test_refusals_of_endpoints_cost_no_attempt(repeat):
    refused = answer(status=503, not_run=True)
    outcome, sent, _ = run(
        repeat, max_attempts=1, a=refused, b=refused, c=answer()
    )
    assert outcome.kind is KINDS.ANSWERED
    assert sent == ['a', 'b', 'c']


@pytest.mark.parametrize('repeat', [IDEMPOTENT, ONCE])
def test_refusal_says_not_run_only_if_nothing_ran(repeat):
    outcome, _, took_s = run(repeat, a=answer(status=503, not_run=True))
    assert outcome.kind is KINDS.NOT_RUN
    assert took_s < 0.8
    outcome, _, _ = run(repeat, a=fail('connect-failed', False))
    assert outcome.kind is KINDS.NOT_RUN


def test_no_endpoint_is_refused_at_once():
    outcome, _, took_s = run(IDEMPOTENT)
    assert outcome.kind is KINDS.NOT_RUN
    assert took_s == 0
    assert outcome.retry_after_ms > 0


def test_attempts_stay_within_their_bound():
    broken = fail('reset', True)
    outcome, sent, _ = run(
        IDEMPOTENT, max_attempts=2, a=broken, b=broken, c=broken
    )
    assert outcome.kind is KINDS.MAY_HAVE_RUN
    assert len(sent) == 2


def test_silent_endpoint_costs_part_of_the_aim_only():
    outcome, sent, took_s = run(
        IDEMPOTENT, a=fail('timeout', True, 9.0), b=answer()
    )
    assert outcome.kind is KINDS.ANSWERED
    assert sent == ['a', 'b']
    assert took_s < 0.2


def test_success_without_a_signature_is_no_answer():
    outcome, sent, _ = run(
        IDEMPOTENT, a=answer(signature=None), b=answer(body=b'y')
    )
    assert outcome.body == b'y'
    outcome, _, _ = run(ONCE, a=answer(signature=None))
    assert outcome.kind is KINDS.MAY_HAVE_RUN


def test_own_error_of_the_endpoint_is_passed_on_in_the_end():
    outcome, sent, _ = run(
        IDEMPOTENT, a=answer(status=500), b=answer(status=500)
    )
    assert outcome.status == 500
    assert outcome.errors == len(sent) == 3


def test_answer_comes_before_the_deadline():
    outcome, _, took_s = run(
        ONCE, deadline_s=0.4, a=fail('timeout', True, 9.0)
    )
    assert outcome.kind is KINDS.TIMED_OUT
    assert 0.3 < took_s < 0.4


def test_longest_prefix_decides():
    def make(prefix):
        route = make_route(IDEMPOTENT)
        return dataclasses.replace(route, name=prefix, path_prefix=prefix)

    limits = routes.CallerLimits(1, 1, 1, 1)
    configuration = routes.Configuration(
        1, {'h': (make('/a/b/'), make('/a/'))}, {}, limits
    )
    find = routes.find_route
    assert find(configuration, 'H', '/a/b/c').name == '/a/b/'
    assert find(configuration, 'h', '/a/c').name == '/a/'
    assert find(configuration, 'h', '/b/') is None
    assert find(configuration, 'g', '/a/') is None
