"""Reserve places on endpoints for requests of callers and samples."""

import asyncio
import math

from . import context as contexts
from . import poolstate
from . import work
from .core import admission
from .core import affinity
from .core import ejection
from .core import health
from .core import length
from .core import membership
from .core import refusal
from .core import routing
from .core import verdict

__all__ = ['acquire', 'pump', 'release', 'take_sample_slot']

OVERCOMMIT = 1.25


async def acquire(
    context: contexts.Context, item: work.Work, again: bool = False
) -> work.Slot:
    """Wait for a place; raise Refused when the request can't have one."""
    state = contexts.get_pool_state(context, item.pool)
    waiting = _make_waiting(context, state, item)
    now_ms = context.ports.clock.now_ms()
    if again:
        state.admission.by_id[waiting.id] = waiting
    else:
        _set_limits(context, state, item)
        reason = admission.enqueue(state.admission, waiting, now_ms)
        if reason is not None:
            raise work.Refused(reason)
    waiter = asyncio.get_running_loop().create_future()
    state.waiter_by_id[item.id] = waiter
    state.avoid_by_id[item.id] = frozenset(item.tried)
    state.prefix_by_id[item.id] = item.prefix
    pump(context, state)
    try:
        if waiter.done():
            return waiter.result()
        return await _wait(context, state, item, waiter)
    except (work.Refused, asyncio.CancelledError):
        if not again:
            admission.release(state.admission, waiting)
        raise
    finally:
        state.waiter_by_id.pop(item.id, None)
        state.avoid_by_id.pop(item.id, None)
        state.prefix_by_id.pop(item.id, None)


def finish(context: contexts.Context, item: work.Work) -> None:
    """Give back the counts of an admitted request."""
    state = contexts.get_pool_state(context, item.pool)
    waiting = _make_waiting(context, state, item)
    admission.release(state.admission, waiting)


def release(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot: work.Slot,
    units: float,
    succeeded: bool,
) -> None:
    """Free a place and learn from how the attempt went."""
    now_ms = context.ports.clock.now_ms()
    one = slot.candidate.health
    pace = (now_ms - slot.started_at_ms) / max(units, 1.0)
    health.note_finished(one, slot.attempt_id, units, succeeded, now_ms)
    ejection.note_result(one, succeeded, _is_pace_ok(state, one, pace))
    if slot.is_long:
        state.long_in_flight -= 1
    review(context, state)
    pump(context, state)


def review(context: contexts.Context, state: poolstate.PoolState) -> None:
    """Eject endpoints that are far slower than their like."""
    now_ms = context.ports.clock.now_ms()
    for key in ejection.review(state.health_by_key, now_ms):
        context.metrics.ejections.inc({'pool': state.name})
        pace = health.get_slowness(state.health_by_key[key], now_ms)
        detail = f'{pace:.0f} ms per unit'
        contexts.note(context, 'endpoint-ejected', key, detail)


def pump(context: contexts.Context, state: poolstate.PoolState) -> None:
    """Give free places to the most urgent requests."""
    now_ms = context.ports.clock.now_ms()
    _refuse_expired(state, now_ms)
    long_limit = _get_long_limit(context, state)
    held: list[admission.Waiting] = []
    while state.admission.by_id:
        allowed = state.long_in_flight < long_limit
        waiting = admission.pop_next(state.admission, now_ms, allowed)
        if waiting is None:
            break
        waiter = state.waiter_by_id.get(waiting.id)
        if waiter is None or waiter.done():
            continue
        slot = _reserve(context, state, waiting, now_ms)
        if slot is None:
            held.append(waiting)
            break
        _note_drain(state, now_ms)
        waiter.set_result(slot)
    for waiting in held:
        state.admission.by_id[waiting.id] = waiting


def take_sample_slot(
    context: contexts.Context,
    pool_name: str,
    attempt_id: str,
    units: float,
    prefix: str,
    avoid: frozenset[str],
    usable: set[str] | None,
) -> work.Slot | None:
    """Reserve a place for a sample, or return None when none is free."""
    state = contexts.get_pool_state(context, pool_name)
    pool = context.configuration.pools[pool_name]
    now_ms = context.ports.clock.now_ms()
    slots = max(1, pool.slots_per_endpoint * pool.sample_percent // 100)
    request = _make_request(context, state, slots, now_ms, prefix, avoid, True)
    endpoints = membership.find_usable(context.membership, pool_name)
    if usable is not None:
        endpoints = [one for one in endpoints if one.key in usable]
    found = routing.find_candidates(endpoints, state.health_by_key, request)
    if not found:
        return None
    chosen = state.choose(found, request)
    return _start(state, chosen, attempt_id, units, False, now_ms, True)


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
        raise work.Refused(_make_late()) from None
    except asyncio.CancelledError:
        admission.withdraw(state.admission, item.id)
        _return_unused(context, state, waiter)
        raise


def _return_unused(
    context: contexts.Context,
    state: poolstate.PoolState,
    waiter: asyncio.Future,
) -> None:
    if waiter.done() and not waiter.cancelled() and not waiter.exception():
        release(context, state, waiter.result(), 1.0, False)


def _reserve(
    context: contexts.Context,
    state: poolstate.PoolState,
    waiting: admission.Waiting,
    now_ms: float,
) -> work.Slot | None:
    slots = _get_own_slots(context, state)
    avoid = state.avoid_by_id.get(waiting.id, frozenset())
    prefix = state.prefix_by_id.get(waiting.id, '')
    request = _make_request(
        context, state, slots, now_ms, prefix, avoid, False
    )
    endpoints = membership.find_usable(context.membership, state.name)
    found = routing.find_candidates(endpoints, state.health_by_key, request)
    if not found:
        return None
    chosen = state.choose(found, request)
    if prefix:
        key = chosen.endpoint.key
        affinity.note_cached(state.affinity, prefix, key, now_ms)
    if waiting.is_long:
        state.long_in_flight += 1
    return _start(
        state,
        chosen,
        waiting.id,
        waiting.units,
        waiting.is_long,
        now_ms,
        False,
    )


def _start(
    state: poolstate.PoolState,
    chosen: routing.Candidate,
    attempt_id: str,
    units: float,
    is_long: bool,
    now_ms: float,
    for_sample: bool,
) -> work.Slot:
    ejection.note_probe_sent(chosen.health)
    health.note_started(chosen.health, attempt_id, units, now_ms, for_sample)
    return work.Slot(chosen, attempt_id, is_long, now_ms)


def _make_request(
    context: contexts.Context,
    state: poolstate.PoolState,
    slots: int,
    now_ms: float,
    prefix: str,
    avoid: frozenset[str],
    for_sample: bool,
) -> routing.RouteRequest:
    rule = context.configuration.find_placement(state.name)
    holder = None
    if prefix:
        holder = affinity.find_holder(state.affinity, prefix, now_ms)
    return routing.RouteRequest(
        availability_zone=context.settings.availability_zone,
        slots=slots,
        now_ms=now_ms,
        avoid=avoid,
        zones=rule.zones if rule else (),
        spill_over=rule.spill_over if rule else True,
        prefix_holder=holder,
        for_sample=for_sample,
    )


def _get_own_slots(
    context: contexts.Context, state: poolstate.PoolState
) -> int:
    pool = context.configuration.pools[state.name]
    entries = contexts.count_live_entries(context)
    share = math.ceil(pool.slots_per_endpoint * OVERCOMMIT / entries)
    return min(pool.slots_per_endpoint, max(1, share))


def _get_long_limit(
    context: contexts.Context, state: poolstate.PoolState
) -> int:
    pool = context.configuration.pools[state.name]
    usable = membership.find_usable(context.membership, state.name)
    entries = contexts.count_live_entries(context)
    total = len(usable) * pool.slots_per_endpoint
    share = total * pool.long_percent / 100 / entries
    return max(1, round(share))


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


def _make_waiting(
    context: contexts.Context,
    state: poolstate.PoolState,
    item: work.Work,
) -> admission.Waiting:
    return admission.Waiting(
        item.id,
        item.service,
        item.caller,
        item.priority,
        item.units,
        context.ports.clock.now_ms(),
        item.deadline_ms,
        length.is_long(state.lengths, item.units),
    )


def _refuse_expired(state: poolstate.PoolState, now_ms: float) -> None:
    for waiting in admission.pop_expired(state.admission, now_ms):
        waiter = state.waiter_by_id.get(waiting.id)
        if waiter is not None and not waiter.done():
            waiter.set_exception(work.Refused(_make_late()))


def _make_late() -> refusal.Refusal:
    return refusal.Refusal(
        refusal.Code.DEADLINE_PASSED,
        'The deadline passed while the request waited.',
        verdict.Verdict.NOT_RUN,
    )


def _note_drain(state: poolstate.PoolState, now_ms: float) -> None:
    interval_ms = now_ms - state.last_drain_ms
    state.last_drain_ms = now_ms
    if state.admission.by_id:
        admission.note_drained(state.admission, interval_ms)
    else:
        state.admission.drain_ms_per_request *= 0.5


def _is_pace_ok(
    state: poolstate.PoolState, one: health.EndpointHealth, pace: float
) -> bool:
    others = [
        other.ms_per_unit
        for other in state.health_by_key.values()
        if other is not one and other.samples > 0
    ]
    if not others:
        return True
    return pace <= ejection.SLOW_FACTOR * min(others)
