"""Tell the time of the machine."""

import asyncio
import time

__all__ = ['SystemClock']


class SystemClock:
    """Use the monotonic clock for durations and UTC for display."""

    def now_ms(self) -> float:
        """Return milliseconds on a clock that never goes back."""
        return time.monotonic() * 1000

    def utc_ms(self) -> float:
        """Return milliseconds since 1970 in UTC."""
        return time.time() * 1000

    async def sleep(self, duration_ms: float) -> None:
        """Wait for a number of milliseconds."""
        await asyncio.sleep(duration_ms / 1000)
