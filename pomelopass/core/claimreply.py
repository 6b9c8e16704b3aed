"""Keep a whole reply so that it can be given again."""

import dataclasses

__all__ = ['RecordedReply']


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedReply:
    """Hold the status, headers and body of a finished reply."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
