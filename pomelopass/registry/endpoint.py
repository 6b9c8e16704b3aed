"""Describe an endpoint and what this instance has seen of it."""

import dataclasses

__all__ = [
    'Endpoint',
    'EndpointState',
    'LoadReport',
    'record_failure',
    'record_success',
]

PACE_SMOOTHING = 0.2
FIRST_REST_MS = 300.0
LONGEST_REST_MS = 4000.0
LOAD_FADE_MS = 1000.0
FIRST_REFUSAL_REST_MS = 100.0
LONGEST_REFUSAL_REST_MS = 400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Hold what an endpoint says of itself in the registry."""

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool
    version_by_model: dict[str, int]
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold a load report that came with a reply."""

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclasses.dataclass(slots=True)
class EndpointState:
    """Hold own counts and measurements of one endpoint.

    The pace is milliseconds for a request, or for an event of a stream.
    """

    endpoint: Endpoint
    in_flight: int = 0
    # Runs that other instances say they have there.
    in_flight_elsewhere: int = 0
    pace_ms: float = 0.0
    failures_in_row: int = 0
    refusals_in_row: int = 0
    resting_until: float = float('-inf')
    load: LoadReport | None = None
    load_at: float = float('-inf')
    version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)

    def is_resting(self, now: float) -> bool:
        """Say whether the endpoint is passed over after failures."""
        return self.resting_until > now

    def get_version(self, model: str) -> int:
        """Return the newest weight version seen for a model, or 0."""
        return self.version_by_model.get(model, 0)


def record_success(
    state: EndpointState, pace_ms: float | None, now: float
) -> None:
    """Take in a whole answer and how long it took."""
    state.failures_in_row = 0
    state.refusals_in_row = 0
    state.resting_until = min(state.resting_until, now)
    if pace_ms is None:
        return
    if state.pace_ms == 0.0:
        state.pace_ms = pace_ms
    else:
        state.pace_ms += PACE_SMOOTHING * (pace_ms - state.pace_ms)


def record_failure(state: EndpointState, now: float) -> None:
    """Pass the endpoint over, longer with each failure in a row."""
    rest_ms = min(FIRST_REST_MS * 2**state.failures_in_row, LONGEST_REST_MS)
    state.failures_in_row += 1
    state.resting_until = max(state.resting_until, now + rest_ms / 1000)


def record_refusal(state: EndpointState, now: float) -> None:
    """Pass an engine over that is full or loads, longer each time."""
    if state.is_resting(now):
        return
    rest_ms = min(
        FIRST_REFUSAL_REST_MS * 2**state.refusals_in_row,
        LONGEST_REFUSAL_REST_MS,
    )
    state.refusals_in_row += 1
    state.resting_until = now + rest_ms / 1000


def record_load(state: EndpointState, load: LoadReport, now: float) -> None:
    """Take in a load report."""
    state.load = load
    state.load_at = now


def record_version(state: EndpointState, model: str, version: int) -> None:
    """Take in the weight version of an answer."""
    state.version_by_model[model] = version


def get_waiting(state: EndpointState, now: float) -> float:
    """Return the reported queue, faded by the age of the report."""
    if state.load is None:
        return 0.0
    age_ms = (now - state.load_at) * 1000
    return state.load.waiting * max(0.0, 1.0 - age_ms / LOAD_FADE_MS)
