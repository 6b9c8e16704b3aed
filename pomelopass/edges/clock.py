"""Read the system clock."""

import asyncio
import time

__all__ = ['SystemClock']


class SystemClock:
    """Use the time since boot for durations and UTC for display.

    It counts the time in which the machine is suspended.
    """

    def now_ms(self) -> float:
        """Return the time since boot in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000

    def utc_ms(self) -> float:
        """Return the Unix time in milliseconds."""
        return time.time() * 1000

    async def sleep(self, duration_ms: float) -> None:
        """Suspend the current task for the duration."""
        await asyncio.sleep(duration_ms / 1000)
