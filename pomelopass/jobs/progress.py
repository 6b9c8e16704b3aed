"""Progress of the generated text of an item."""

import dataclasses
import sys

import orjson

from .. import decoding

__all__ = ['Progress', 'Snapshot', 'TextTooLongError', 'make_progress']

# More events than any text has; they may come without an end.
MAX_EVENTS = 65_536
# A result must fit into one transaction of the table service.
MAX_STORED_BYTES = 524_288
# More weight versions than any text spans.
MAX_VERSIONS = 256
# Digits of a version and a comma.
VERSION_BYTES = 20
# A reference in a list.
REFERENCE_BYTES = 8


class TextTooLongError(Exception):
    """Raised when a text has more events or bytes than a result may have."""


def count_kept_bytes(text: str) -> int:
    """Return the bytes that an event's text occupies in memory."""
    return sys.getsizeof(text) + REFERENCE_BYTES


def count_stored_bytes(text: str) -> int:
    """Return the bytes that an event's text occupies in a stored result."""
    return len(orjson.dumps(text))


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Copy of a progress that can't change, to be stored or carried."""

    texts: tuple[str, ...] = ()
    versions: tuple[decoding.Int64, ...] = ()
    last_event_id: str | None = None
    whole: bool = False
    # None if an instance stored the text without its software version.
    software: str | None = None

    @property
    def kept_bytes(self) -> int:
        """Return the bytes that the text occupies in memory."""
        return sum(count_kept_bytes(text) for text in self.texts)


@dataclasses.dataclass(slots=True)
class Progress:
    """Complete events of a text; generation may resume after any prefix.

    It may do so only at the software version that began the text, for what
    two versions write does not fit together. Only the run that built it
    appends to it: others get a snapshot.
    """

    texts: list[str] = dataclasses.field(default_factory=list)
    versions: list[int] = dataclasses.field(default_factory=list)
    last_event_id: str | None = None
    whole: bool = False
    software: str | None = None
    # Bytes in memory, and as stored in the table.
    kept_bytes: int = 0
    stored_bytes: int = 0

    def append(self, text: str, event_id: str, version: int | None) -> None:
        """Append an event; raise TextTooLongError if it does not fit."""
        size = count_stored_bytes(text)
        if version is not None and version not in self.versions:
            size += VERSION_BYTES
        if (
            len(self.texts) >= MAX_EVENTS
            or len(self.versions) >= MAX_VERSIONS
            or self.stored_bytes + size > MAX_STORED_BYTES
        ):
            raise TextTooLongError
        self.stored_bytes += size
        self.kept_bytes += count_kept_bytes(text)
        self.texts.append(text)
        self.last_event_id = event_id
        if version is not None and version not in self.versions:
            self.versions.append(version)

    def restart(self) -> None:
        """Discard the text so that generation starts again."""
        self.texts.clear()
        self.versions.clear()
        self.last_event_id = None
        self.software = None
        self.kept_bytes = 0
        self.stored_bytes = 0

    def discard(self) -> None:
        """Discard a text that may be whole."""
        self.restart()
        self.whole = False

    def can_resume_at(self, software: str) -> bool:
        """Return whether an endpoint of this software may resume the text."""
        return not self.texts or self.software == software

    def take_snapshot(self) -> Snapshot:
        """Return a copy that later events don't change."""
        return Snapshot(
            tuple(self.texts),
            tuple(self.versions),
            self.last_event_id,
            self.whole,
            self.software,
        )


def make_progress(snapshot: Snapshot) -> Progress:
    """Return the progress of a new run that continues a snapshot."""
    return Progress(
        list(snapshot.texts),
        list(snapshot.versions),
        snapshot.last_event_id,
        snapshot.whole,
        snapshot.software,
        snapshot.kept_bytes,
        sum(count_stored_bytes(text) for text in snapshot.texts)
        + len(snapshot.versions) * VERSION_BYTES,
    )
