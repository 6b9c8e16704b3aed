"""Decide which instance runs a job, and which one takes it over."""

from collections import abc

from ..core import rendezvous
from ..fleet import member

__all__ = ['choose_owner', 'get_order', 'get_wait_ms']

# Time that each instance leaves to the ones before it in the order.
STEP_MS = 500.0
# Instances below this share of the strongest one's capacity come last.
WEAK_SHARE = 0.5


def get_order(key: str, members: abc.Collection[member.Member]) -> list[str]:
    """Return the names in the order in which they take a job.

    All instances compute the same order, so that jobs spread evenly
    without talk. Weak instances come last, since the streams of a batch keep
    a small core busy, and after them those that reach the table through a
    peer: each write of theirs takes a way more.
    """
    capacity_by_name = {one.name: one.capacity for one in members}
    strongest = max(capacity_by_name.values(), default=0.0)
    relayed = {one.name for one in members if not one.is_direct}
    ranked = rendezvous.rank(key, list(capacity_by_name))
    return sorted(
        ranked,
        key=lambda name: (
            name in relayed,
            capacity_by_name[name] < WEAK_SHARE * strongest,
        ),
    )


def choose_owner(
    trainer: str, members: abc.Collection[member.Member], own_name: str
) -> str:
    """Return the name of the instance that runs a trainer's jobs.

    One owner knows all runs of a trainer and keeps its connections.
    """
    order = get_order(trainer, members)
    return order[0] if order else own_name


def get_wait_ms(
    job_id: str, own_name: str, alive: abc.Collection[member.Member]
) -> float:
    """Return how long to wait before an adoption, in milliseconds."""
    order = get_order(job_id, alive)
    if own_name not in order:
        return len(order) * STEP_MS
    return order.index(own_name) * STEP_MS
