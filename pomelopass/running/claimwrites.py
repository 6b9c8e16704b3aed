"""Define claim rows that wait to be written as a group."""

import asyncio
import dataclasses

__all__ = ['ClaimWrite']


@dataclasses.dataclass(slots=True)
class ClaimWrite:
    """A row to write if it has the old version, and its pending result."""

    key: str
    old_version: int
    value: str
    completion: asyncio.Future
