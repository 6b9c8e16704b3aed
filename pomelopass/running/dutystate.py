"""Define the state of the duties that an instance may hold."""

import asyncio
import dataclasses

from ..core import lease
from ..core import tablerow
from . import signals
from ..training import batchstate

__all__ = ['DutyState']


@dataclasses.dataclass(slots=True)
class DutyState:
    """Leases and fences, running duties and their working state."""

    lease_by_name: dict[str, lease.LeaseState] = dataclasses.field(
        default_factory=dict
    )
    row_by_name: dict[str, tablerow.Row] = dataclasses.field(
        default_factory=dict
    )
    fence_version_by_name: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    task_by_name: dict[str, asyncio.Task] = dataclasses.field(
        default_factory=dict
    )
    batches_by_name: dict[str, batchstate.BatchesState] = dataclasses.field(
        default_factory=dict
    )
    # Weight versions that endpoints report, by model, for the weights duty.
    loaded_by_endpoint: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    wake_batches: signals.Signal = dataclasses.field(
        default_factory=signals.Signal
    )
