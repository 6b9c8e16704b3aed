"""Send a request to one endpoint and classify its answer."""

import asyncio
import dataclasses

from .. import answermemory
from .. import message
from . import answerbody
from . import call as calls
from . import outcome as outcomes
from ..placement import placer as placers
from . import quarantine as quarantines
from ..registry import endpoint as endpoints
from ..reporting import logevents
from . import start as starts

__all__ = [
    'AttemptContext',
    'record_failure',
    'record_if_crashed',
    'run_attempt',
]

NO_SIGNATURE = 'no-signature'


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptContext:
    """Dependencies shared by all attempts of an instance."""

    port: calls.EndpointPort
    quarantine: quarantines.Quarantine
    write_event: logevents.WriteEvent
    memory: answermemory.AnswerMemory
    placer: placers.Placer


async def run_attempt(
    context: AttemptContext,
    state: endpoints.EndpointState,
    call: calls.Call,
    give_up_at: float,
    fresh: bool,
    fingerprint: str | None,
    work: placers.CallWork,
) -> outcomes.Attempt:
    """Send the call to an endpoint and return the result."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        answer, body, kept = await _exchange(
            context, state, call, (give_up_at - started_at) * 1000, fresh
        )
    except calls.CallFailedError as error:
        record_failure(state, error.kind)
        if error.connection_broken:
            await record_if_crashed(context, state, fingerprint)
        return outcomes.Attempt(
            state.endpoint.id,
            not error.may_have_run,
            reason=error.kind,
            began_at=started_at,
        )
    attempt = _classify_answer(state, answer, body, kept, started_at)
    if not attempt.not_run and attempt.reason != NO_SIGNATURE:
        took_ms = (loop.time() - started_at) * 1000
        is_served = answer.status < 500
        context.placer.record_answer(
            state, work, took_ms if is_served else None, len(body)
        )
    return attempt


def record_failure(state: endpoints.EndpointState, kind: str) -> None:
    """Start the backoff of an endpoint after a failure of that kind."""
    if kind == message.WITHDRAWN:
        return
    now = asyncio.get_running_loop().time()
    if kind == calls.UNREACHABLE:
        endpoints.record_unreachable(state, now)
    else:
        endpoints.record_failure(state, now)


def _classify_answer(
    state: endpoints.EndpointState,
    answer: calls.Answer,
    body: bytes,
    kept: answermemory.Share | None,
    started_at: float,
) -> outcomes.Attempt:
    loop = asyncio.get_running_loop()
    endpoint_id = state.endpoint.id
    if answer.load is not None:
        endpoints.record_load(state, answer.load, loop.time())
    if answer.not_run:
        return outcomes.Attempt(endpoint_id, True, reason='endpoint-refused')
    began_at = starts.estimate_start(started_at, loop.time(), answer.load)
    if 200 <= answer.status < 300 and answer.signature is None:
        endpoints.record_failure(state, loop.time())
        return outcomes.Attempt(
            endpoint_id, False, reason=NO_SIGNATURE, began_at=began_at
        )
    if answer.status < 500:
        took_ms = (loop.time() - started_at) * 1000
        endpoints.record_success(state, took_ms, loop.time())
    outcome = outcomes.make_answered_outcome(answer, body, kept)
    return outcomes.Attempt(endpoint_id, False, outcome, began_at=began_at)


async def _exchange(
    context: AttemptContext,
    state: endpoints.EndpointState,
    call: calls.Call,
    timeout_ms: float,
    fresh: bool,
) -> tuple[calls.Answer, bytes, answermemory.Share | None]:
    answer = None
    complete = False
    state.in_flight += 1
    try:
        answer = await context.port.open(
            state.endpoint, call, timeout_ms, fresh=fresh
        )
        if answer.not_run:
            await answer.reply.discard(
                calls.MAX_DISCARDED_BYTES, calls.DISCARD_TIMEOUT_MS
            )
            complete = True
            return answer, b'', None
        body, kept = await answerbody.read_body(
            answer, context.memory, state.endpoint.id
        )
        complete = True
        return answer, body, kept
    finally:
        state.in_flight -= 1
        if answer is not None and not complete:
            await answer.reply.close()


async def record_if_crashed(
    context: AttemptContext,
    state: endpoints.EndpointState,
    fingerprint: str | None,
) -> None:
    """Record a crash if the endpoint refuses new connections."""
    if fingerprint is None:
        return
    if not await context.port.is_refused(state.endpoint):
        return
    now = asyncio.get_running_loop().time()
    context.quarantine.record_crash(fingerprint, now)
    context.write_event(
        logevents.EndpointCrashed(
            endpoint=state.endpoint.id,
            fingerprint=fingerprint,
        )
    )
