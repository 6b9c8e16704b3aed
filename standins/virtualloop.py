"""Run asyncio on a virtual clock that jumps to the next timer."""

import asyncio
import selectors

__all__ = ['DeadlockError', 'VirtualClock', 'VirtualLoop', 'run']


class DeadlockError(RuntimeError):
    """Every task waits and no timer is pending."""


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise DeadlockError
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only to the next timer."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        """Return virtual seconds."""
        return self._jumping_selector.now_s


class VirtualClock:
    """Clock of an instance on the loop's time; UTC may jump."""

    def __init__(self) -> None:
        self.utc_offset_ms = 1_700_000_000_000.0

    def now_ms(self) -> float:
        """Return milliseconds on a monotonic clock."""
        return asyncio.get_running_loop().time() * 1000

    def utc_ms(self) -> float:
        """Return milliseconds since 1970 in UTC."""
        return self.now_ms() + self.utc_offset_ms

    async def sleep(self, duration_ms: float) -> None:
        """Wait for a number of virtual milliseconds."""
        await asyncio.sleep(duration_ms / 1000)


def run(coroutine):
    """Run a coroutine on a virtual clock and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
