"""Choose the cheaper of two random endpoints by load and latency."""

import random

from ..core import health
from ..core import routing

__all__ = ['make_policy']

FAR_ZONE_LOAD = 0.5


def make_policy(rng: random.Random):
    """Return a policy in which load reports lose weight with age."""

    def choose(
        candidates: list[routing.Candidate], request: routing.RouteRequest
    ) -> routing.Candidate:
        pair = candidates
        if len(candidates) > 2:
            pair = rng.sample(candidates, 2)
        cheaper = min(
            pair, key=lambda candidate: _get_cost(candidate, request)
        )
        return routing.prefer_holder(candidates, cheaper, request)

    return choose


def _get_cost(
    candidate: routing.Candidate, request: routing.RouteRequest
) -> float:
    load = health.get_load(candidate.health, request.now_ms)
    if candidate.endpoint.availability_zone != request.availability_zone:
        load += FAR_ZONE_LOAD
    pace = health.get_worst_pace(candidate.health, request.now_ms)
    return (load + 1.0) * max(pace, 1e-3)
