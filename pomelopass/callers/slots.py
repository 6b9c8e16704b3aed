"""Queue requests of callers and assign endpoint slots to them."""

import asyncio

from ..core import admission
from ..core import attemptend
from ..core import ejection
from ..core import health
from ..core import length
from ..core import membership
from ..core import refusal
from ..core import verdict
from ..core import workclass
from . import poolstate
from . import reservation
from ..running import context as contexts
from . import work

__all__ = ['acquire', 'assign_slots', 'finish', 'release', 'review']

NO_ENDPOINT_RETRY_AFTER_MS = 1000


async def acquire(
    context: contexts.Context, item: work.Work, requeued: bool = False
) -> work.Slot:
    """Wait for a slot; raise Refused if the request can't have one."""
    state = contexts.get_pool_state(context, item.pool)
    _check_pool(context, item)
    waiting = _make_waiting_request(context, state, item)
    now_ms = context.ports.clock.now_ms()
    if requeued:
        state.admission.by_id[waiting.id] = waiting
    else:
        _set_limits(context, state, item)
        reason = admission.enqueue(state.admission, waiting, now_ms)
        if reason is not None:
            raise work.Refused(reason)
    waiter = asyncio.get_running_loop().create_future()
    state.waiter_by_id[item.id] = waiter
    state.avoid_by_id[item.id] = frozenset(item.tried_endpoints)
    state.prefix_by_id[item.id] = item.prefix
    assign_slots(context, state)
    try:
        if waiter.done():
            return waiter.result()
        return await _wait(context, state, item, waiter)
    except (work.Refused, asyncio.CancelledError):
        if not requeued:
            admission.release(state.admission, waiting)
        raise
    finally:
        state.waiter_by_id.pop(item.id, None)
        state.avoid_by_id.pop(item.id, None)
        state.prefix_by_id.pop(item.id, None)


def finish(context: contexts.Context, item: work.Work) -> None:
    """Release the admission counts of a finished request."""
    state = contexts.get_pool_state(context, item.pool)
    waiting = _make_waiting_request(context, state, item)
    admission.release(state.admission, waiting)


def release(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot: work.Slot,
    units: float,
    end: attemptend.AttemptEnd,
) -> None:
    """Free a slot and record the outcome of its attempt."""
    now_ms = context.ports.clock.now_ms()
    endpoint_health = slot.candidate.health
    pace = (now_ms - slot.started_at_ms) / max(units, 1.0)
    health.record_finished(
        endpoint_health, slot.attempt_id, units, end, now_ms
    )
    is_healthy = end == attemptend.AttemptEnd.SUCCEEDED and _is_pace_normal(
        state, endpoint_health, pace
    )
    if end == attemptend.AttemptEnd.CANCELLED:
        ejection.record_probe_cancelled(endpoint_health)
    else:
        ejection.record_probe_result(endpoint_health, is_healthy, now_ms)
    review(context, state)
    assign_slots(context, state)


def review(context: contexts.Context, state: poolstate.PoolState) -> None:
    """Eject endpoints that are far slower than the rest of the pool."""
    now_ms = context.ports.clock.now_ms()
    pool = context.configuration.pools.get(state.name)
    if pool is None or not pool.ejects_slow_endpoints:
        return
    for key in ejection.review(state.health_by_key, now_ms):
        context.metrics.ejections.inc({'pool': state.name})
        pace = health.get_worst_pace(state.health_by_key[key], now_ms)
        detail = f'{pace:.0f} ms per unit'
        contexts.record_event(context, 'endpoint-ejected', key, detail)


def assign_slots(
    context: contexts.Context, state: poolstate.PoolState
) -> None:
    """Assign free slots to the most urgent waiting requests."""
    now_ms = context.ports.clock.now_ms()
    _refuse_expired(state, now_ms)
    blocked: list[admission.WaitingRequest] = []
    long_allowed = True
    while state.admission.by_id:
        waiting = admission.pop_next(state.admission, now_ms, long_allowed)
        if waiting is None:
            break
        waiter = state.waiter_by_id.get(waiting.id)
        if waiter is None or waiter.done():
            continue
        slot = _reserve(context, state, waiting)
        if slot is not None:
            _record_drain(state, now_ms)
            waiter.set_result(slot)
            continue
        blocked.append(waiting)
        if not waiting.is_long:
            break
        # Short requests may overtake long ones that wait for a long slot.
        long_allowed = False
    for waiting in blocked:
        state.admission.by_id[waiting.id] = waiting


async def _wait(
    context: contexts.Context,
    state: poolstate.PoolState,
    item: work.Work,
    waiter: asyncio.Future,
) -> work.Slot:
    remaining_ms = item.deadline_ms - context.ports.clock.now_ms()
    try:
        async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
            return await waiter
    except TimeoutError:
        admission.withdraw(state.admission, item.id)
        raise work.Refused(_make_deadline_refusal()) from None
    except asyncio.CancelledError:
        admission.withdraw(state.admission, item.id)
        _release_unused(context, state, waiter)
        raise


def _release_unused(
    context: contexts.Context,
    state: poolstate.PoolState,
    waiter: asyncio.Future,
) -> None:
    if waiter.done() and not waiter.cancelled() and not waiter.exception():
        end = attemptend.AttemptEnd.CANCELLED
        release(context, state, waiter.result(), 1.0, end)


def _check_pool(context: contexts.Context, item: work.Work) -> None:
    if membership.find_usable(context.membership, item.pool):
        return
    raise work.Refused(
        refusal.Refusal(
            refusal.Code.NO_ENDPOINT,
            f'The pool {item.pool!r} has no endpoint.',
            verdict.Verdict.NOT_RUN,
            NO_ENDPOINT_RETRY_AFTER_MS,
        )
    )


def _reserve(
    context: contexts.Context,
    state: poolstate.PoolState,
    waiting: admission.WaitingRequest,
) -> work.Slot | None:
    is_long = waiting.is_long
    slot_request = reservation.SlotRequest(
        waiting.id,
        waiting.units,
        workclass.WorkClass.LONG if is_long else workclass.WorkClass.SHORT,
        state.prefix_by_id.get(waiting.id, ''),
        state.avoid_by_id.get(waiting.id, frozenset()),
    )
    return reservation.reserve_slot(context, state, slot_request)


def _set_limits(
    context: contexts.Context,
    state: poolstate.PoolState,
    item: work.Work,
) -> None:
    service = context.configuration.services[item.service]
    pool = context.configuration.pools[item.pool]
    state.admission.limits = admission.Limits(
        pool.queue_limit,
        service.max_in_progress_per_caller,
        service.max_in_progress,
    )


def _make_waiting_request(
    context: contexts.Context,
    state: poolstate.PoolState,
    item: work.Work,
) -> admission.WaitingRequest:
    return admission.WaitingRequest(
        item.id,
        item.service,
        item.caller,
        item.priority,
        item.units,
        context.ports.clock.now_ms(),
        item.deadline_ms,
        length.is_long(state.lengths, item.units),
        health.get_expected_ms(state.health_by_key, item.units),
    )


def _refuse_expired(state: poolstate.PoolState, now_ms: float) -> None:
    for waiting in admission.pop_expired(state.admission, now_ms):
        waiter = state.waiter_by_id.get(waiting.id)
        if waiter is not None and not waiter.done():
            waiter.set_exception(work.Refused(_make_deadline_refusal()))


def _make_deadline_refusal() -> refusal.Refusal:
    return refusal.Refusal(
        refusal.Code.DEADLINE_PASSED,
        'The request would not end before its deadline.',
        verdict.Verdict.NOT_RUN,
    )


def _record_drain(state: poolstate.PoolState, now_ms: float) -> None:
    interval_ms = now_ms - state.last_drain_ms
    state.last_drain_ms = now_ms
    if state.admission.by_id:
        admission.record_drain(state.admission, interval_ms)
    else:
        state.admission.drain_ms_per_request *= 0.5


def _is_pace_normal(
    state: poolstate.PoolState,
    endpoint_health: health.EndpointHealth,
    pace: float,
) -> bool:
    others = [
        other.ms_per_unit
        for other in state.health_by_key.values()
        if other is not endpoint_health and other.samples > 0
    ]
    if not others:
        return True
    return pace <= ejection.SLOW_FACTOR * min(others)
