"""Define the order of a number of engines."""

import dataclasses

__all__ = ['EngineOrder']


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """How many engines of one kind a service is to have in a zone."""

    service: str
    availability_zone: str
    count: int
    # Cheaper engines, which may be reclaimed at any time.
    is_spot: bool = False

    @property
    def subject(self) -> str:
        """Return the subject of the duty that this order belongs to."""
        return f'{self.service}/{self.availability_zone}'
