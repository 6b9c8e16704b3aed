"""Observe demand and supply of a service's engines.

The load: items of jobs that wait or run, and runs of all instances at engines,
some of which drain because they stop or were reclaimed.
"""

import collections
from collections import abc
import dataclasses

from . import plan
from ..registry import endpoint as endpoints

__all__ = ['Observation', 'list_zones', 'observe']

# An item takes less than half of the time that its job has, so that an engine
# runs so many items in each slot in time.
JOB_ROUNDS = 2
# Assumed for an engine while no registered one shows another number.
USUAL_SLOTS = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Demand of a service and its engines by zone, and their figures."""

    demand: plan.Demand
    supply_by_zone: dict[str, plan.ZoneSupply]
    open_items: int
    runs: int


def observe(
    states: abc.Sequence[endpoints.EndpointState],
    zones: abc.Iterable[str],
    open_items: int,
) -> Observation:
    """Return the demand in engines of the service, and its engines."""
    staying = [state for state in states if not state.is_leaving]
    slots = [state.endpoint.slots for state in states if state.endpoint.slots]
    runs = sum(state.in_flight + state.in_flight_elsewhere for state in states)
    slots_per_engine = sum(slots) / len(slots) if slots else USUAL_SLOTS
    counts = collections.Counter(
        (state.endpoint.availability_zone, state.endpoint.is_spot)
        for state in staying
    )
    return Observation(
        plan.Demand(
            # Items that run are among the runs.
            wanted=max(open_items, runs) / slots_per_engine,
            committed=open_items / slots_per_engine / JOB_ROUNDS,
        ),
        {
            zone: plan.ZoneSupply(counts[zone, False], counts[zone, True])
            for zone in zones
        },
        open_items,
        runs,
    )


def list_zones(
    scaling: plan.Scaling, states: abc.Iterable[endpoints.EndpointState]
) -> list[str]:
    """Return the zones with a price, or else those that have engines."""
    return sorted(
        scaling.price_by_zone
        or {state.endpoint.availability_zone for state in states}
    )
