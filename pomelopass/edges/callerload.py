"""Define the limits that the connections of all callers share."""

import dataclasses
import math

from . import callermemory
from . import workturns

__all__ = ['CallerLoad']


def _make_unlimited() -> callermemory.CallerMemory:
    return callermemory.CallerMemory(math.inf)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLoad:
    """Memory account and work queue of the connections of a process."""

    memory: callermemory.CallerMemory = dataclasses.field(
        default_factory=_make_unlimited
    )
    turns: workturns.WorkTurns = dataclasses.field(
        default_factory=workturns.WorkTurns
    )
