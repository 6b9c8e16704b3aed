"""Choose an endpoint with a free place for a class of work."""

import dataclasses
import math

from ..core import affinity
from ..core import ejection
from ..core import endpoint
from ..core import health
from ..core import membership
from ..core import quota
from ..core import routing
from ..core import workclass
from . import poolstate
from ..running import context as contexts
from . import work

__all__ = ['SlotRequest', 'reserve_slot']

OVERCOMMIT = 1.25
MIN_SHORT_PLACES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Describe the place that a request or a sample needs."""

    attempt_id: str
    units: float
    work_class: workclass.WorkClass
    prefix: str = ''
    avoid: frozenset[str] = frozenset()
    usable: frozenset[str] | None = None


def reserve_slot(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot_request: SlotRequest,
) -> work.Slot | None:
    """Reserve a place, or return None when none is free."""
    now_ms = context.ports.clock.now_ms()
    request = _make_request(context, state, slot_request, now_ms)
    endpoints = _find_endpoints(context, state, slot_request)
    found = routing.find_candidates(endpoints, state.health_by_key, request)
    if not found:
        return None
    chosen = state.choose(found, request)
    if slot_request.prefix:
        key = chosen.endpoint.key
        affinity.record_cached(
            state.affinity, slot_request.prefix, key, now_ms
        )
    ejection.record_probe_sent(chosen.health)
    health.record_started(
        chosen.health,
        slot_request.attempt_id,
        slot_request.units,
        now_ms,
        slot_request.work_class,
    )
    return work.Slot(chosen, slot_request.attempt_id, now_ms)


def _find_endpoints(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot_request: SlotRequest,
) -> list[endpoint.Endpoint]:
    if slot_request.usable is None:
        return membership.find_subset(
            context.membership, state.name, context.settings.id
        )
    usable = membership.find_usable(context.membership, state.name)
    return [one for one in usable if one.key in slot_request.usable]


def _make_request(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot_request: SlotRequest,
    now_ms: float,
) -> routing.RouteRequest:
    rule = context.configuration.find_placement(state.name)
    holder = None
    if slot_request.prefix:
        holder = affinity.find_holder(
            state.affinity, slot_request.prefix, now_ms
        )
    avoid = slot_request.avoid
    if slot_request.work_class != workclass.WorkClass.SAMPLE:
        avoid = _drop_useless(context, state, avoid)
    return routing.RouteRequest(
        availability_zone=context.settings.availability_zone,
        slot_limit=_get_places(context, state, slot_request.work_class),
        now_ms=now_ms,
        avoid=avoid,
        zones=rule.zones if rule else (),
        spill_over=rule.spill_over if rule else True,
        prefix_holder=holder,
        work_class=slot_request.work_class,
    )


def _drop_useless(
    context: contexts.Context,
    state: poolstate.PoolState,
    avoid: frozenset[str],
) -> frozenset[str]:
    # A retry goes back to a tried endpoint when there is no other.
    subset = membership.find_subset(
        context.membership, state.name, context.settings.id
    )
    keys = {one.key for one in subset}
    return avoid if keys - avoid else frozenset()


def _get_places(
    context: contexts.Context,
    state: poolstate.PoolState,
    work_class: workclass.WorkClass,
) -> int | dict[str, int]:
    pool = context.configuration.pools[state.name]
    slots = pool.slots_per_endpoint
    if work_class == workclass.WorkClass.SAMPLE:
        return quota.get_sample_slots(slots, pool.sample_percent, True)
    if work_class == workclass.WorkClass.LONG:
        return _get_long_places(context, state)
    entries = contexts.count_live_entries(context)
    share = math.ceil(slots * OVERCOMMIT / entries)
    return min(slots, max(MIN_SHORT_PLACES, share))


def _get_long_places(
    context: contexts.Context, state: poolstate.PoolState
) -> dict[str, int]:
    pool = context.configuration.pools[state.name]
    trainers = context.configuration.trainers.values()
    trains = any(one.pool == state.name for one in trainers)
    slots = pool.slots_per_endpoint
    sampled = quota.get_sample_slots(slots, pool.sample_percent, trains)
    usable = membership.find_usable(context.membership, state.name)
    return quota.get_long_slot_quotas(
        context.settings.id,
        [one.id for one in context.entries],
        [one.key for one in usable],
        quota.get_long_slots(slots, pool.long_percent, sampled),
    )
