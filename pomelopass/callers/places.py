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

__all__ = ['Wish', 'take_place']

OVERCOMMIT = 1.25
MIN_SHORT_PLACES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """Describe the place that a request or a sample needs."""

    attempt_id: str
    units: float
    work_class: workclass.WorkClass
    prefix: str = ''
    avoid: frozenset[str] = frozenset()
    usable: frozenset[str] | None = None


def take_place(
    context: contexts.Context, state: poolstate.PoolState, wish: Wish
) -> work.Slot | None:
    """Reserve a place, or return None when none is free."""
    now_ms = context.ports.clock.now_ms()
    request = _make_request(context, state, wish, now_ms)
    endpoints = _find_endpoints(context, state, wish)
    found = routing.find_candidates(endpoints, state.health_by_key, request)
    if not found:
        return None
    chosen = state.choose(found, request)
    if wish.prefix:
        key = chosen.endpoint.key
        affinity.record_cached(state.affinity, wish.prefix, key, now_ms)
    ejection.record_probe_sent(chosen.health)
    health.record_started(
        chosen.health, wish.attempt_id, wish.units, now_ms, wish.work_class
    )
    return work.Slot(chosen, wish.attempt_id, now_ms)


def _find_endpoints(
    context: contexts.Context, state: poolstate.PoolState, wish: Wish
) -> list[endpoint.Endpoint]:
    if wish.usable is None:
        return membership.find_subset(
            context.membership, state.name, context.settings.id
        )
    usable = membership.find_usable(context.membership, state.name)
    return [one for one in usable if one.key in wish.usable]


def _make_request(
    context: contexts.Context,
    state: poolstate.PoolState,
    wish: Wish,
    now_ms: float,
) -> routing.RouteRequest:
    rule = context.configuration.find_placement_rule(state.name)
    holder = None
    if wish.prefix:
        holder = affinity.find_holder(state.affinity, wish.prefix, now_ms)
    avoid = wish.avoid
    if wish.work_class != workclass.WorkClass.SAMPLE:
        avoid = _drop_useless(context, state, avoid)
    return routing.RouteRequest(
        availability_zone=context.settings.availability_zone,
        slot_limit=_get_places(context, state, wish.work_class),
        now_ms=now_ms,
        avoid=avoid,
        zones=rule.zones if rule else (),
        spill_over=rule.spill_over if rule else True,
        prefix_holder=holder,
        work_class=wish.work_class,
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
