"""Send requests to endpoints and retry where that is safe."""

from .. import message
from . import claimflow
from ..core import attemptend
from ..core import ejection
from ..core import length
from ..core import refusal
from ..core import retry
from ..core import verdict
from . import crash
from ..running import context as contexts
from . import slots
from . import work

__all__ = ['prepare_retry', 'run_plain']

CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    )
)
DEFAULT_EXPECTED_MS = 1.0
RETRY_STATUSES = (502, 503, 504)


async def run_plain(
    context: contexts.Context, item: work.Work
) -> message.Reply:
    """Return the complete reply of a plain service; raise Refused."""
    crash.check_quarantine(context, item)
    slot = await slots.acquire(context, item)
    record_first_attempt(context, item)
    try:
        while True:
            try:
                return await _attempt(context, item, slot)
            except message.ExchangeError as error:
                slot = await prepare_retry(context, item, slot, error, False)
    finally:
        slots.finish(context, item)


async def prepare_retry(
    context: contexts.Context,
    item: work.Work,
    slot: work.Slot,
    error: message.ExchangeError,
    first_byte_sent: bool,
) -> work.Slot:
    """Return a slot for another attempt; raise Refused if not allowed."""
    key = slot.candidate.endpoint.key
    outcome = verdict.get_attempt_verdict(error.bytes_written, False)
    contexts.record_event(
        context, 'attempt-failed', item.id, f'{key} {error.kind}'
    )
    remaining_ms = item.deadline_ms - context.ports.clock.now_ms()
    attempt = retry.Attempt(
        number=len(item.verdicts) + 1,
        earlier_runs=_count_may_have_run(item),
        verdict=outcome,
        repeatable=item.repeatable,
        is_retry=item.is_retry,
        first_byte_sent=first_byte_sent,
        remaining_ms=remaining_ms,
        expected_ms=_get_expected_ms(slot, item),
    )
    item.verdicts.append(outcome)
    item.tried_endpoints.add(key)
    if outcome == verdict.Verdict.NOT_RUN:
        now_ms = context.ports.clock.now_ms()
        ejection.mark_unreachable(slot.candidate.health, now_ms)
    await crash.handle_failure(context, item, slot, error)
    budget = get_budget(context, item)
    if not retry.take_retry(budget, attempt):
        raise work.Refused(_make_failure(item, error))
    claimflow.mark_requeued(context, item)
    context.metrics.retries.inc({'service': item.service})
    try:
        return await slots.acquire(context, item, requeued=True)
    except work.Refused as refused:
        raise work.Refused(
            _add_overall_verdict(item, refused.reason)
        ) from None


def record_first_attempt(context: contexts.Context, item: work.Work) -> None:
    """Credit the retry budget for the first attempt of a request."""
    retry.record_request(get_budget(context, item))


def get_budget(
    context: contexts.Context, item: work.Work
) -> retry.RetryBudget:
    """Return the retry budget of the service of a request."""
    state = contexts.get_pool_state(context, item.pool)
    service = context.configuration.services[item.service]
    budget = state.budget_by_service.get(item.service)
    if budget is None:
        budget = retry.RetryBudget(service.retry_budget_percent)
        state.budget_by_service[item.service] = budget
    return budget


def make_endpoint_request(
    context: contexts.Context, item: work.Work, body: bytes
) -> message.Request:
    """Return the request to send to the endpoint."""
    remaining_ms = item.deadline_ms - context.ports.clock.now_ms()
    headers = [
        pair
        for pair in item.headers
        if pair[0] not in CONNECTION_HEADERS
        and not pair[0].startswith(('x-priority', 'x-deadline'))
    ]
    headers.append(('x-request-id', item.attempt_id))
    headers.append(('x-priority', str(_get_priority(context, item))))
    headers.append(('x-deadline-ms', str(int(max(0, remaining_ms)))))
    return message.Request(item.method, item.target, tuple(headers), body)


def _get_priority(context: contexts.Context, item: work.Work) -> int:
    # Within one priority, engines run short requests before long ones.
    state = contexts.get_pool_state(context, item.pool)
    return 2 * item.priority + length.is_long(state.lengths, item.units)


def check_echo(
    context: contexts.Context, item: work.Work, reply: message.OpenReply
) -> None:
    """Raise ExchangeError when the reply is for another request."""
    echoed = message.find_header(reply.headers, 'x-request-id')
    pool = context.configuration.pools[item.pool]
    missing = echoed is None and pool.echoes_request_id
    if missing or echoed not in (None, item.attempt_id):
        raise message.ExchangeError('mismatched', reply.bytes_written)


async def _attempt(
    context: contexts.Context, item: work.Work, slot: work.Slot
) -> message.Reply:
    state = contexts.get_pool_state(context, item.pool)
    endpoint = slot.candidate.endpoint
    end = attemptend.AttemptEnd.CANCELLED
    try:
        claimflow.mark_dispatched(context, item)
        contexts.record_event(context, 'dispatched', item.id, endpoint.key)
        reply = await _exchange(context, item, endpoint.address)
        end = attemptend.AttemptEnd.SUCCEEDED
    except message.ExchangeError:
        end = attemptend.AttemptEnd.FAILED
        raise
    finally:
        slots.release(context, state, slot, item.units, end)
    length.record_length(state.lengths, item.shape, 1.0)
    crash.record_success(context, item)
    item.verdicts.append(verdict.Verdict.RAN)
    return reply


async def _exchange(
    context: contexts.Context, item: work.Work, address: str
) -> message.Reply:
    request = make_endpoint_request(context, item, item.body)
    remaining_ms = item.deadline_ms - context.ports.clock.now_ms()
    reply = await context.ports.http.open(
        address, request, remaining_ms, fresh=not item.repeatable
    )
    try:
        check_echo(context, item, reply)
        body = await reply.read(context.settings.max_body_bytes)
    finally:
        await reply.chunks.aclose()
    if item.repeatable and reply.status in RETRY_STATUSES:
        raise message.ExchangeError('status', reply.bytes_written)
    headers = tuple(
        pair for pair in reply.headers if pair[0] not in CONNECTION_HEADERS
    )
    return message.Reply(reply.status, headers, body)


def _count_may_have_run(item: work.Work) -> int:
    return sum(
        attempt_verdict != verdict.Verdict.NOT_RUN
        for attempt_verdict in item.verdicts
    )


def _get_expected_ms(slot: work.Slot, item: work.Work) -> float:
    pace = slot.candidate.health.ms_per_unit
    return max(DEFAULT_EXPECTED_MS, pace * item.units)


def _make_failure(
    item: work.Work, error: message.ExchangeError
) -> refusal.Refusal:
    overall = verdict.get_overall_verdict(item.verdicts)
    code = refusal.Code.ENDPOINT_FAILED
    if error.kind == 'timeout':
        code = refusal.Code.DEADLINE_PASSED
    if error.kind == 'reply-too-large':
        code = refusal.Code.REPLY_TOO_LARGE
    detail = f'The endpoint did not answer in full: {error.kind}.'
    return refusal.Refusal(code, detail, overall)


def _add_overall_verdict(
    item: work.Work, reason: refusal.Refusal
) -> refusal.Refusal:
    overall = verdict.get_overall_verdict([*item.verdicts, reason.verdict])
    return refusal.Refusal(
        reason.code, reason.detail, overall, reason.retry_after_ms
    )
