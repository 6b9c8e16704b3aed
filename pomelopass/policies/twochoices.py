"""Choose the better of two random endpoints by own counts and latency."""

import random

from ..core import health
from ..core import routing

__all__ = ['make_policy']

FAR_ZONE_LOAD = 0.5


def make_policy(rng: random.Random):
    """Return a policy that uses load reports only as a fading hint."""

    def choose(
        candidates: list[routing.Candidate], request: routing.RouteRequest
    ) -> routing.Candidate:
        pair = candidates
        if len(candidates) > 2:
            pair = rng.sample(candidates, 2)
        best = min(pair, key=lambda one: _get_cost(one, request))
        return routing.prefer_holder(candidates, best, request)

    return choose


def _get_cost(one: routing.Candidate, request: routing.RouteRequest) -> float:
    load = health.get_load(one.health, request.now_ms)
    if one.endpoint.availability_zone != request.availability_zone:
        load += FAR_ZONE_LOAD
    pace = health.get_worst_pace(one.health, request.now_ms)
    return (load + 1.0) * max(pace, 1e-3)
