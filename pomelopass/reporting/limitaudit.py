"""Compare the requests that endpoints got with the limits that they named."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['LimitUse', 'measure_limit_use']

WINDOW_MS = 4000.0
# Instances have until then to slow down after an endpoint named a limit.
SETTLE_MS = 3000.0
# An endpoint may get this many times its limit, and a few requests more.
TOLERANCE = 1.5
EXTRA_REQUESTS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUse:
    """The window in which an endpoint got most requests for its limit."""

    endpoint: str
    start_ms: float
    requests: int
    refused: int
    allowed: float
    instances: int

    @property
    def is_exceeded(self) -> bool:
        """Return whether the endpoint got more than is allowed."""
        return self.requests > self.allowed


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    sent_ms: float
    received_ms: float
    instance: str
    limit: float | None
    not_run: bool
    status: int

    @property
    def reached(self) -> bool:
        """Return whether the endpoint got the request."""
        return self.status != 0 or not self.not_run


def measure_limit_use(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[LimitUse]:
    """Return the worst window of each limited endpoint, summed over instances.

    The lines of the event endpoint-answered are needed, which instances log
    at the level DEBUG. Times are as good as the clocks of the instances.
    """
    answers_by_endpoint: dict[str, list[_Answer]] = {}
    for line in lines:
        received_ms = line.utc_ms
        if line.event != 'endpoint-answered' or received_ms is None:
            continue
        answers = answers_by_endpoint.setdefault(
            str(line.fields['endpoint']), []
        )
        answers.append(_make_answer(line, received_ms))
    uses = []
    for endpoint_id, answers in sorted(answers_by_endpoint.items()):
        for start_ms, end_ms in _find_limited_spans(answers):
            use = _find_worst_window(endpoint_id, answers, start_ms, end_ms)
            if use is not None:
                uses.append(use)
    return uses


def _make_answer(line: savedlogs.LogLine, received_ms: float) -> _Answer:
    limit = line.fields.get('limit')
    return _Answer(
        received_ms - float(str(line.fields['took_ms'])),
        received_ms,
        line.instance,
        None if limit is None else float(str(limit)),
        bool(line.fields['not_run']),
        int(str(line.fields['status'])),
    )


def _find_limited_spans(
    answers: list[_Answer],
) -> list[tuple[float, float]]:
    spans = []
    start_ms = None
    last_ms = 0.0
    for answer in sorted(answers, key=lambda answer: answer.received_ms):
        if answer.limit is not None:
            if start_ms is None:
                start_ms = answer.received_ms
            last_ms = answer.received_ms
        elif start_ms is not None and answer.status:
            spans.append((start_ms + SETTLE_MS, last_ms))
            start_ms = None
    if start_ms is not None:
        spans.append((start_ms + SETTLE_MS, last_ms))
    return spans


def _find_worst_window(
    endpoint_id: str, answers: list[_Answer], start_ms: float, end_ms: float
) -> LimitUse | None:
    within = sorted(
        (
            answer
            for answer in answers
            if answer.reached and start_ms <= answer.sent_ms <= end_ms
        ),
        key=lambda answer: answer.sent_ms,
    )
    worst = None
    worst_share = 0.0
    for index, first in enumerate(within):
        window = [
            answer
            for answer in within[index:]
            if answer.sent_ms < first.sent_ms + WINDOW_MS
        ]
        limits = [answer.limit for answer in window if answer.limit]
        if not limits:
            continue
        allowed = TOLERANCE * max(limits) * WINDOW_MS / 1000 + EXTRA_REQUESTS
        if len(window) / allowed > worst_share:
            worst_share = len(window) / allowed
            worst = LimitUse(
                endpoint_id,
                first.sent_ms,
                len(window),
                sum(answer.not_run for answer in window),
                allowed,
                len({answer.instance for answer in window}),
            )
    return worst
