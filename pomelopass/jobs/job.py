"""Define jobs, their items and their results."""

import dataclasses

from .. import decoding
from .. import message

__all__ = ['Item', 'JobRecord', 'Result', 'RewardCall', 'Submission']


@dataclasses.dataclass(frozen=True, slots=True)
class RewardCall:
    """The request that scores the text of an item."""

    id: str
    host: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One generation of a job."""

    id: str
    path: str
    headers: message.Headers
    body: bytes
    group: str
    model: str
    reward: RewardCall | None = None
    tokens: decoding.Int64 = 0
    # The trainer's estimate of the length of the text, in tokens.
    expected_length: decoding.FiniteFloat = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as its trainer submitted it."""

    id: str
    host: str
    target: str
    model: str
    step: decoding.Int64
    min_version: decoding.Int64
    target_groups: decoding.Int64
    items: tuple[Item, ...]
    # Name of the workspace that submitted it; empty for none.
    workspace: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """State of a job as stored in the table service.

    Times are milliseconds on the monotonic clock of the table service.
    """

    id: str
    owner: str
    owner_name: str
    total: decoding.Count
    chunks: decoding.Count
    accepted_ms: decoding.Int64
    model: str = ''
    tokens: decoding.Int64 = 0
    # Number of versions by which samples may lag the target at acceptance.
    allowed_lag: decoding.Int64 = 0
    listed: decoding.Count = 0
    ended: bool = False
    writes: decoding.Count = 0
    # Name of the workspace that it belongs to; empty for none.
    workspace: str = ''

    @property
    def is_open(self) -> bool:
        """Return whether items are still to be run."""
        return not self.ended and self.listed < self.total


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of an item; a terminated item has no text."""

    item_id: str
    completed: bool
    text: str = ''
    versions: tuple[decoding.Int64, ...] = ()
    score: str | None = None
