"""Progress of the generated text of an item."""

import dataclasses

__all__ = ['Progress']


@dataclasses.dataclass(slots=True)
class Progress:
    """Complete events of a text; generation may resume after any prefix."""

    texts: list[str] = dataclasses.field(default_factory=list)
    versions: list[int] = dataclasses.field(default_factory=list)
    last_event_id: str | None = None
    whole: bool = False

    def restart(self) -> None:
        """Discard the text so that generation starts again."""
        self.texts.clear()
        self.versions.clear()
        self.last_event_id = None
