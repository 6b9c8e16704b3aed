"""Test forwarding, retries and hedging of requests."""

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
from tests import entrybuilders


class ScriptedClient:
    """Client whose answers are scripted per endpoint."""

    def __init__(self, **step_by_endpoint):
        self.step_by_endpoint = step_by_endpoint
        self.sent = []

    async def open(self, target, call, timeout_ms, stall_ms=None, fresh=False):
        self.sent.append(target.id)
        step = self.step_by_endpoint[target.id]
        return await step(call, timeout_ms)

    async def is_refused(self, target):
        return False


def make_answer(status=200, body=b'x', not_run=False, signature='s'):
    async def make_chunks():
        yield body

    reply = message.OpenReply(status, (), make_chunks(), 1)
    return calls.Answer(status, (), not_run, signature, None, None, reply)


def make_answer_step(after_s=0.01, **fields):
    async def step(call, timeout_ms):
        await asyncio.sleep(after_s)
        return make_answer(**fields)

    return step


def make_failure_step(kind, may_have_run, after_s=0.01):
    async def step(call, timeout_ms):
        await asyncio.sleep(min(after_s, timeout_ms / 1000))
        raise calls.CallFailedError(kind, may_have_run)

    return step


def make_route(route_type, max_attempts=3, timeout_ms=1000.0):
    return routes.Route(
        'r',
        'h',
        '/',
        route_type,
        (routes.Share('desk', 1.0),),
        timeout_ms,
        200.0,
        max_attempts,
    )


def run(route_type, max_attempts=3, deadline_s=None, **step_by_endpoint):
    """Forward one request; return outcome, endpoints called, seconds."""

    async def scenario():
        registry = registries.Registry(lambda event: None)
        for number, name in enumerate(step_by_endpoint):
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
        port = ScriptedClient(**step_by_endpoint)
        forwarder = forward.Forwarder(
            registry,
            port,
            'north',
            random.Random(1),
            lambda event: None,
            quarantine.Quarantine(),
            entrybuilders.make_permits(),
            entrybuilders.make_memory(),
        )
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline_at = None if deadline_s is None else started_at + deadline_s
        call = calls.Call('id', 'h', 'POST', '/', (), b'', deadline_at)
        route = make_route(route_type, max_attempts)
        outcome = await forwarder.forward(call, route)
        assert all(
            state.in_flight == 0 for state in registry.state_by_id.values()
        )
        return outcome, port.sent, loop.time() - started_at

    return virtualloop.run(scenario())


IDEMPOTENT = routes.RouteType.IDEMPOTENT
NON_IDEMPOTENT = routes.RouteType.NON_IDEMPOTENT
OUTCOME_KINDS = outcomes.OutcomeKind


def test_idempotent_request_is_retried_after_a_reset():
    outcome, sent, _ = run(
        IDEMPOTENT, a=make_failure_step('reset', True), b=make_answer_step()
    )
    assert outcome.kind is OUTCOME_KINDS.ANSWERED
    assert sent == ['a', 'b']


def test_non_idempotent_request_is_not_retried_once_it_may_have_run():
    outcome, sent, _ = run(
        NON_IDEMPOTENT,
        a=make_failure_step('reset', True),
        b=make_answer_step(),
    )
    assert outcome.kind is OUTCOME_KINDS.MAY_HAVE_RUN
    assert sent == ['a']


@pytest.mark.parametrize('route_type', [IDEMPOTENT, NON_IDEMPOTENT])
def test_refusals_do_not_count_as_attempts(route_type):
    refusing = make_answer_step(status=503, not_run=True)
    outcome, sent, _ = run(
        route_type,
        max_attempts=1,
        a=refusing,
        b=refusing,
        c=make_answer_step(),
    )
    assert outcome.kind is OUTCOME_KINDS.ANSWERED
    assert sent == ['a', 'b', 'c']


@pytest.mark.parametrize('route_type', [IDEMPOTENT, NON_IDEMPOTENT])
def test_request_that_never_ran_ends_as_not_run(route_type):
    outcome, _, elapsed_s = run(
        route_type, a=make_answer_step(status=503, not_run=True)
    )
    assert outcome.kind is OUTCOME_KINDS.NOT_RUN
    assert elapsed_s < 0.8
    outcome, _, _ = run(
        route_type, a=make_failure_step('connect-failed', False)
    )
    assert outcome.kind is OUTCOME_KINDS.NOT_RUN


def test_request_without_an_endpoint_is_rejected_at_once():
    outcome, _, elapsed_s = run(IDEMPOTENT)
    assert outcome.kind is OUTCOME_KINDS.NOT_RUN
    assert elapsed_s == 0
    assert outcome.retry_after_ms > 0


def test_attempts_are_limited():
    resetting = make_failure_step('reset', True)
    outcome, sent, _ = run(
        IDEMPOTENT, max_attempts=2, a=resetting, b=resetting, c=resetting
    )
    assert outcome.kind is OUTCOME_KINDS.MAY_HAVE_RUN
    assert len(sent) == 2


def test_silent_endpoint_is_hedged_within_the_target_latency():
    outcome, sent, elapsed_s = run(
        IDEMPOTENT,
        a=make_failure_step('timeout', True, 9.0),
        b=make_answer_step(),
    )
    assert outcome.kind is OUTCOME_KINDS.ANSWERED
    assert sent == ['a', 'b']
    assert elapsed_s < 0.2


def test_success_without_a_signature_counts_as_failure():
    outcome, sent, _ = run(
        IDEMPOTENT,
        a=make_answer_step(signature=None),
        b=make_answer_step(body=b'y'),
    )
    assert outcome.body == b'y'
    outcome, _, _ = run(NON_IDEMPOTENT, a=make_answer_step(signature=None))
    assert outcome.kind is OUTCOME_KINDS.MAY_HAVE_RUN


def test_error_answer_is_passed_on_after_the_last_attempt():
    outcome, sent, _ = run(
        IDEMPOTENT,
        a=make_answer_step(status=500),
        b=make_answer_step(status=500),
    )
    assert outcome.status == 500
    assert outcome.errors == len(sent) == 3


def test_outcome_is_returned_before_the_deadline():
    outcome, _, elapsed_s = run(
        NON_IDEMPOTENT,
        deadline_s=0.4,
        a=make_failure_step('timeout', True, 9.0),
    )
    assert outcome.kind is OUTCOME_KINDS.TIMED_OUT
    assert 0.3 < elapsed_s < 0.4


def test_route_with_the_longest_prefix_is_chosen():
    def make_prefix_route(prefix):
        route = make_route(IDEMPOTENT)
        return dataclasses.replace(route, name=prefix, path_prefix=prefix)

    limits = routes.CallerLimits(1, 1, 1, 1)
    configuration = routes.Configuration(
        1,
        {'h': (make_prefix_route('/a/b/'), make_prefix_route('/a/'))},
        {},
        limits,
    )
    find = routes.find_route
    assert find(configuration, 'H', '/a/b/c').name == '/a/b/'
    assert find(configuration, 'h', '/a/c').name == '/a/'
    assert find(configuration, 'h', '/b/') is None
    assert find(configuration, 'g', '/a/') is None
