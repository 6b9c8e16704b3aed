"""Compute the demand of recent jobs for each model."""

from collections import abc

from . import job as jobs
from ..versions import assignment

__all__ = ['count_open_items', 'get_demand']

# Older jobs do not reflect the current demand of a trainer.
WINDOW_MS = 20_000


def get_demand(
    records: abc.Iterable[jobs.JobRecord], now_ms: int
) -> dict[str, assignment.Demand]:
    """Return the demand by model; the newest job sets the allowed lag."""
    demand_by_model: dict[str, assignment.Demand] = {}
    recent = [
        record for record in records if now_ms - record.accepted_ms < WINDOW_MS
    ]
    for record in sorted(recent, key=lambda job: job.accepted_ms):
        previous = demand_by_model.get(record.model, assignment.Demand(0.0))
        demand_by_model[record.model] = assignment.Demand(
            previous.tokens + record.tokens, record.allowed_lag
        )
    return demand_by_model


def count_open_items(
    records: abc.Iterable[jobs.JobRecord],
    models: abc.Container[str],
    now_ms: int,
) -> int:
    """Return how many items of recent jobs for these models have no result."""
    return sum(
        record.total - record.listed
        for record in records
        if record.is_open
        and record.model in models
        and now_ms - record.accepted_ms < WINDOW_MS
    )
