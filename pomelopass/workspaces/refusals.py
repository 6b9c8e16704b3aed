"""Log refused keys without a line for each request of a crowd."""

import asyncio

from ..reporting import logevents

__all__ = ['RefusalLog']

# At most two lines within this time, whatever callers send.
INTERVAL_S = 10.0


class RefusalLog:
    """Log the first refusal at once, and the number of those after it."""

    def __init__(self, write_event: logevents.WriteEvent):
        self.write_event = write_event
        self.first: logevents.KeysRefused | None = None
        self.count = 0
        self.timer: asyncio.TimerHandle | None = None

    def record(
        self, request_id: str, status: int, configuration: int, age_ms: float
    ) -> None:
        """Count a request that was refused for its key."""
        self.count += 1
        event = logevents.KeysRefused(
            id=request_id,
            refusals=self.count,
            status=status,
            configuration=configuration,
            age_ms=round(age_ms, 1),
        )
        if self.timer is not None:
            self.first = self.first or event
            return
        self.count = 0
        self.write_event(event)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(INTERVAL_S, self._end_interval)

    def _end_interval(self) -> None:
        self.timer = None
        first, self.first = self.first, None
        if first is not None:
            refusals, self.count = self.count, 0
            self.write_event(
                logevents.KeysRefused(
                    id=first.id,
                    refusals=refusals,
                    status=first.status,
                    configuration=first.configuration,
                    age_ms=first.age_ms,
                )
            )
