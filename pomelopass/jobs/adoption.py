"""Choose the instance that runs a job and the one that adopts it."""

from collections import abc

from ..core import rendezvous
from ..fleet import member

__all__ = ['choose_owner', 'get_order', 'get_wait_ms']

# Head start of each instance over the next one in the adoption order.
ADOPTION_STEP_MS = 500.0
# Instances below this share of the largest capacity rank after the others.
WEAK_SHARE = 0.5

# Whether the named instance reaches no endpoint.
IsCutOff = abc.Callable[[str], bool]


def get_order(
    key: str,
    members: abc.Collection[member.Member],
    is_cut_off: IsCutOff = lambda name: False,
) -> list[str]:
    """Return the instance names in the order in which they take a job.

    All instances compute the same order, so jobs spread evenly without
    coordination. Weak instances rank low, since the streams of a batch keep
    a small core busy. Those that reach the table service through a peer rank
    last: each of their writes takes an extra hop. So do those that reach no
    endpoint, whose runs take one.
    """
    capacity_by_name = {peer.name: peer.capacity for peer in members}
    max_capacity = max(capacity_by_name.values(), default=0.0)
    relayed = {peer.name for peer in members if not peer.is_direct}
    ranked = rendezvous.rank(key, list(capacity_by_name))
    return sorted(
        ranked,
        key=lambda name: (
            is_cut_off(name),
            name in relayed,
            capacity_by_name[name] < WEAK_SHARE * max_capacity,
        ),
    )


def choose_owner(
    trainer: str,
    members: abc.Collection[member.Member],
    own_name: str,
    is_cut_off: IsCutOff = lambda name: False,
) -> str:
    """Return the name of the instance that runs a trainer's jobs.

    A single owner sees all runs of a trainer and reuses its connections.
    """
    order = get_order(trainer, members, is_cut_off)
    return order[0] if order else own_name


def get_wait_ms(
    job_id: str,
    own_name: str,
    alive: abc.Collection[member.Member],
    is_cut_off: IsCutOff = lambda name: False,
) -> float:
    """Return the delay before an adoption, in milliseconds."""
    order = get_order(job_id, alive, is_cut_off)
    if own_name not in order:
        return len(order) * ADOPTION_STEP_MS
    return order.index(own_name) * ADOPTION_STEP_MS
