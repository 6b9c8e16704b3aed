"""Record the most recent events of an instance for operators."""

import collections
import dataclasses

__all__ = ['Event', 'RecentEvents', 'add', 'find_by_subject']

MAX_EVENTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event; order breaks ties between equal times."""

    utc_ms: float
    order: int
    process: str
    kind: str
    subject: str
    detail: str


@dataclasses.dataclass(slots=True)
class RecentEvents:
    """The most recent events; the clock never falls behind its peers."""

    process: str
    clock_ms: float = 0.0
    order: int = 0
    events: collections.deque[Event] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_EVENTS)
    )


def advance_clock(log: RecentEvents, utc_ms: float) -> None:
    """Advance the clock to that of a peer, so that causes sort first."""
    log.clock_ms = max(log.clock_ms, utc_ms)


def add(
    log: RecentEvents, kind: str, subject: str, detail: str, utc_ms: float
) -> Event:
    """Append an event."""
    advance_clock(log, utc_ms)
    log.order += 1
    event = Event(log.clock_ms, log.order, log.process, kind, subject, detail)
    log.events.append(event)
    return event


def find_by_subject(log: RecentEvents, subject: str) -> list[Event]:
    """Return the events of a request, sample or other subject."""
    return [event for event in log.events if event.subject == subject]
