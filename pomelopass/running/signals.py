"""Wake tasks that wait for something to happen."""

import asyncio

__all__ = ['Signal']


class Signal:
    """Wake all tasks that wait at the moment of a send."""

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def send(self) -> None:
        """Wake the tasks that wait now, not those that wait later."""
        self.event.set()
        self.event.clear()

    async def wait(self, timeout_ms: float) -> None:
        """Wait for the next send or until the timeout has passed."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self.event.wait()
        except TimeoutError:
            pass
