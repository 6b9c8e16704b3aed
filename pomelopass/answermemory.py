"""Bound the bytes of endpoints' answers that an instance keeps at a time."""

import collections
from collections import abc
import weakref

__all__ = ['AnswerDiscardedError', 'AnswerMemory', 'Share']

# Answers up to this size are never discarded for the sake of others.
MIN_DISCARDED_BYTES = 65_536


class AnswerDiscardedError(Exception):
    """Raised when an answer was discarded because memory is short."""


class AnswerMemory:
    """Account of the answers that an instance keeps.

    Above the limit the largest answer of the owner with the most bytes is
    discarded, so that answers of usual size are kept while others never end.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.total = 0
        self.shares: weakref.WeakSet[Share] = weakref.WeakSet()

    def open(self, owner: str, discard: abc.Callable[[], None]) -> 'Share':
        """Return the share of a new answer; discard frees its bytes."""
        share = Share(self, owner, discard)
        self.shares.add(share)
        return share

    def make_room(self) -> None:
        """Discard answers until the others fit, or only small ones remain."""
        while self.total > self.max_bytes:
            share = self._find_largest()
            if share is None:
                return
            share.drop()

    def _find_largest(self) -> 'Share | None':
        candidates = [
            share
            for share in self.shares
            if share.discard is not None and share.size > MIN_DISCARDED_BYTES
        ]
        total_by_owner: collections.Counter[str] = collections.Counter()
        for share in candidates:
            total_by_owner[share.owner] += share.size
        return max(
            candidates,
            key=lambda share: (total_by_owner[share.owner], share.size),
            default=None,
        )


class Share:
    """Bytes of one answer; counted as long as the object exists."""

    __slots__ = (
        '__weakref__',
        'discard',
        'is_discarded',
        'memory',
        'owner',
        'size',
    )

    def __init__(
        self,
        memory: AnswerMemory,
        owner: str,
        discard: abc.Callable[[], None] | None,
    ):
        self.memory = memory
        # The endpoint that sends the answer.
        self.owner = owner
        # None while the answer can't be discarded.
        self.discard = discard
        self.size = 0
        self.is_discarded = False

    def __del__(self) -> None:
        self.release()

    def resize(self, size: int) -> None:
        """Set the size in bytes; raise AnswerDiscardedError."""
        self.check()
        is_growing = size > self.size
        self.memory.total += size - self.size
        self.size = size
        if is_growing:
            self.memory.make_room()
            self.check()

    def check(self) -> None:
        """Raise AnswerDiscardedError if the answer was discarded."""
        if self.is_discarded:
            raise AnswerDiscardedError

    def reopen(self) -> None:
        """Begin with an answer anew after one was discarded."""
        self.release()
        self.is_discarded = False

    def release(self) -> None:
        """Count no bytes any more."""
        self.memory.total -= self.size
        self.size = 0

    def drop(self) -> None:
        """Discard the answer."""
        self.is_discarded = True
        self.release()
        if self.discard is not None:
            self.discard()
