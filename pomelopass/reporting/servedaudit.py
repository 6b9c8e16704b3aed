"""Compare how callers are served at instances without links to endpoints."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['ServedCount', 'measure_served']

# Instances have until then to find another path.
SETTLE_MS = 3000.0
# Spans that begin within this time of each other are one incident.
SAME_INCIDENT_MS = 3000.0
# Fewer failures in a row may be those of endpoints.
MIN_FAILURES = 3
MIN_SHARE_OF_OTHERS = 2 / 3
FREE_FAILURES = 10
FREE_FAILURE_SHARE = 1 / 50
CONNECT_REASONS = ('connect-timeout', 'connect-failed', 'unreachable')


@dataclasses.dataclass(frozen=True, slots=True)
class ServedCount:
    """Requests served at the instances of one incident and at the others."""

    start_ms: float
    end_ms: float
    instances: tuple[str, ...]
    served: int
    total: int
    served_elsewhere: int
    total_elsewhere: int

    @property
    def is_unequal(self) -> bool:
        """Return whether callers at these instances are served far worse."""
        failed = self.total - self.served
        free = FREE_FAILURES + FREE_FAILURE_SHARE * (
            self.total + self.total_elsewhere
        )
        share = self.served / max(self.total, 1)
        share_elsewhere = self.served_elsewhere / max(self.total_elsewhere, 1)
        return failed > free and share < MIN_SHARE_OF_OTHERS * share_elsewhere


@dataclasses.dataclass(slots=True)
class _Span:
    """Time in which an instance opened no connection to an endpoint."""

    instance: str
    start_ms: float
    end_ms: float
    failures: int = 1
    # Only another event ends it.
    is_declared: bool = False


def measure_served(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[ServedCount]:
    """Return the served requests of each incident, from its settling on.

    An incident begins with the event endpoints-lost, or with failed
    connections in the event endpoint-answered, which instances log at the
    level DEBUG. Times are as good as the clocks of the instances.
    """
    lines = [line for line in lines if line.utc_ms is not None]
    spans = _find_spans(lines)
    incidents: list[list[_Span]] = []
    for span in sorted(spans, key=lambda span: span.start_ms):
        if (
            incidents
            and span.start_ms - incidents[-1][0].start_ms < SAME_INCIDENT_MS
        ):
            incidents[-1].append(span)
        else:
            incidents.append([span])
    counts = [_count(incident, lines) for incident in incidents]
    return [count for count in counts if count.end_ms > count.start_ms]


def _find_spans(lines: list[savedlogs.LogLine]) -> list[_Span]:
    open_by_instance: dict[str, _Span] = {}
    spans = []

    def close(instance: str) -> None:
        span = open_by_instance.pop(instance, None)
        if span is not None and span.failures >= MIN_FAILURES:
            spans.append(span)

    for line in lines:
        instance = line.instance
        span = open_by_instance.get(instance)
        if line.event == 'endpoints-lost':
            if span is None:
                span = _Span(instance, line.utc_ms, line.utc_ms)
                open_by_instance[instance] = span
            span.failures = MIN_FAILURES
            span.is_declared = True
        elif line.event == 'endpoints-regained' and span is not None:
            span.end_ms = line.utc_ms
            close(instance)
        elif line.event == 'endpoint-answered' and not line.fields.get('peer'):
            _apply_answer(line, span, open_by_instance, close)
        elif span is not None and span.is_declared:
            span.end_ms = line.utc_ms
    for instance in list(open_by_instance):
        close(instance)
    return spans


def _apply_answer(
    line: savedlogs.LogLine,
    span: _Span | None,
    open_by_instance: dict[str, _Span],
    close: abc.Callable[[str], None],
) -> None:
    sent_ms = line.utc_ms - float(str(line.fields['took_ms']))
    if line.fields.get('reason') in CONNECT_REASONS:
        if span is None:
            open_by_instance[line.instance] = _Span(
                line.instance, sent_ms, line.utc_ms
            )
            return
        span.failures += 1
        span.end_ms = line.utc_ms
        return
    if not line.fields['status'] or span is None or span.is_declared:
        return
    # An answer to what was sent before the span does not end it.
    if sent_ms > span.start_ms:
        close(line.instance)


def _count(
    incident: list[_Span], lines: list[savedlogs.LogLine]
) -> ServedCount:
    start_ms = max(span.start_ms for span in incident) + SETTLE_MS
    end_ms = min(span.end_ms for span in incident)
    names = {span.instance for span in incident}
    served = {True: 0, False: 0}
    total = {True: 0, False: 0}
    for line in lines:
        if line.event != 'request-ended':
            continue
        if not start_ms <= line.utc_ms <= end_ms:
            continue
        is_inside = line.instance in names
        total[is_inside] += 1
        served[is_inside] += (
            line.fields['outcome'] == 'answered'
            and int(str(line.fields['status'])) < 500
        )
    return ServedCount(
        start_ms,
        end_ms,
        tuple(sorted(names)),
        served[True],
        total[True],
        served[False],
        total[False],
    )
