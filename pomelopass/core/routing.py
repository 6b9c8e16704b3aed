"""Choose an endpoint among those that may get new work."""

import dataclasses

from . import affinity
from . import ejection
from . import endpoint
from . import health
from . import workclass

__all__ = ['Candidate', 'RouteRequest', 'find_candidates', 'prefer_holder']


@dataclasses.dataclass(slots=True)
class Candidate:
    """Pair an endpoint with its health on this instance."""

    endpoint: endpoint.Endpoint
    health: health.EndpointHealth


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """Describe what the choice depends on."""

    availability_zone: str
    slot_limit: int | dict[str, int]
    now_ms: float
    avoid: frozenset[str] = frozenset()
    zones: tuple[str, ...] = ()
    spill_over: bool = True
    prefix_holder: str | None = None
    work_class: workclass.WorkClass = workclass.WorkClass.SHORT


def find_candidates(
    endpoints: list[endpoint.Endpoint],
    by_key: dict[str, health.EndpointHealth],
    request: RouteRequest,
) -> list[Candidate]:
    """Return endpoints in rotation that have a free slot."""
    found = []
    for one in endpoints:
        state = by_key.setdefault(one.key, health.EndpointHealth())
        if one.key in request.avoid:
            continue
        if not _has_place(one.key, state, request):
            continue
        if not ejection.is_in_rotation(state, request.now_ms):
            continue
        found.append(Candidate(one, state))
    return _apply_zones(found, request)


def prefer_holder(
    candidates: list[Candidate], chosen: Candidate, request: RouteRequest
) -> Candidate:
    """Return the prefix holder unless it carries clearly more load."""
    for one in candidates:
        if one.endpoint.key != request.prefix_holder:
            continue
        load = health.get_load(one.health, request.now_ms)
        other = health.get_load(chosen.health, request.now_ms)
        if load <= other + affinity.MAX_EXTRA_LOAD:
            return one
    return chosen


def _has_place(
    key: str, state: health.EndpointHealth, request: RouteRequest
) -> bool:
    limit = request.slot_limit
    if isinstance(limit, dict):
        limit = limit.get(key, 0)
    used = state.in_flight_by_class.get(request.work_class, 0)
    return used < limit


def _apply_zones(
    found: list[Candidate], request: RouteRequest
) -> list[Candidate]:
    if not request.zones:
        return found
    inside = [
        one for one in found if one.endpoint.availability_zone in request.zones
    ]
    if inside or not request.spill_over:
        return inside
    return found
