"""State of a request across its attempts, streamed or not."""

import asyncio
import dataclasses
import random

from .. import message
from . import call as calls
from ..core import rendezvous
from ..limits import permits as permitpools
from . import outcome as outcomes
from ..placement import placer as placers
from . import quarantine as quarantines
from ..registry import choice
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from . import routes
from . import start as starts

__all__ = [
    'CallState',
    'choose_endpoint',
    'get_capacity_deadline',
    'get_final_outcome',
    'get_work',
    'make_ended_event',
    'make_state',
    'may_attempt',
    'may_send',
    'record_refusal',
    'record_unreachable',
    'record_withdrawal',
    'wait_for_capacity',
]

# Lets the queues of the endpoints drain after all of them refused.
FULL_RETRY_PAUSE_MS = 25.0
# Share of the remaining time that a request waits for capacity.
FULL_WAIT_SHARE = 0.6
NO_ENDPOINT_RETRY_MS = 500.0


@dataclasses.dataclass(slots=True)
class CallState:
    """A request and the results of its attempts.

    Times are those of the event loop in seconds.
    """

    call: calls.Call
    route: routes.Route
    service: str
    # None if its content never counts as one that crashes endpoints.
    fingerprint: str | None
    started_at: float
    give_up_at: float
    may_have_run: int = 0
    errors: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    # Endpoints to which no path leads; the request does not wait for one.
    unreachable: set[str] = dataclasses.field(default_factory=set)
    # Includes refusals before the last pause.
    refused_by: set[str] = dataclasses.field(default_factory=set)
    last_error: outcomes.Outcome | None = None
    reason: str = ''
    # Only endpoints of this software version may run it; None for any.
    software: str | None = None
    # When an endpoint may take a request again, if limits exclude them all.
    permit_expected_at: float | None = None
    # Recorded where the usage of workspaces is reported.
    start: starts.Start = starts.NO_START
    # Where the prompt of a resumed text is cached, and how long it took.
    cache_zone: str | None = None
    prompt_ms: float = 0.0


def make_state(
    call: calls.Call,
    route: routes.Route,
    deadline_at: float,
    margin_s: float,
    rng: random.Random,
) -> CallState:
    """Return the initial state of a request."""
    return CallState(
        dataclasses.replace(call, deadline_at=deadline_at),
        route,
        routes.choose_service(route, rng),
        quarantines.get_fingerprint(call),
        asyncio.get_running_loop().time(),
        deadline_at - margin_s,
    )


def may_attempt(state: CallState) -> bool:
    """Return whether another endpoint may run the request."""
    if not routes.may_repeat(state.route):
        return state.may_have_run == 0
    return state.may_have_run < state.route.max_attempts


def may_send(state: CallState) -> bool:
    """Return whether the newest configuration still grants the request."""
    return state.call.grant is None or state.call.grant.may_send()


def choose_endpoint(
    state: CallState,
    registry: registries.Registry,
    permits: permitpools.PermitPool,
    placer: placers.Placer,
    only_untried: bool = False,
) -> endpoints.EndpointState | None:
    """Return the endpoint for an attempt that starts now, or None.

    A hedge goes to an endpoint that was not tried yet.
    """
    now = asyncio.get_running_loop().time()
    candidates, limited_states = permits.split(
        endpoint_state
        for endpoint_state in registry.get_by_service(state.service)
        if state.software in (None, endpoint_state.endpoint.software)
    )
    avoid = state.tried | state.refused | state.unreachable
    hedged_ms = (now - state.started_at) * 1000 if only_untried else None
    work = get_work(state, hedged_ms)
    endpoint_state = placer.choose_for_call(candidates, avoid, work, now)
    if endpoint_state is None and not (state.refused or only_untried):
        # Each endpoint failed once; a further attempt is still allowed.
        endpoint_state = placer.choose_for_call(
            candidates, state.unreachable, work, now
        )
    state.permit_expected_at = None
    if endpoint_state is None or choice.get_free_slots(endpoint_state) <= 0:
        _request_permit(state, permits, limited_states, only_untried)
    if endpoint_state is not None:
        permits.take(endpoint_state.endpoint.id)
    return endpoint_state


def get_work(
    state: CallState, hedged_ms: float | None = None
) -> placers.CallWork:
    """Return the request as the placement needs it."""
    return placers.CallWork(
        state.service,
        state.route.name,
        len(state.call.body),
        hedged_ms,
        state.cache_zone,
        state.prompt_ms,
    )


def _request_permit(
    state: CallState,
    permits: permitpools.PermitPool,
    limited_states: list[endpoints.EndpointState],
    only_untried: bool,
) -> None:
    # Spread by request, since all instances ask.
    endpoint_ids = rendezvous.rank(
        state.call.id,
        [endpoint_state.endpoint.id for endpoint_state in limited_states],
    )
    if only_untried or not endpoint_ids:
        # A hedge must not use up what other requests wait for.
        return
    fetching_ids = [
        endpoint_id
        for endpoint_id in endpoint_ids
        if permits.is_fetching(endpoint_id)
    ]
    # One permit is enough for one request.
    chosen_id = min(fetching_ids or endpoint_ids, key=permits.get_expected_at)
    permits.request(chosen_id)
    state.permit_expected_at = permits.get_expected_at(chosen_id)


def record_refusal(state: CallState, endpoint_id: str) -> None:
    """Record that an endpoint refused the request without running it."""
    state.tried.discard(endpoint_id)
    state.refused.add(endpoint_id)
    state.refused_by.add(endpoint_id)


def record_unreachable(state: CallState, endpoint_id: str) -> None:
    """Record that no path led to an endpoint, which received nothing."""
    state.tried.discard(endpoint_id)
    state.unreachable.add(endpoint_id)


def record_withdrawal(state: CallState, endpoint_id: str) -> None:
    """Record that the request was not sent, for its key was removed."""
    state.tried.discard(endpoint_id)
    state.reason = message.WITHDRAWN


def get_capacity_deadline(state: CallState) -> float:
    """Return until when the request may wait for capacity."""
    now = asyncio.get_running_loop().time()
    return now + (state.give_up_at - now) * FULL_WAIT_SHARE


async def wait_for_capacity(
    state: CallState, capacity_deadline_at: float
) -> bool:
    """Pause while no endpoint takes the request; return whether to retry."""
    now = asyncio.get_running_loop().time()
    expected_at = state.permit_expected_at
    if expected_at is None and not state.refused:
        return False
    if max(now, expected_at or now) >= capacity_deadline_at:
        state.reason = state.reason or 'endpoint-limited'
        return False
    state.refused.clear()
    await asyncio.sleep(FULL_RETRY_PAUSE_MS / 1000)
    return True


def get_final_outcome(
    state: CallState, has_pending: bool = False
) -> outcomes.Outcome:
    """Return the outcome of a request that gets no further attempt."""
    if state.last_error is not None:
        return dataclasses.replace(state.last_error, errors=state.errors)
    timed_out = state.reason == message.TIMEOUT and state.may_have_run
    if has_pending or timed_out:
        return outcomes.Outcome(outcomes.OutcomeKind.TIMED_OUT, 'timeout')
    if state.may_have_run:
        return outcomes.Outcome(
            outcomes.OutcomeKind.MAY_HAVE_RUN, state.reason
        )
    if state.reason == message.WITHDRAWN:
        return outcomes.Outcome(
            outcomes.OutcomeKind.WITHDRAWN, message.WITHDRAWN
        )
    return outcomes.Outcome(
        outcomes.OutcomeKind.NOT_RUN,
        state.reason or 'no-endpoint',
        retry_after_ms=_get_retry_after_ms(state),
    )


def _get_retry_after_ms(state: CallState) -> float:
    if state.permit_expected_at is None:
        return NO_ENDPOINT_RETRY_MS
    now = asyncio.get_running_loop().time()
    wait_ms = (state.permit_expected_at - now) * 1000
    return max(wait_ms, NO_ENDPOINT_RETRY_MS)


def make_ended_event(
    state: CallState,
    outcome: str,
    status: int,
    last_event_id: str | None = None,
) -> logevents.RequestEnded:
    """Return the log event of the end of the request."""
    now = asyncio.get_running_loop().time()
    workspace = state.call.workspace or None
    grant = state.call.grant if workspace else None
    return logevents.RequestEnded(
        id=state.call.id,
        route=state.route.name,
        outcome=outcome,
        status=status,
        reason=state.reason,
        endpoints=sorted(state.tried),
        refused_by=sorted(state.refused_by),
        may_have_run=state.may_have_run,
        took_ms=round((now - state.started_at) * 1000, 1),
        last_event_id=last_event_id,
        resumes=state.call.resumes,
        software=state.software,
        configuration=state.route.configuration_version,
        fingerprint=state.fingerprint if last_event_id is not None else None,
        workspace=workspace,
        granted_by=grant.version if grant else None,
        granted_ms=(
            round((grant.confirmed_at - state.started_at) * 1000, 1)
            if grant
            else None
        ),
    )
