"""Describe one point of a slope."""

from collections import abc
import dataclasses
import tracemalloc

__all__ = ['Point', 'measure_bytes']


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Hold one value of a slope."""

    name: str
    size: int
    value: float
    unit: str


def measure_bytes(build: abc.Callable[[], object]) -> int:
    """Return the memory that a built object keeps."""
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size
