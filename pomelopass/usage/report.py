"""Define the usage report of a window."""

import dataclasses

__all__ = ['Report']


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The report of a window, as the bytes that are stored and sent."""

    window: int
    body: bytes
