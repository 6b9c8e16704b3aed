"""Define one incarnation of an endpoint."""

import dataclasses

__all__ = ['Endpoint']


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as listed by the platform."""

    id: str
    incarnation: str
    pool: str
    address: str
    availability_zone: str
    leaving: bool = False

    @property
    def key(self) -> str:
        """Return a name that is unique to this incarnation."""
        return f'{self.id}@{self.incarnation}'
