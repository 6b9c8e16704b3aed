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

MAKERS_BY_NAME: dict[str, MakePolicy] = {
    'least-reported-load': leastload.make_policy,
    'round-robin': roundrobin.make_policy,
    'two-choices': twochoices.make_policy,
}


class UnknownPolicyError(ValueError):
    """Tell that no policy has the name."""


def get_policy_by_name(name: str, rng: random.Random) -> Policy:
    """Return a new policy; raise UnknownPolicyError for another name."""
    maker = MAKERS_BY_NAME.get(name)
    if maker is None:
        raise UnknownPolicyError(f'No policy is named {name!r}.')
    return maker(rng)


def get_all_policies() -> list[str]:
    """Return the names of all policies."""
    return sorted(MAKERS_BY_NAME)
