"""Decide which engines to order to a weight version."""

from collections import abc
import dataclasses
import enum

from ..registry import endpoint

__all__ = ['OrderOutcome', 'Report', 'VersionOrder', 'choose_to_order']

MIN_AT_ONCE = 2
# Engines load more slowly when more than about a third load together.
SHARE_AT_ONCE = 3


class OrderOutcome(enum.Enum):
    """Say what an engine answered to an order."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    BUSY = 'busy'
    FENCED = 'fenced'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold what an engine says of its weights and orders."""

    version_by_model: dict[str, int]
    busy: bool
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order an engine to a weight version of a model."""

    model: str
    version: int
    finish_runs_first: bool
    holder: str
    fence: int
    expected_count: int


def choose_to_order(
    engines: abc.Iterable[endpoint.EndpointState],
    model: str,
    version: int,
    loading: abc.Collection[str],
) -> list[endpoint.EndpointState]:
    """Return the engines to order now, the least busy first.

    The others keep the batches of the last version going meanwhile.
    """
    known = list(engines)
    limit = max(MIN_AT_ONCE, len(known) // SHARE_AT_ONCE)
    behind = [
        one
        for one in known
        if one.get_version(model) < version
        and one.endpoint.id not in loading
        and not one.endpoint.is_draining
    ]
    behind.sort(key=lambda one: one.in_flight + one.in_flight_elsewhere)
    return behind[: max(0, limit - len(loading))]
