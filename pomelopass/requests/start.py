"""Define how the start of a request at an endpoint is recorded."""

from typing import Protocol

from . import call as calls
from ..registry import endpoint

__all__ = [
    'NO_START',
    'NO_STARTS',
    'Start',
    'StartBook',
    'estimate_start',
]


class Start(Protocol):
    """When endpoints began to run one request of a caller."""

    def place(self, at: float) -> None:
        """Set the start, in seconds of the event loop."""

    def withdraw(self) -> None:
        """Record that no endpoint ran the request."""


class StartBook(Protocol):
    """Book of the requests of callers that endpoints began to run."""

    def open(self, call: calls.Call) -> Start:
        """Return the start of a request, which is not known yet."""


class _NoStart:
    def place(self, at: float) -> None:
        """Record nothing."""

    def withdraw(self) -> None:
        """Record nothing."""


class _NoStarts:
    def open(self, call: calls.Call) -> Start:
        """Return a start that is not recorded."""
        return NO_START


NO_START = _NoStart()
NO_STARTS = _NoStarts()


def estimate_start(
    sent_at: float, answered_at: float, load: endpoint.LoadReport | None
) -> float:
    """Return when an endpoint began to run a request that it answered.

    The load pattern: without a queue a request runs from its arrival on.
    With one, it waits for as many turns of all slots as the queue is long,
    and the queue at its arrival was about that of its answer.
    """
    if load is None or not load.waiting:
        return sent_at
    waited_share = load.waiting / (load.waiting + max(load.slots, 1))
    return sent_at + (answered_at - sent_at) * waited_share
