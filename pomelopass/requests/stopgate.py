"""Decide which requests a stopping instance takes, and end the others."""

import asyncio
from collections import abc
import contextlib
import math

from . import routes

__all__ = ['InstanceStopsError', 'StopGate']

# Callers may use addresses cached from the directory for this long.
CACHED_ADDRESS_MS = 3000.0
# Reserved to write the last answers before connections close.
ANSWER_MARGIN_MS = 150.0


class InstanceStopsError(Exception):
    """Raised in what still runs when the instance ends."""


class StopGate:
    """Admits requests that can end before the instance does.

    Times are those of the event loop in seconds.
    """

    def __init__(self) -> None:
        self.stopping_since = math.inf
        self.ends_at = math.inf
        self.limits: set[asyncio.Timeout] = set()

    def begin(self, now: float, closes_at: float) -> None:
        """Begin a stop that closes all connections at a time."""
        self.stopping_since = now
        self.ends_at = closes_at - ANSWER_MARGIN_MS / 1000
        for limit in self.limits:
            limit.reschedule(self.ends_at)

    def admits(self, route: routes.Route, time_limit_at: float) -> bool:
        """Return whether a request with a time limit may still run.

        Callers that could not know of the stop are served if a request that
        the end breaks off may be sent again.
        """
        if time_limit_at <= self.ends_at:
            return True
        now = asyncio.get_running_loop().time()
        is_early = now < self.stopping_since + CACHED_ADDRESS_MS / 1000
        return is_early and routes.may_repeat(route)

    def has_time(self, duration_ms: float) -> bool:
        """Return whether work of that duration ends before the instance."""
        now = asyncio.get_running_loop().time()
        return now + duration_ms / 1000 < self.ends_at

    @contextlib.asynccontextmanager
    async def limit(self) -> abc.AsyncGenerator[None, None]:
        """Raise InstanceStopsError in what still runs at the end."""
        until = None if math.isinf(self.ends_at) else self.ends_at
        limit = asyncio.timeout_at(until)
        self.limits.add(limit)
        try:
            async with limit:
                yield
        except TimeoutError:
            if not limit.expired():
                raise
            raise InstanceStopsError from None
        finally:
            self.limits.discard(limit)
