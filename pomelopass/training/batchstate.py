"""Define the in-memory state of the holder of a batches duty."""

import asyncio
import dataclasses

from ..core import batch
from ..core import fairness
from ..core import publication

__all__ = ['BatchesState', 'OpenStep']


@dataclasses.dataclass(slots=True)
class OpenStep:
    """The batch of a step with the row that requested it."""

    batch: batch.BatchState
    ask_object: str
    ask_version: int
    carry_version: int


@dataclasses.dataclass(slots=True)
class BatchesState:
    """Open steps by trainer in step order, and attempts in progress."""

    duty: str
    pool: str
    fairness: fairness.FairnessState
    steps_by_trainer: dict[str, dict[int, OpenStep]] = dataclasses.field(
        default_factory=dict
    )
    published_by_trainer: dict[str, publication.Publication] = (
        dataclasses.field(default_factory=dict)
    )
    carried_by_trainer: dict[str, list[batch.GroupState]] = dataclasses.field(
        default_factory=dict
    )
    attempt_tasks: dict[str, asyncio.Task] = dataclasses.field(
        default_factory=dict
    )
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
