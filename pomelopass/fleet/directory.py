"""Choose the addresses that callers use."""

from collections import abc

from . import member

__all__ = ['choose_addresses']

MAX_ADDRESSES = 64
MIN_NEAR = 2


def choose_addresses(
    members: abc.Iterable[member.Member], availability_zone: str
) -> list[str]:
    """Return caller addresses, those of the caller's zone if enough."""
    known = sorted(members, key=lambda one: one.name)
    near = [one for one in known if one.availability_zone == availability_zone]
    chosen = near if len(near) >= MIN_NEAR else known
    return [one.caller_address for one in chosen[:MAX_ADDRESSES]]
