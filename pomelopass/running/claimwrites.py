"""Hold the claim rows that wait to be written together."""

import asyncio
import dataclasses

__all__ = ['ClaimWrite']


@dataclasses.dataclass(slots=True)
class ClaimWrite:
    """Hold a row to write at its old version, and who waits for it."""

    key: str
    old_version: int
    value: str
    done: asyncio.Future
