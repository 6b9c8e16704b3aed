"""Choose the endpoint with the lowest expected response time."""

from collections import abc

from . import endpoint as endpoints

__all__ = [
    'DEFAULT_PACE_MS',
    'RUN_LOAD_WEIGHT',
    'choose_for_call',
    'choose_for_run',
    'find_for_run',
    'get_free_slots',
    'get_run_pace_ms',
]

# Assumed for an endpoint that has not answered yet.
DEFAULT_PACE_MS = 20.0
OTHER_ZONE_PENALTY = 1.1
# A full engine generates each text hardly slower than an idle one does.
RUN_LOAD_WEIGHT = 0.25
# An engine with older weights is chosen if the newest ones are this busy.
OLD_WEIGHTS_PENALTY = 1.4


def choose_for_call(
    states: abc.Iterable[endpoints.EndpointState],
    avoid: abc.Container[str],
    availability_zone: str,
    now: float,
) -> endpoints.EndpointState | None:
    """Return the endpoint for a short request, or None if there is none."""
    candidates = [state for state in states if state.endpoint.id not in avoid]
    available = [
        state for state in candidates if not state.is_backing_off(now)
    ]
    if not available:
        return min(
            candidates, key=lambda state: state.backoff_until, default=None
        )

    def get_cost(state: endpoints.EndpointState) -> float:
        waiting = endpoints.estimate_waiting(state, now)
        pace_ms = state.pace_ms or DEFAULT_PACE_MS
        slots = max(state.endpoint.slots, 1)
        queue = (state.in_flight + waiting) / slots
        penalty = OTHER_ZONE_PENALTY
        if state.endpoint.availability_zone == availability_zone:
            penalty = 1.0
        return pace_ms * (1.0 + queue) * penalty

    return min(available, key=get_cost)


def choose_for_run(
    states: abc.Iterable[endpoints.EndpointState],
    avoid: abc.Container[str],
    model: str,
    min_version: int,
    now: float,
) -> endpoints.EndpointState | None:
    """Return the endpoint for a generation, or None while all are full.

    The generations of a batch arrive at once. They are spread by free
    slots and by pace, newest weights first.
    """
    fit = find_for_run(states, avoid, model, min_version, now)
    free = [state for state in fit if get_free_slots(state) > 0]
    newest = max((state.get_version(model) for state in free), default=0)
    return min(
        free,
        key=lambda state: get_run_pace_ms(
            state, model, newest, state.pace_ms or DEFAULT_PACE_MS
        ),
        default=None,
    )


def find_for_run(
    states: abc.Iterable[endpoints.EndpointState],
    avoid: abc.Container[str],
    model: str,
    min_version: int,
    now: float,
) -> list[endpoints.EndpointState]:
    """Return the endpoints that may run a generation, full ones included."""
    return [
        state
        for state in states
        if state.endpoint.id not in avoid
        and not state.is_backing_off(now)
        and state.get_version(model) >= min_version
    ]


def get_run_pace_ms(
    state: endpoints.EndpointState, model: str, newest: int, pace_ms: float
) -> float:
    """Return the expected time of an event, with load and old weights."""
    in_flight_total = state.in_flight + state.in_flight_elsewhere
    penalty = OLD_WEIGHTS_PENALTY
    if state.get_version(model) == newest:
        penalty = 1.0
    load = in_flight_total / max(state.endpoint.slots, 1)
    return pace_ms * (1.0 + RUN_LOAD_WEIGHT * load) * penalty


def get_free_slots(state: endpoints.EndpointState) -> int:
    """Return how many more runs the endpoint can start without a queue."""
    in_flight_total = state.in_flight + state.in_flight_elsewhere
    if state.consecutive_refusals:
        # A single run probes whether the endpoint accepts work again.
        return 1 - state.in_flight
    return state.endpoint.slots - in_flight_total
