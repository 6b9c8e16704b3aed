"""Define an endpoint and its state as observed by this instance."""

import dataclasses

from ..core import backoff

__all__ = [
    'Endpoint',
    'EndpointState',
    'LoadReport',
    'Pace',
    'count_load',
    'get_pace_ms',
    'record_failure',
    'record_pace',
    'record_unreachable',
    'record_success',
]

PACE_SMOOTHING = 0.2
# Noisy neighbours slow servers down for 600 ms at a time: the recent pace must
# follow within a few answers, and is outdated after that time.
RECENT_SMOOTHING = 0.4
USUAL_SMOOTHING = 0.05
RECENT_TTL_MS = 600.0
# Bound on the routes of an endpoint whose pace is kept; the operator may add
# any number.
MAX_KINDS = 64
MIN_FAILURE_BACKOFF_MS = 300.0
MAX_FAILURE_BACKOFF_MS = 4000.0
LOAD_REPORT_TTL_MS = 1000.0
# An endpoint that this instance did not call for a second is not idle: two
# zones that were both full sent each other their requests.
USUAL_LOAD_TTL_MS = 5000.0
LOAD_SMOOTHING = 0.2
# The endpoint is not to blame if no path leads to it.
UNREACHABLE_BACKOFF_MS = 300.0
MIN_REFUSAL_BACKOFF_MS = 100.0
MAX_REFUSAL_BACKOFF_MS = 400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Registry entry that an endpoint published about itself."""

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool
    version_by_model: dict[str, int]
    started_at_ms: int
    # Version of the endpoint's own software; empty if it names none.
    software: str = ''
    # Cheaper, and may be reclaimed at any time.
    is_spot: bool = False
    # Time until a reclaimed engine ends, as its entry says.
    leaves_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report received with a reply."""

    running: int
    waiting: int
    slots: int
    slowness: float = 1.0


@dataclasses.dataclass(slots=True)
class Pace:
    """Recent and usual time of one kind of work, in milliseconds."""

    recent_ms: float
    usual_ms: float
    recorded_at: float


@dataclasses.dataclass(slots=True)
class EndpointState:
    """Own counts and measurements of one endpoint.

    The pace is the smoothed time in milliseconds for a request, or for an
    event of a stream.
    """

    endpoint: Endpoint
    # Whether its answers say that it stops soon.
    said_leaving: bool = False
    in_flight: int = 0
    # Runs reported by other instances.
    in_flight_elsewhere: int = 0
    pace_ms: float = 0.0
    consecutive_failures: int = 0
    consecutive_refusals: int = 0
    backoff_until: float = float('-inf')
    load: LoadReport | None = None
    load_received_at: float = float('-inf')
    # Reported requests that are not those of this instance.
    load_elsewhere: float = 0.0
    usual_load_elsewhere: float = 0.0
    # By kind of work, for instance by route.
    pace_by_kind: dict[str, Pace] = dataclasses.field(default_factory=dict)
    version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def is_leaving(self) -> bool:
        """Return whether it said, or its entry says, that it stops soon."""
        return self.said_leaving or self.endpoint.is_draining

    def is_backing_off(self, now: float) -> bool:
        """Return whether the endpoint is in backoff."""
        return self.backoff_until > now

    def get_version(self, model: str) -> int:
        """Return the last weight version seen for a model, or 0."""
        return self.version_by_model.get(model, 0)


def record_success(
    state: EndpointState, pace_ms: float | None, now: float
) -> None:
    """Record a complete answer; None leaves the pace unchanged."""
    state.consecutive_failures = 0
    state.consecutive_refusals = 0
    state.backoff_until = min(state.backoff_until, now)
    if pace_ms is None:
        return
    if state.pace_ms == 0.0:
        state.pace_ms = pace_ms
    else:
        state.pace_ms += PACE_SMOOTHING * (pace_ms - state.pace_ms)


def record_failure(state: EndpointState, now: float) -> None:
    """Start a backoff that doubles with each consecutive failure.

    Requests that were sent before the backoff and fail within it say nothing
    new: a link that breaks fails all of them together.
    """
    if state.is_backing_off(now):
        return
    backoff_ms = backoff.get_backoff_ms(
        MIN_FAILURE_BACKOFF_MS,
        state.consecutive_failures,
        MAX_FAILURE_BACKOFF_MS,
    )
    state.consecutive_failures += 1
    state.backoff_until = now + backoff_ms / 1000


def record_unreachable(state: EndpointState, now: float) -> None:
    """Start a fixed backoff for an endpoint to which no path leads."""
    until = now + UNREACHABLE_BACKOFF_MS / 1000
    state.backoff_until = max(state.backoff_until, until)


def record_refusal(state: EndpointState, now: float) -> None:
    """Start a doubling backoff for an engine that is full or loading."""
    if state.is_backing_off(now):
        return
    backoff_ms = backoff.get_backoff_ms(
        MIN_REFUSAL_BACKOFF_MS,
        state.consecutive_refusals,
        MAX_REFUSAL_BACKOFF_MS,
    )
    state.consecutive_refusals += 1
    state.backoff_until = now + backoff_ms / 1000


def record_load(state: EndpointState, load: LoadReport, now: float) -> None:
    """Record a load report."""
    age_ms = (now - state.load_received_at) * 1000
    state.load = load
    state.load_received_at = now
    # The report counts the request with whose reply it came.
    elsewhere = load.running + load.waiting - state.in_flight - 1
    state.load_elsewhere = float(max(elsewhere, 0))
    if age_ms >= USUAL_LOAD_TTL_MS:
        state.usual_load_elsewhere = state.load_elsewhere
    state.usual_load_elsewhere += LOAD_SMOOTHING * (
        state.load_elsewhere - state.usual_load_elsewhere
    )


def record_pace(
    state: EndpointState, kind: str, pace_ms: float, now: float
) -> None:
    """Record the time of one kind of work."""
    pace = state.pace_by_kind.get(kind)
    if pace is None:
        if len(state.pace_by_kind) >= MAX_KINDS:
            del state.pace_by_kind[next(iter(state.pace_by_kind))]
        state.pace_by_kind[kind] = Pace(pace_ms, pace_ms, now)
        return
    # The first answer after a pause is all that is known of the present pace.
    age = min((now - pace.recorded_at) * 1000 / RECENT_TTL_MS, 1.0)
    weight = RECENT_SMOOTHING + (1.0 - RECENT_SMOOTHING) * age
    pace.recent_ms += weight * (pace_ms - pace.recent_ms)
    pace.usual_ms += USUAL_SMOOTHING * (pace_ms - pace.usual_ms)
    pace.recorded_at = now


def get_pace_ms(pace: Pace, now: float) -> float:
    """Return the recent pace, which turns into the usual one with age."""
    age_ms = (now - pace.recorded_at) * 1000
    weight = max(0.0, 1.0 - age_ms / RECENT_TTL_MS)
    return pace.usual_ms + weight * (pace.recent_ms - pace.usual_ms)


def record_version(state: EndpointState, model: str, version: int) -> None:
    """Record the weight version reported by an endpoint."""
    state.version_by_model[model] = version


def estimate_waiting(state: EndpointState, now: float) -> float:
    """Return the reported queue length, reduced by the report's age."""
    if state.load is None:
        return 0.0
    return state.load.waiting * _get_report_weight(state, now)


def count_load(state: EndpointState, now: float) -> float:
    """Return the own requests and the reported ones of other instances."""
    usual = state.usual_load_elsewhere
    weight = _get_report_weight(state, now)
    elsewhere = usual + weight * (state.load_elsewhere - usual)
    return state.in_flight + elsewhere * _get_report_weight(
        state, now, USUAL_LOAD_TTL_MS
    )


def _get_report_weight(
    state: EndpointState, now: float, ttl_ms: float = LOAD_REPORT_TTL_MS
) -> float:
    age_ms = (now - state.load_received_at) * 1000
    return max(0.0, 1.0 - age_ms / ttl_ms)
