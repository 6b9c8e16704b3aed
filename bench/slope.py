"""Describe one point of a slope."""

import dataclasses

__all__ = ['Point']


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Hold one value of a slope."""

    name: str
    size: int
    value: float
    unit: str
