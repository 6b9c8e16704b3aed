"""Allot the requests that a limited endpoint takes, one after another."""

import dataclasses

__all__ = ['MAX_WAIT_MS', 'Allocator', 'Reservation']

# Requests that may be sent at once after a pause.
BURST_REQUESTS = 2
# A request that is due later is not allotted in advance.
MAX_WAIT_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Allotted requests, all due after the wait.

    Without any the wait is the time until the next one is due.
    """

    count: int
    wait_ms: float


class Allocator:
    """Next due time of each limited endpoint (generic cell rate algorithm).

    A due time is allotted to one asker only, in the order in which they ask,
    so a busy instance gets what the others leave and starves none of them.
    """

    def __init__(self) -> None:
        self.next_at_by_endpoint: dict[str, float] = {}

    def reserve(
        self, endpoint_id: str, per_s: float, count: int, now: float
    ) -> Reservation:
        """Allot up to a number of requests at a rate."""
        interval_s = 1.0 / per_s
        # What an earlier allocator allotted is not known: start without burst.
        next_at = self.next_at_by_endpoint.get(endpoint_id, now)
        start = max(next_at, now - (BURST_REQUESTS - 1) * interval_s)
        last_due_at = start + (count - 1) * interval_s
        wait_ms = max(last_due_at - now, 0.0) * 1000
        if wait_ms > MAX_WAIT_MS:
            if count > 1:
                return self.reserve(endpoint_id, per_s, 1, now)
            return Reservation(0, wait_ms)
        self.next_at_by_endpoint[endpoint_id] = last_due_at + interval_s
        return Reservation(count, wait_ms)
