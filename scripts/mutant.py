"""Define mutations of single source lines."""

import dataclasses

__all__ = ['Mutant']


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """One text replacement in a file and the tests that must detect it."""

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]
