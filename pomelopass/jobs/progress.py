"""Progress of the generated text of an item."""

import dataclasses

from .. import decoding

__all__ = ['Progress']


@dataclasses.dataclass(slots=True)
class Progress:
    """Complete events of a text; generation may resume after any prefix.

    It may do so only at the software version that began the text, for what
    two versions write does not fit together.
    """

    texts: list[str] = dataclasses.field(default_factory=list)
    versions: list[decoding.Int64] = dataclasses.field(default_factory=list)
    last_event_id: str | None = None
    whole: bool = False
    # None if an instance stored the text without its software version.
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
