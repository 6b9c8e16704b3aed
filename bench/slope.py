"""Cost of a component at one size, and memory measurement."""

from collections import abc
import dataclasses
import tracemalloc

__all__ = ['Point', 'measure_bytes']


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """A measured value at one size."""

    name: str
    size: int
    value: float
    unit: str


def measure_bytes(build: abc.Callable[[], object]) -> int:
    """Return the memory in bytes that a new object occupies."""
    tracemalloc.start()
    new_object = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del new_object
    return size
