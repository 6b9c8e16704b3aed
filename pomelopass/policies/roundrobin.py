"""Choose endpoints in round-robin order."""

import itertools
import random

from ..core import routing

__all__ = ['make_policy']


def make_policy(rng: random.Random):
    """Return a policy that starts at a random endpoint."""
    turns = itertools.count(rng.randrange(1 << 16))

    def choose(
        candidates: list[routing.Candidate], request: routing.RouteRequest
    ) -> routing.Candidate:
        ordered = sorted(
            candidates, key=lambda candidate: candidate.endpoint.key
        )
        return ordered[next(turns) % len(ordered)]

    return choose
