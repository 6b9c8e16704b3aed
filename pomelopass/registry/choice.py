"""Choose the endpoint that most likely answers first."""

from collections import abc

from . import endpoint as endpoints

__all__ = ['choose_for_call', 'choose_for_run']

# Pace assumed of an endpoint that has not answered yet, in milliseconds.
UNKNOWN_PACE_MS = 20.0
OTHER_ZONE_PENALTY = 1.1
# An engine with older weights is taken when the newest ones are this busy.
OLD_WEIGHTS_PENALTY = 1.4


def choose_for_call(
    states: abc.Iterable[endpoints.EndpointState],
    avoid: abc.Container[str],
    availability_zone: str,
    now: float,
) -> endpoints.EndpointState | None:
    """Return the endpoint for a short request, or None if there is none."""
    usable = [one for one in states if one.endpoint.id not in avoid]
    awake = [one for one in usable if not one.is_resting(now)]
    if not awake:
        return min(usable, key=lambda one: one.resting_until, default=None)

    def get_cost(one: endpoints.EndpointState) -> float:
        waiting = endpoints.get_waiting(one, now)
        pace_ms = one.pace_ms or UNKNOWN_PACE_MS
        slots = max(one.endpoint.slots, 1)
        queue = (one.in_flight + waiting) / slots
        penalty = OTHER_ZONE_PENALTY
        if one.endpoint.availability_zone == availability_zone:
            penalty = 1.0
        return pace_ms * (1.0 + queue) * penalty

    return min(awake, key=get_cost)


def choose_for_run(
    states: abc.Iterable[endpoints.EndpointState],
    avoid: abc.Container[str],
    model: str,
    min_version: int,
    now: float,
) -> endpoints.EndpointState | None:
    """Return the endpoint for a generation, or None while all are full.

    Answers many generations of one batch that arrive at once: they spread
    by free places and by the pace of each endpoint, the newest weights
    first.
    """
    free = [
        one
        for one in states
        if one.endpoint.id not in avoid
        and not one.is_resting(now)
        and one.get_version(model) >= min_version
        and get_free_places(one) > 0
    ]

    newest = max((one.get_version(model) for one in free), default=0)

    def get_cost(one: endpoints.EndpointState) -> float:
        pace_ms = one.pace_ms or UNKNOWN_PACE_MS
        used = one.in_flight + one.in_flight_elsewhere
        penalty = OLD_WEIGHTS_PENALTY
        if one.get_version(model) == newest:
            penalty = 1.0
        return pace_ms * (1.0 + used / max(one.endpoint.slots, 1)) * penalty

    return min(free, key=get_cost, default=None)


def get_free_places(one: endpoints.EndpointState) -> int:
    """Return how many more runs the endpoint holds without a queue."""
    used = one.in_flight + one.in_flight_elsewhere
    if one.refusals_in_row:
        # One run finds out whether it takes work again.
        return 1 - one.in_flight
    return one.endpoint.slots - used
