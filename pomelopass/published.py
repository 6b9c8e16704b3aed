"""Read which weight versions trainers have published."""

import dataclasses
import json

from returns import result

from . import context as contexts
from .core import handover
from .core import rollout
from .core import tablerow

__all__ = ['Published', 'fetch']


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """Hold the newest weights of a trainer and the version of the row."""

    target: rollout.Target
    row_version: int


async def fetch(
    context: contexts.Context, trainer_name: str
) -> result.Result[Published, tablerow.StoreFault]:
    """Return the newest weights, or those that training starts with."""
    key = handover.get_keys(trainer_name, 0).published
    found = await context.ports.table.get(key)
    return found.map(lambda row: _make(context, trainer_name, row))


def _make(
    context: contexts.Context,
    trainer_name: str,
    row: tablerow.Row | None,
) -> Published:
    trainer = context.configuration.trainers[trainer_name]
    if row is None:
        start = context.configuration.weight_versions[trainer.start_weights]
        target = rollout.Target(trainer.model, start.number, start.object)
        return Published(target, tablerow.ABSENT)
    value = json.loads(row.value)
    target = rollout.Target(trainer.model, value['version'], value['object'])
    return Published(target, row.version)
