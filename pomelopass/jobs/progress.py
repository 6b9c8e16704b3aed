"""Hold how far the text of an item has come."""

import dataclasses

__all__ = ['Progress']


@dataclasses.dataclass(slots=True)
class Progress:
    """Hold the whole events of a text; any prefix of it may be used."""

    texts: list[str] = dataclasses.field(default_factory=list)
    versions: list[int] = dataclasses.field(default_factory=list)
    last_event_id: str | None = None
    whole: bool = False

    def restart(self) -> None:
        """Drop the text, to begin again."""
        self.texts.clear()
        self.versions.clear()
        self.last_event_id = None
