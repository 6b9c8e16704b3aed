"""Describe one incarnation of an endpoint."""

import dataclasses

__all__ = ['Endpoint']


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Hold what the platform's list says of an endpoint."""

    id: str
    incarnation: str
    pool: str
    address: str
    availability_zone: str
    leaving: bool = False

    @property
    def key(self) -> str:
        """Return a name that no later incarnation shares."""
        return f'{self.id}@{self.incarnation}'
