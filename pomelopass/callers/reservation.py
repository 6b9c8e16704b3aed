"""Reserve a slot on an endpoint for a class of work."""

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
MIN_SHORT_SLOTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Criteria of the slot that a request or a sample needs."""

    attempt_id: str
    units: float
    work_class: workclass.WorkClass
    prefix: str = ''
    avoid: frozenset[str] = frozenset()
    eligible_keys: frozenset[str] | None = None


def reserve_slot(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot_request: SlotRequest,
) -> work.Slot | None:
    """Return a reserved slot, or None if none is free."""
    now_ms = context.ports.clock.now_ms()
    request = _make_request(context, state, slot_request, now_ms)
    endpoints = _find_endpoints(context, state, slot_request)
    candidates = routing.find_candidates(
        endpoints, state.health_by_key, request
    )
    if not candidates:
        return None
    candidate = state.choose(candidates, request)
    if slot_request.prefix:
        key = candidate.endpoint.key
        affinity.record_cached(
            state.affinity, slot_request.prefix, key, now_ms
        )
    ejection.record_probe_sent(candidate.health)
    health.record_started(
        candidate.health,
        slot_request.attempt_id,
        slot_request.units,
        now_ms,
        slot_request.work_class,
    )
    return work.Slot(candidate, slot_request.attempt_id, now_ms)


def _find_endpoints(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot_request: SlotRequest,
) -> list[endpoint.Endpoint]:
    if slot_request.eligible_keys is None:
        return membership.find_subset(
            context.membership, state.name, context.settings.id
        )
    usable = membership.find_usable(context.membership, state.name)
    return [
        target for target in usable if target.key in slot_request.eligible_keys
    ]


def _make_request(
    context: contexts.Context,
    state: poolstate.PoolState,
    slot_request: SlotRequest,
    now_ms: float,
) -> routing.RouteRequest:
    rule = context.configuration.find_placement_rule(state.name)
    holder = None
    if slot_request.prefix:
        holder = affinity.find_holder(
            state.affinity, slot_request.prefix, now_ms
        )
    avoid = slot_request.avoid
    if slot_request.work_class != workclass.WorkClass.SAMPLE:
        avoid = _avoid_if_possible(context, state, avoid)
    return routing.RouteRequest(
        availability_zone=context.settings.availability_zone,
        slot_limit=_get_slot_limit(context, state, slot_request.work_class),
        now_ms=now_ms,
        avoid=avoid,
        zones=rule.zones if rule else (),
        spill_over=rule.spill_over if rule else True,
        prefix_holder=holder,
        work_class=slot_request.work_class,
    )


def _avoid_if_possible(
    context: contexts.Context,
    state: poolstate.PoolState,
    avoid: frozenset[str],
) -> frozenset[str]:
    # A retry may reuse a tried endpoint if the subset has no other.
    subset = membership.find_subset(
        context.membership, state.name, context.settings.id
    )
    keys = {target.key for target in subset}
    return avoid if keys - avoid else frozenset()


def _get_slot_limit(
    context: contexts.Context,
    state: poolstate.PoolState,
    work_class: workclass.WorkClass,
) -> int | dict[str, int]:
    pool = context.configuration.pools[state.name]
    slots = pool.slots_per_endpoint
    if work_class == workclass.WorkClass.SAMPLE:
        return quota.get_sample_slots(slots, pool.sample_percent, True)
    if work_class == workclass.WorkClass.LONG:
        return _get_long_slot_limits(context, state)
    entries = contexts.count_live_entries(context)
    share = math.ceil(slots * OVERCOMMIT / entries)
    return min(slots, max(MIN_SHORT_SLOTS, share))


def _get_long_slot_limits(
    context: contexts.Context, state: poolstate.PoolState
) -> dict[str, int]:
    pool = context.configuration.pools[state.name]
    trainers = context.configuration.trainers.values()
    trains = any(trainer.pool == state.name for trainer in trainers)
    slots = pool.slots_per_endpoint
    sampled = quota.get_sample_slots(slots, pool.sample_percent, trains)
    usable = membership.find_usable(context.membership, state.name)
    return quota.get_long_slot_quotas(
        context.settings.id,
        [entry.id for entry in context.entries],
        [target.key for target in usable],
        quota.get_long_slots(slots, pool.long_percent, sampled),
    )
