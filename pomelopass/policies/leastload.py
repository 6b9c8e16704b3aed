"""Choose the endpoint that last reported the least load."""

import random

from ..core import routing

__all__ = ['make_policy']


def make_policy(rng: random.Random):
    """Return a policy that uses only load reports."""

    def choose(
        candidates: list[routing.Candidate], request: routing.RouteRequest
    ) -> routing.Candidate:
        return min(
            candidates,
            key=lambda candidate: (
                candidate.health.reported_load,
                rng.random(),
            ),
        )

    return choose
