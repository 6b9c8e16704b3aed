"""Decide whether a run leaves the zone, waits for it, or moves."""

import dataclasses

from . import cost as costs
from . import latency
from ..registry import choice
from ..registry import endpoint as endpoints
from . import spill

__all__ = [
    'ITEM_KIND',
    'RunDecision',
    'RunWork',
    'decide_run',
    'get_run_cost',
    'pays_to_move',
]

# Kind of work of an item's events.
ITEM_KIND = 'item-events'


@dataclasses.dataclass(frozen=True, slots=True)
class RunWork:
    """What is left of an item."""

    model: str
    events_left: float
    # Price of its bytes for each zone boundary.
    bytes_ms: float
    waited_ms: float = 0.0
    # Items with the same need that come before it.
    ahead: int = 0
    # Where the prompt of its text is cached, and how long reading it took.
    cache_zone: str | None = None
    prompt_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunDecision:
    """Where a run goes, or for how long it still waits for its own zone."""

    decision: spill.Decision | None
    wait_ms: float = 0.0


def get_run_cost(
    state: endpoints.EndpointState,
    work: RunWork,
    way: costs.Way,
    newest: int,
    typical_ms: float,
    now: float,
) -> costs.Cost:
    """Return the cost of the rest of an item at an endpoint."""
    pace = state.pace_by_kind.get(ITEM_KIND)
    pace_ms = typical_ms
    if pace is not None:
        pace_ms = endpoints.get_pace_ms(pace, now)
    event_ms = choice.get_run_pace_ms(state, work.model, newest, pace_ms)
    zone = state.endpoint.availability_zone
    is_cached = work.cache_zone in (None, zone)
    return costs.Cost(
        work.events_left * event_ms,
        way_ms=way.latency.round_trip_ms,
        bytes_ms=work.bytes_ms * way.crossings,
        prompt_ms=0.0 if is_cached else work.prompt_ms,
    )


def decide_run(
    free: list[spill.Candidate],
    busy: list[spill.Candidate],
    work: RunWork,
    was_away: bool,
) -> RunDecision:
    """Return the engine for a run, or how long it waits for its zone.

    Engines that are busy count only where they are in the own zone. A run
    waits for one of them for no longer than leaving costs, even if the
    estimate of the wait is wrong.
    """
    own_busy = [item for item in busy if not item.way.crossings]
    if not free:
        return RunDecision(None)
    is_own_free = any(not item.way.crossings for item in free)
    if is_own_free or not own_busy:
        return RunDecision(spill.decide(free, was_away))
    best = min(own_busy, key=spill.rank)
    other = min(free, key=spill.rank)
    slots = sum(item.state.endpoint.slots for item in own_busy)
    expected_ms = best.cost.total_ms * (work.ahead + 1) / max(slots, 1)
    band_ms = 0.0 if was_away else latency.get_band_ms(other.way.latency)
    saved_ms = other.cost.total_ms - best.cost.total_ms + band_ms
    wait_ms = saved_ms - work.waited_ms
    if expected_ms > saved_ms or wait_ms <= 0.0:
        decision = spill.Decision(other, spill.Reason.QUEUE)
        return RunDecision(decision)
    return RunDecision(None, wait_ms)


def pays_to_move(here: spill.Candidate, there: spill.Candidate) -> bool:
    """Return whether the rest of a run costs less in another zone."""
    band_ms = latency.get_band_ms(there.way.latency)
    return there.cost.total_ms + band_ms < here.cost.total_ms
