"""Decide between the own zone and the others."""

import dataclasses
import enum

from . import cost as costs
from . import latency
from ..registry import endpoint as endpoints

__all__ = ['Candidate', 'Decision', 'Reason', 'decide', 'rank']


class Reason(enum.Enum):
    """Why work was sent to a zone."""

    IN_ZONE = 'in-zone'
    # The own zone has no endpoint that may do the work.
    NO_ENDPOINT = 'no-endpoint'
    # The own zone has no free slot.
    QUEUE = 'queue'
    # The own zone has slots, but is slower by more than leaving costs.
    PACE = 'pace'
    # The own zone's endpoints failed just now.
    FAILED = 'failed'
    # Sent to the own zone to measure whether it serves in time again.
    PROBE = 'probe'
    # Sent to another zone to measure its pace.
    SCOUT = 'scout'


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with the way to it and its cost."""

    state: endpoints.EndpointState
    way: costs.Way
    cost: costs.Cost


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The chosen endpoint and why it was chosen."""

    candidate: Candidate
    reason: Reason


def rank(candidate: Candidate) -> float:
    """Return the sort key among the endpoints of one side."""
    return candidate.cost.total_ms + candidate.cost.spreading_ms


def decide(candidates: list[Candidate], was_away: bool) -> Decision:
    """Return the endpoint for some work.

    Work begins to leave the zone when that pays by more than the band, and
    stops when it no longer pays; in between, the last decision holds. Without
    this hysteresis, two zones that spill into a third one would oscillate.
    """
    own = [item for item in candidates if not item.way.crossings]
    away = [item for item in candidates if item.way.crossings]
    if not own:
        return Decision(min(away, key=rank), Reason.NO_ENDPOINT)
    best = min(own, key=rank)
    if not away:
        return Decision(best, Reason.IN_ZONE)
    other = min(away, key=rank)
    band_ms = 0.0
    if not was_away:
        band_ms = latency.get_band_ms(other.way.latency)
    if other.cost.total_ms + band_ms >= best.cost.total_ms:
        return Decision(best, Reason.IN_ZONE)
    return Decision(other, _find_reason(best.cost))


def _find_reason(own: costs.Cost) -> Reason:
    if own.risk_ms:
        return Reason.FAILED
    return Reason.QUEUE if own.queue_ms else Reason.PACE
