"""Hold the permits of this instance to send to limited endpoints."""

import asyncio
from collections import abc
import dataclasses
import math

from . import allocator
from . import book as books
from ..registry import endpoint as endpoints

__all__ = ['PermitPool']

# A permit lapses unused after this time.
HOLD_MS = 500.0
# One reservation covers the requests of this time.
BATCH_MS = 100.0

Acquire = abc.Callable[[str, float, int], abc.Awaitable[allocator.Reservation]]


@dataclasses.dataclass(slots=True)
class _Permits:
    """Permits for one endpoint; times are those of the event loop."""

    count: int = 0
    lapse_at: float = 0.0
    # When the next permit is expected.
    expected_at: float = 0.0
    # Not asked again before.
    retry_at: float = 0.0
    task: asyncio.Task | None = None

    def count_valid(self, now: float) -> int:
        return self.count if now < self.lapse_at else 0

    def is_fetching(self) -> bool:
        return self.task is not None and not self.task.done()


class PermitPool:
    """Permits by endpoint, fetched while work waits for them."""

    def __init__(
        self,
        book: books.LimitBook,
        acquire: Acquire,
        get_table_ms: abc.Callable[[], int],
    ):
        self.book = book
        self.acquire = acquire
        self.get_table_ms = get_table_ms
        self.on_permit: abc.Callable[[], None] = lambda: None
        self.permits_by_endpoint: dict[str, _Permits] = {}

    def split(
        self, states: abc.Iterable[endpoints.EndpointState]
    ) -> tuple[list[endpoints.EndpointState], list[endpoints.EndpointState]]:
        """Return the endpoints that may get a request, and the others."""
        if not self.book.limit_by_endpoint:
            return list(states), []
        now = asyncio.get_running_loop().time()
        now_ms = self.get_table_ms()
        open_states = []
        limited_states = []
        for state in states:
            endpoint_id = state.endpoint.id
            is_limited = self.book.get_rate(endpoint_id, now_ms) is not None
            if is_limited and not self._count_valid(endpoint_id, now):
                limited_states.append(state)
            else:
                open_states.append(state)
        return open_states, limited_states

    def is_limited(self, endpoint_id: str) -> bool:
        """Return whether the endpoint names a limit."""
        rate = self.book.get_rate(endpoint_id, self.get_table_ms())
        return rate is not None

    def take(self, endpoint_id: str) -> None:
        """Use up a permit for a request to the endpoint."""
        permits = self.permits_by_endpoint.get(endpoint_id)
        if permits is not None and permits.count > 0:
            permits.count -= 1

    def request(self, endpoint_id: str) -> None:
        """Fetch permits for an endpoint that work waits for."""
        now = asyncio.get_running_loop().time()
        permits = self.permits_by_endpoint.setdefault(endpoint_id, _Permits())
        if permits.is_fetching() or now < permits.retry_at:
            return
        per_s = self.book.get_rate(endpoint_id, self.get_table_ms())
        if per_s is None:
            return
        permits.task = asyncio.ensure_future(
            self._fetch(endpoint_id, permits, per_s)
        )

    def is_fetching(self, endpoint_id: str) -> bool:
        """Return whether permits for an endpoint are on their way."""
        permits = self.permits_by_endpoint.get(endpoint_id)
        return permits is not None and permits.is_fetching()

    def get_expected_at(self, endpoint_id: str) -> float:
        """Return from when on the endpoint may get a request."""
        now = asyncio.get_running_loop().time()
        permits = self.permits_by_endpoint.get(endpoint_id)
        return max(permits.expected_at, now) if permits is not None else now

    def stop(self) -> None:
        """Cancel the fetches in progress."""
        for permits in self.permits_by_endpoint.values():
            if permits.task is not None:
                permits.task.cancel()

    def _count_valid(self, endpoint_id: str, now: float) -> int:
        permits = self.permits_by_endpoint.get(endpoint_id)
        return permits.count_valid(now) if permits is not None else 0

    async def _fetch(
        self, endpoint_id: str, permits: _Permits, per_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        count = max(1, math.floor(per_s * BATCH_MS / 1000))
        reservation = await self.acquire(endpoint_id, per_s, count)
        wait_s = reservation.wait_ms / 1000
        permits.expected_at = loop.time() + wait_s
        if reservation.count == 0:
            permits.retry_at = (
                permits.expected_at - allocator.MAX_WAIT_MS / 1000
            )
            return
        await asyncio.sleep(wait_s)
        permits.count = reservation.count
        permits.lapse_at = loop.time() + HOLD_MS / 1000
        self.on_permit()
