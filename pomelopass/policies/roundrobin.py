"""Choose endpoints in turn."""

import itertools
import random

from ..core import routing

__all__ = ['make_policy']


def make_policy(rng: random.Random):
    """Return a policy that starts at a random place in the turn."""
    turns = itertools.count(rng.randrange(1 << 16))

    def choose(
        candidates: list[routing.Candidate], request: routing.RouteRequest
    ) -> routing.Candidate:
        ordered = sorted(candidates, key=lambda one: one.endpoint.key)
        return ordered[next(turns) % len(ordered)]

    return choose
