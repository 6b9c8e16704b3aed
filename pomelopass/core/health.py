"""Track latency and load of one endpoint as observed by this instance.

A pace is in milliseconds per unit of work.
"""

import collections
import dataclasses
import statistics

from . import attemptend
from . import workclass

__all__ = [
    'EndpointHealth',
    'get_worst_pace',
    'record_finished',
    'record_report',
    'record_started',
]

SMOOTHING = 0.25
MIN_SAMPLES = 3
RECENT_PACES = 16
REPORT_FRESH_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A running request; units are its expected length."""

    at_ms: float
    units: float
    work_class: workclass.WorkClass


@dataclasses.dataclass(slots=True)
class EndpointHealth:
    """Request counts, paces and the last load report of an endpoint."""

    in_flight: int = 0
    in_flight_by_class: dict[workclass.WorkClass, int] = dataclasses.field(
        default_factory=dict
    )
    samples: int = 0
    ms_per_unit: float = 0.0
    recent_paces: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RECENT_PACES)
    )
    reported_load: float = 0.0
    reported_at_ms: float = float('-inf')
    failures_in_row: int = 0
    ejected_until_ms: float = float('-inf')
    ejections_in_row: int = 0
    probing: bool = False
    unreachable_until_ms: float = float('-inf')
    started_by_request: dict[str, Started] = dataclasses.field(
        default_factory=dict
    )


def record_started(
    health: EndpointHealth,
    request_id: str,
    units: float,
    now_ms: float,
    work_class: workclass.WorkClass = workclass.WorkClass.SHORT,
) -> None:
    """Record the start of a request; units are its expected length."""
    health.in_flight += 1
    _count(health, work_class, 1)
    started = Started(now_ms, units, work_class)
    health.started_by_request[request_id] = started


def record_finished(
    health: EndpointHealth,
    request_id: str,
    units: float,
    end: attemptend.AttemptEnd,
    now_ms: float,
) -> None:
    """Record the end of a request; units are its actual length."""
    started = health.started_by_request.pop(request_id, None)
    if started is None:
        return
    health.in_flight -= 1
    _count(health, started.work_class, -1)
    if end == attemptend.AttemptEnd.FAILED:
        health.failures_in_row += 1
    if end != attemptend.AttemptEnd.SUCCEEDED:
        return
    health.failures_in_row = 0
    pace = (now_ms - started.at_ms) / max(units, 1.0)
    if health.samples == 0:
        health.ms_per_unit = pace
    else:
        health.ms_per_unit += SMOOTHING * (pace - health.ms_per_unit)
    health.recent_paces.append(pace)
    health.samples += 1


def record_report(
    health: EndpointHealth, load: float, measured_at_ms: float
) -> None:
    """Record a load report unless a newer one is present."""
    if measured_at_ms > health.reported_at_ms:
        health.reported_load = load
        health.reported_at_ms = measured_at_ms


def get_worst_pace(health: EndpointHealth, now_ms: float) -> float:
    """Return the higher of the average and the slowest running pace."""
    worst_running = max(_get_running_paces(health, now_ms), default=0.0)
    if health.samples < MIN_SAMPLES:
        return worst_running
    return max(health.ms_per_unit, worst_running)


def get_median_pace(health: EndpointHealth, now_ms: float) -> float:
    """Return the median pace of recent and running requests.

    A few slow requests do not change it, a slow endpoint does.
    """
    paces = [*health.recent_paces, *_get_running_paces(health, now_ms)]
    return statistics.median_low(paces) if paces else 0.0


def _get_running_paces(health: EndpointHealth, now_ms: float) -> list[float]:
    return [
        (now_ms - started.at_ms) / max(started.units, 1.0)
        for started in health.started_by_request.values()
    ]


def get_expected_ms(by_key: dict[str, EndpointHealth], units: float) -> float:
    """Return the expected duration of a request, in milliseconds."""
    paces = [
        health.ms_per_unit for health in by_key.values() if health.samples > 0
    ]
    return units * statistics.median_low(paces) if paces else 0.0


def get_load(health: EndpointHealth, now_ms: float) -> float:
    """Return requests in flight plus a share of the reported load.

    The share decreases linearly with the age of the report.
    """
    age_ms = now_ms - health.reported_at_ms
    weight = max(0.0, 1.0 - age_ms / REPORT_FRESH_MS)
    return health.in_flight + 0.5 * weight * health.reported_load


def _count(
    health: EndpointHealth, work_class: workclass.WorkClass, change: int
) -> None:
    count = health.in_flight_by_class.get(work_class, 0)
    health.in_flight_by_class[work_class] = count + change
