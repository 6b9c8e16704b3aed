"""Estimate how many bytes answers and texts have."""

import dataclasses

__all__ = ['Sizes', 'TextSize']

SMOOTHING = 0.1
# Assumed until the first answer of a route.
DEFAULT_ANSWER_BYTES = 2000.0
MAX_KINDS = 256
# Lengths and their estimates are spread log-normally: of a text that is longer
# than expected about half of what it has is still to come.
OVERDUE_SHARE = 0.5
BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(slots=True)
class TextSize:
    """Usual events of a text and bytes of an event."""

    events: float = 20.0
    event_bytes: float = 200.0
    # Events for each token that the trainer expects.
    events_per_token: float = 1.0


class Sizes:
    """Usual sizes of answers by route, and of texts by model."""

    def __init__(self) -> None:
        self.answer_bytes_by_route: dict[str, float] = {}
        self.text_by_model: dict[str, TextSize] = {}

    def record_answer(self, route: str, count: int) -> None:
        """Record the bytes of an answer."""
        known = self.answer_bytes_by_route.get(route)
        if known is None:
            _make_room(self.answer_bytes_by_route)
            self.answer_bytes_by_route[route] = float(count)
            return
        self.answer_bytes_by_route[route] = _smooth(known, count)

    def record_text(
        self, model: str, expected: float, events: int, count: int
    ) -> None:
        """Record the events and bytes of a whole text."""
        if events <= 0:
            return
        if model not in self.text_by_model:
            _make_room(self.text_by_model)
            self.text_by_model[model] = TextSize()
        size = self.text_by_model[model]
        size.events = _smooth(size.events, events)
        size.event_bytes = _smooth(size.event_bytes, count / events)
        if expected > 0.0:
            size.events_per_token = _smooth(
                size.events_per_token, events / expected
            )

    def get_request_mb(self, route: str, body_bytes: int) -> float:
        """Return the megabytes that a request and its answer move."""
        answer_bytes = self.answer_bytes_by_route.get(
            route, DEFAULT_ANSWER_BYTES
        )
        return (body_bytes + answer_bytes) / BYTES_PER_MB

    def count_events_left(
        self, model: str, expected: float, done: int
    ) -> float:
        """Return how many events of a text are still to come."""
        size = self.text_by_model.get(model) or TextSize()
        total = size.events
        if expected > 0.0:
            total = expected * size.events_per_token
        return max(total - done, done * OVERDUE_SHARE, 1.0)

    def get_run_mb(
        self, model: str, body_bytes: int, events_left: float
    ) -> float:
        """Return the megabytes that a run moves until its text is whole."""
        size = self.text_by_model.get(model) or TextSize()
        return (body_bytes + events_left * size.event_bytes) / BYTES_PER_MB


def _smooth(known: float, value: float) -> float:
    return known + SMOOTHING * (value - known)


def _make_room(by_key: dict) -> None:
    if len(by_key) >= MAX_KINDS:
        del by_key[next(iter(by_key))]
