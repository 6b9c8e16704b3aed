"""Bound the work of many connections in one iteration of the event loop."""

import asyncio
import collections

__all__ = ['WorkTurns']


class WorkTurns:
    """Queue that admits one piece of work in each loop iteration.

    Heartbeats and other callers wait for one piece at most, however many
    connections have more to do.
    """

    def __init__(self) -> None:
        self.waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def take(self) -> None:
        """Wait for the next turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self.waiting.append(turn)
        if len(self.waiting) == 1:
            loop.call_soon(self._admit)
        await turn

    def _admit(self) -> None:
        while self.waiting and self.waiting[0].done():
            self.waiting.popleft()
        if not self.waiting:
            return
        self.waiting[0].set_result(None)
        # It stays at the head until the next iteration.
        asyncio.get_running_loop().call_soon(self._admit)
