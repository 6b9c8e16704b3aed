"""Log refused keys with a bounded number of lines."""

import asyncio
import dataclasses

from ..reporting import logevents

__all__ = ['RefusalLog']

# At most two lines of each status are logged within this time.
INTERVAL_S = 10.0


@dataclasses.dataclass(slots=True)
class _Interval:
    """Refusals of one status that are not logged yet: number and the first."""

    count: int = 0
    first: logevents.KeysRefused | None = None


class RefusalLog:
    """Log the first refusal at once, and the number of those after it."""

    def __init__(self, write_event: logevents.WriteEvent):
        self.write_event = write_event
        self.interval_by_status: dict[int, _Interval] = {}

    def record(
        self, request_id: str, status: int, configuration: int, age_ms: float
    ) -> None:
        """Count a request that was refused for its key."""
        event = logevents.KeysRefused(
            id=request_id,
            refusals=1,
            status=status,
            configuration=configuration,
            age_ms=round(age_ms, 1),
        )
        interval = self.interval_by_status.get(status)
        if interval is not None:
            interval.count += 1
            interval.first = interval.first or event
            return
        self.interval_by_status[status] = _Interval()
        self.write_event(event)
        loop = asyncio.get_running_loop()
        loop.call_later(INTERVAL_S, self._end_interval, status)

    def _end_interval(self, status: int) -> None:
        interval = self.interval_by_status.pop(status)
        if interval.first is not None:
            interval.first.refusals = interval.count
            self.write_event(interval.first)
