"""Choose the instance addresses that callers use."""

from collections import abc

from . import member

__all__ = ['choose_addresses']

MAX_ADDRESSES = 64
MIN_SAME_ZONE = 2


def choose_addresses(
    members: abc.Iterable[member.Member], availability_zone: str
) -> list[str]:
    """Return caller addresses, only of the caller's zone if enough."""
    all_members = sorted(members, key=lambda instance: instance.name)
    same_zone = [
        instance
        for instance in all_members
        if instance.availability_zone == availability_zone
    ]
    selected = same_zone if len(same_zone) >= MIN_SAME_ZONE else all_members
    return [instance.caller_address for instance in selected[:MAX_ADDRESSES]]
