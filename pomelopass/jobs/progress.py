"""Progress of the generated text of an item."""

import dataclasses

from .. import decoding

__all__ = ['Progress', 'Snapshot']


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Copy of a progress that can't change, to be stored or carried."""

    texts: tuple[str, ...] = ()
    versions: tuple[decoding.Int64, ...] = ()
    last_event_id: str | None = None
    whole: bool = False
    # None if an instance stored the text without its software version.
    software: str | None = None


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

    def restart(self) -> None:
        """Discard the text so that generation starts again."""
        self.texts.clear()
        self.versions.clear()
        self.last_event_id = None
        self.software = None

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
    """Return the progress of a new run that goes on from a snapshot."""
    return Progress(
        list(snapshot.texts),
        list(snapshot.versions),
        snapshot.last_event_id,
        snapshot.whole,
        snapshot.software,
    )
