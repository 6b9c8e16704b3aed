"""Read which weight versions trainers have published."""

import json

from returns import result

from ..core import handover
from ..core import publication
from ..core import rollout
from ..core import tablerow
from ..running import context as contexts

__all__ = ['fetch']


async def fetch(
    context: contexts.Context, trainer_name: str
) -> result.Result[publication.Publication, tablerow.StoreFault]:
    """Return the published weights, or the start weights if none."""
    key = handover.get_keys(trainer_name, 0).published
    row_result = await context.ports.table.get(key)
    return row_result.map(lambda row: _make(context, trainer_name, row))


def _make(
    context: contexts.Context,
    trainer_name: str,
    row: tablerow.Row | None,
) -> publication.Publication:
    trainer = context.configuration.trainers[trainer_name]
    if row is None:
        start = context.configuration.weight_versions[trainer.start_weights]
        target = rollout.Target(trainer.model, start.number, start.object)
        return publication.Publication(target, tablerow.ABSENT)
    value = json.loads(row.value)
    target = rollout.Target(trainer.model, value['version'], value['object'])
    return publication.Publication(target, row.version)
