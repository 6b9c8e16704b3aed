"""Decide how many engine places an owner takes while batches collide."""

from collections import abc

from . import job as jobs

__all__ = ['get_run_limit']

# Time until heartbeats tell the runs of a new batch.
UNKNOWN_MS = 700


def get_run_limit(
    records: abc.Iterable[jobs.JobRecord],
    owner: str,
    models: abc.Container[str],
    places: int,
    runs_elsewhere: int,
    now_ms: int,
) -> int | None:
    """Return how many runs an owner may have, or None for no bound.

    Answers trainers whose batches need the same engines at the same time:
    owners see the runs of each other late, and all would take each place
    that is free. They share the places by the items that they have left;
    of what the others leave unused, each takes half.
    """
    own = 0
    others = 0
    collides = False
    for record in records:
        if not record.is_open or record.model not in models:
            continue
        left = record.total - record.listed
        if record.owner == owner:
            own += left
            continue
        others += left
        if now_ms - record.accepted_ms < UNKNOWN_MS:
            collides = True
    if not own or own + others <= places:
        return None
    limit = places * own / (own + others)
    if not collides:
        limit += max(0.0, places - limit - runs_elsewhere) / 2
    return max(1, round(limit))
