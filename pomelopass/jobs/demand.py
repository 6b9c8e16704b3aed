"""Tell what recent jobs ask of each model."""

from collections import abc

from . import job as jobs
from ..versions import assignment

__all__ = ['get_demand']

# Jobs older than this say nothing of what a trainer asks now.
WINDOW_MS = 20_000


def get_demand(
    records: abc.Iterable[jobs.JobRecord], now_ms: int
) -> dict[str, assignment.Demand]:
    """Return the demand by model; the newest job tells the allowed lag."""
    demand: dict[str, assignment.Demand] = {}
    recent = [one for one in records if now_ms - one.accepted_ms < WINDOW_MS]
    for record in sorted(recent, key=lambda one: one.accepted_ms):
        before = demand.get(record.model, assignment.Demand(0.0))
        demand[record.model] = assignment.Demand(
            before.tokens + record.tokens, record.allowed_lag
        )
    return demand
