"""Repeat the check of a request's key while the request waits."""

import asyncio
from collections import abc
import dataclasses

from . import access as accesses

__all__ = ['Grant']


@dataclasses.dataclass(slots=True)
class Grant:
    """What a request was granted, and when that was last confirmed.

    The decision returns what the newest configuration grants, and its version.
    """

    access: accesses.Access
    version: int
    decide: abc.Callable[[], tuple[accesses.Access, int]]
    # In seconds on the loop's clock.
    confirmed_at: float

    def may_send(self) -> bool:
        """Return whether the newest configuration grants the same."""
        access, version = self.decide()
        if access != self.access:
            return False
        self.version = version
        self.confirmed_at = asyncio.get_running_loop().time()
        return True
