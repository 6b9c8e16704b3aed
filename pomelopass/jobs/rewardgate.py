"""Bound how many reward calls run at a time."""

import asyncio
import collections
from collections import abc
import contextlib

__all__ = ['RewardGate']

# Share of a service's places that reward calls of one instance may take.
PLACE_SHARE = 0.5
MIN_PLACES = 2


class RewardGate:
    """Hold the running and the waiting reward calls of each service.

    Answers batches whose items end together: their reward calls would
    fill the service and delay the callers that share it.
    """

    def __init__(self, get_places: abc.Callable[[str], int]):
        self.get_places = get_places
        self.running_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        self.waiting_by_service: dict[
            str, collections.deque[asyncio.Future]
        ] = {}

    @contextlib.asynccontextmanager
    async def enter(self, service: str) -> abc.AsyncIterator[None]:
        """Hold a place while the body runs, in order of arrival."""
        waiting = self.waiting_by_service.setdefault(
            service, collections.deque()
        )
        turn = asyncio.get_running_loop().create_future()
        waiting.append(turn)
        self._wake(service)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.running_by_service[service] -= 1
                self._wake(service)
            elif turn in waiting:
                waiting.remove(turn)
            raise
        try:
            yield
        finally:
            self.running_by_service[service] -= 1
            self._wake(service)

    def _wake(self, service: str) -> None:
        places = self.get_places(service) * PLACE_SHARE
        limit = max(MIN_PLACES, int(places))
        waiting = self.waiting_by_service[service]
        while waiting and self.running_by_service[service] < limit:
            turn = waiting.popleft()
            if not turn.done():
                self.running_by_service[service] += 1
                turn.set_result(None)
