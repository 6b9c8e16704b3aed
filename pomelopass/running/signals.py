"""Wake tasks that wait for something to happen."""

import asyncio

__all__ = ['Signal']


class Signal:
    """Wake all tasks that wait at the moment of a send."""

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def send(self) -> None:
        """Wake everyone who waits now; nobody who comes later."""
        self.event.set()
        self.event.clear()

    async def wait(self, timeout_ms: float) -> None:
        """Wait for the next send, at most for a number of milliseconds."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self.event.wait()
        except TimeoutError:
            pass
