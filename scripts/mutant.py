"""Describe a one-line break of a mechanism."""

import dataclasses

__all__ = ['Mutant']


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """Replace a text that stands once in a file and name its tests."""

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]
