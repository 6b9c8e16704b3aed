"""Read the system clock."""

import asyncio
import time

__all__ = ['SystemClock']


class SystemClock:
    """Use the monotonic clock for durations and UTC for display."""

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return time.monotonic() * 1000

    def utc_ms(self) -> float:
        """Return the Unix time in milliseconds."""
        return time.time() * 1000

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the current task for the duration."""
        await asyncio.sleep(duration_ms / 1000)
