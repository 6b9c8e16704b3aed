"""Hold how far a request has come, streamed or not."""

import asyncio
import dataclasses
import random

from . import call as calls
from . import outcome as outcomes
from . import quarantine as quarantines
from ..registry import choice
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from . import routes

__all__ = [
    'CallState',
    'begin',
    'choose',
    'get_full_until',
    'give_up',
    'make_event',
    'may_try',
    'record_refusal',
    'wait_for_room',
]

# Pause after all endpoints refused, so that their queues can move.
FULL_PAUSE_MS = 25.0
# Part of the time left that a request waits while all endpoints refuse.
FULL_WAIT_SHARE = 0.6
NO_ENDPOINT_RETRY_MS = 500.0


@dataclasses.dataclass(slots=True)
class CallState:
    """Hold a request and what its attempts brought.

    Times are on the clock of the event loop, in seconds.
    """

    call: calls.Call
    route: routes.Route
    service: str
    fingerprint: str
    began_at: float
    give_up_at: float
    may_have_run: int = 0
    errors: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    # All that refused it, also before the last pause.
    refused_by: set[str] = dataclasses.field(default_factory=set)
    # The last answer that told an error.
    last: outcomes.Outcome | None = None
    reason: str = ''


def begin(
    call: calls.Call,
    route: routes.Route,
    limit: float,
    margin_s: float,
    rng: random.Random,
) -> CallState:
    """Return the state of a request that has just come."""
    return CallState(
        dataclasses.replace(call, deadline_at=limit),
        route,
        routes.choose_service(route, rng),
        quarantines.get_fingerprint(call),
        asyncio.get_running_loop().time(),
        limit - margin_s,
    )


def may_try(state: CallState) -> bool:
    """Say whether one more endpoint may run the request."""
    if not routes.may_repeat(state.route):
        return state.may_have_run == 0
    return state.may_have_run < state.route.max_attempts


def choose(
    state: CallState, registry: registries.Registry, availability_zone: str
) -> endpoints.EndpointState | None:
    """Return the endpoint for the next attempt."""
    now = asyncio.get_running_loop().time()
    states = registry.get_by_service(state.service)
    avoid = state.tried | state.refused
    found = choice.choose_for_call(states, avoid, availability_zone, now)
    if found is None and not state.refused:
        # Each endpoint failed once; another try is still allowed.
        found = choice.choose_for_call(states, (), availability_zone, now)
    return found


def record_refusal(state: CallState, endpoint_id: str) -> None:
    """Take in that an endpoint ran nothing."""
    state.tried.discard(endpoint_id)
    state.refused.add(endpoint_id)
    state.refused_by.add(endpoint_id)


def get_full_until(state: CallState) -> float:
    """Return until when the request waits while all endpoints refuse."""
    now = asyncio.get_running_loop().time()
    return now + (state.give_up_at - now) * FULL_WAIT_SHARE


async def wait_for_room(state: CallState, full_until: float) -> bool:
    """Wait if all endpoints refused; say whether to ask them again."""
    now = asyncio.get_running_loop().time()
    if not state.refused or now >= full_until:
        return False
    state.refused.clear()
    await asyncio.sleep(FULL_PAUSE_MS / 1000)
    return True


def give_up(state: CallState, pending: bool = False) -> outcomes.Outcome:
    """Return how the request ends when no endpoint is asked any more."""
    if state.last is not None:
        return dataclasses.replace(state.last, errors=state.errors)
    timed_out = state.reason == 'timeout' and state.may_have_run
    if pending or timed_out:
        return outcomes.Outcome(outcomes.OutcomeKind.TIMED_OUT, 'timeout')
    if state.may_have_run:
        return outcomes.Outcome(
            outcomes.OutcomeKind.MAY_HAVE_RUN, state.reason
        )
    return outcomes.Outcome(
        outcomes.OutcomeKind.NOT_RUN,
        state.reason or 'no-endpoint',
        retry_after_ms=NO_ENDPOINT_RETRY_MS,
    )


def make_event(
    state: CallState,
    outcome: str,
    status: int,
    last_event_id: str | None = None,
) -> logevents.RequestEnded:
    """Return the line that tells how the request ended."""
    now = asyncio.get_running_loop().time()
    return logevents.RequestEnded(
        id=state.call.id,
        route=state.route.name,
        outcome=outcome,
        status=status,
        reason=state.reason,
        endpoints=sorted(state.tried),
        refused_by=sorted(state.refused_by),
        may_have_run=state.may_have_run,
        took_ms=round((now - state.began_at) * 1000, 1),
        last_event_id=last_event_id,
    )
