"""Define a complete reply that is replayed for a repeated request."""

import dataclasses

__all__ = ['RecordedReply']


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedReply:
    """Status, headers and body of a complete reply."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
