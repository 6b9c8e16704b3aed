"""Log what changes at endpoints, with a bounded number of lines.

The load pattern: each of 300 instances finds 3,000 engines when it starts,
and a version that a trainer publishes changes the entries of all of them. A
line for each costs a start more than decoding the entries does.
"""

import collections

from . import endpoint as endpoints
from ..reporting import logevents

__all__ = ['ChangeLog']

# Changes that concern many endpoints at once and that entries show as well.
BOUNDED_CHANGES = frozenset(('found', 'version'))
# Fleets of up to 200 endpoints are logged whole.
MAX_LINES = 200
# Lines that are allowed again with each call of refill, ten a second.
REFILL_LINES = 5


class ChangeLog:
    """Write changes of endpoints; sum those that exceed the bound."""

    def __init__(self, write_event: logevents.WriteEvent):
        self.write_event = write_event
        self.lines_left = MAX_LINES
        self.omitted_by_change: collections.Counter[str] = (
            collections.Counter()
        )

    def record(self, entry: endpoints.Endpoint, change: str) -> None:
        """Log a change of an endpoint unless it exceeds the bound."""
        if change in BOUNDED_CHANGES:
            if not self.lines_left:
                self.omitted_by_change[change] += 1
                return
            self.lines_left -= 1
        self.write_event(
            logevents.EndpointChanged(
                endpoint=entry.id,
                service=entry.service,
                address=entry.address,
                change=change,
                versions=entry.version_by_model,
                software=entry.software,
            )
        )

    def refill(self) -> None:
        """Allow some more lines, and log how many were omitted if any."""
        self.lines_left = min(MAX_LINES, self.lines_left + REFILL_LINES)
        if self.omitted_by_change:
            self.write_event(
                logevents.EndpointChangesOmitted(
                    counts=dict(self.omitted_by_change)
                )
            )
            self.omitted_by_change.clear()
