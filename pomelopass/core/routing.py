"""Find candidate endpoints for a request."""

import dataclasses

from . import affinity
from . import ejection
from . import endpoint
from . import health
from . import workclass

__all__ = ['Candidate', 'RouteRequest', 'find_candidates', 'prefer_holder']


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint with its health as observed by this instance."""

    endpoint: endpoint.Endpoint
    health: health.EndpointHealth


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """Criteria for the choice of an endpoint."""

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
    candidates = []
    for target in endpoints:
        state = by_key.setdefault(target.key, health.EndpointHealth())
        if target.key in request.avoid:
            continue
        if not _has_free_slot(target.key, state, request):
            continue
        if not ejection.is_in_rotation(state, request.now_ms):
            continue
        candidates.append(Candidate(target, state))
    return _apply_zones(candidates, request)


def prefer_holder(
    candidates: list[Candidate], selected: Candidate, request: RouteRequest
) -> Candidate:
    """Return the prefix holder unless its load is much higher."""
    for candidate in candidates:
        if candidate.endpoint.key != request.prefix_holder:
            continue
        holder_load = health.get_load(candidate.health, request.now_ms)
        selected_load = health.get_load(selected.health, request.now_ms)
        if holder_load <= selected_load + affinity.MAX_EXTRA_LOAD:
            return candidate
    return selected


def _has_free_slot(
    key: str, state: health.EndpointHealth, request: RouteRequest
) -> bool:
    limit = request.slot_limit
    if isinstance(limit, dict):
        limit = limit.get(key, 0)
    used = state.in_flight_by_class.get(request.work_class, 0)
    return used < limit


def _apply_zones(
    candidates: list[Candidate], request: RouteRequest
) -> list[Candidate]:
    if not request.zones:
        return candidates
    inside = [
        candidate
        for candidate in candidates
        if candidate.endpoint.availability_zone in request.zones
    ]
    if inside or not request.spill_over:
        return inside
    return candidates
