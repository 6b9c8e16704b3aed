"""Decide which instance takes over a job without a living owner."""

from collections import abc

from ..core import rendezvous
from ..fleet import member

__all__ = ['choose_owner', 'get_wait_ms']

# Time that each instance leaves to the ones before it in the order.
STEP_MS = 500.0


def choose_owner(
    trainer: str, members: abc.Iterable[member.Member], own_name: str
) -> str:
    """Return the name of the instance that runs a trainer's jobs.

    One owner knows all runs of a trainer and keeps its connections.
    """
    names = [one.name for one in members]
    return rendezvous.rank(trainer, names)[0] if names else own_name


def get_wait_ms(job_id: str, own_name: str, alive: abc.Iterable[str]) -> float:
    """Return how long to wait before an adoption, in milliseconds.

    All instances compute the same order, so that the jobs of a dead owner
    spread evenly without talk.

    >>> get_wait_ms('a', 'one', ['one'])
    0.0
    """
    order = rendezvous.rank(job_id, list({*alive, own_name}))
    return order.index(own_name) * STEP_MS
