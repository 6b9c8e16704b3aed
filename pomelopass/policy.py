"""Define endpoint choice policies and look them up by name."""

from collections import abc
import random

from .core import routing
from .policies import leastload
from .policies import roundrobin
from .policies import twochoices

__all__ = [
    'MakePolicy',
    'Policy',
    'UnknownPolicyError',
    'get_all_policies',
    'get_policy_by_name',
]

Policy = abc.Callable[
    [list[routing.Candidate], routing.RouteRequest], routing.Candidate
]
MakePolicy = abc.Callable[[random.Random], Policy]

MAKE_POLICY_BY_NAME: dict[str, MakePolicy] = {
    'least-reported-load': leastload.make_policy,
    'round-robin': roundrobin.make_policy,
    'two-choices': twochoices.make_policy,
}


class UnknownPolicyError(ValueError):
    """Error for an unknown policy name."""


def get_policy_by_name(name: str, rng: random.Random) -> Policy:
    """Return a new policy; raise UnknownPolicyError."""
    make_policy = MAKE_POLICY_BY_NAME.get(name)
    if make_policy is None:
        raise UnknownPolicyError(f'No policy is named {name!r}.')
    return make_policy(rng)


def get_all_policies() -> list[str]:
    """Return the names of all policies."""
    return sorted(MAKE_POLICY_BY_NAME)
