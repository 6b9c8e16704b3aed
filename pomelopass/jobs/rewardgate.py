"""Limit the number of concurrent reward calls."""

import asyncio
import collections
from collections import abc
import contextlib

__all__ = ['RewardGate']

# Share of a service's slots that reward calls of one instance may use.
SLOT_SHARE = 0.5
MIN_SLOTS = 2


class RewardGate:
    """Limit the concurrent reward calls of each service.

    The items of a batch may end together; without a limit their reward calls
    would fill the service and delay the callers that share it.
    """

    def __init__(self, get_slots: abc.Callable[[str], int]):
        self.get_slots = get_slots
        self.running_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        self.waiters_by_service: dict[
            str, collections.deque[asyncio.Future]
        ] = {}

    @contextlib.asynccontextmanager
    async def enter(self, service: str) -> abc.AsyncIterator[None]:
        """Hold a slot while the body runs; slots are granted in FIFO order."""
        waiters = self.waiters_by_service.setdefault(
            service, collections.deque()
        )
        waiter = asyncio.get_running_loop().create_future()
        waiters.append(waiter)
        self._grant_slots(service)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.running_by_service[service] -= 1
                self._grant_slots(service)
            elif waiter in waiters:
                waiters.remove(waiter)
            raise
        try:
            yield
        finally:
            self.running_by_service[service] -= 1
            self._grant_slots(service)

    def _grant_slots(self, service: str) -> None:
        slots = self.get_slots(service) * SLOT_SHARE
        limit = max(MIN_SLOTS, int(slots))
        waiters = self.waiters_by_service[service]
        while waiters and self.running_by_service[service] < limit:
            waiter = waiters.popleft()
            if not waiter.done():
                self.running_by_service[service] += 1
                waiter.set_result(None)
