"""Read the steps that trainers have requested."""

import json

from returns import result

from . import batchstate
from ..core import batch
from ..core import handover
from ..core import tablerow
from . import published
from ..running import context as contexts

__all__ = ['refresh']


async def refresh(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    """Refresh published versions and open newly requested steps."""
    async with state.lock:
        await _refresh(context, state)


async def _refresh(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    trainers = context.configuration.trainers
    for name in set(state.steps_by_trainer) - set(trainers):
        del state.steps_by_trainer[name]
    for name, trainer in trainers.items():
        if trainer.pool != state.pool:
            continue
        publication_result = await published.fetch(context, name)
        if isinstance(publication_result, result.Success):
            state.published_by_trainer[name] = publication_result.unwrap()
        await _refresh_trainer(context, state, name)


async def _refresh_trainer(
    context: contexts.Context, state: batchstate.BatchesState, name: str
) -> None:
    rows_result = await context.ports.table.scan(f'ask/{name}/')
    if isinstance(rows_result, result.Failure):
        return
    rows = {json.loads(row.value)['step']: row for row in rows_result.unwrap()}
    steps = state.steps_by_trainer.setdefault(name, {})
    for step in list(steps):
        if step not in rows:
            del steps[step]
    for step in sorted(rows):
        if step not in steps:
            await _open_step(context, state, name, step, rows[step])


async def _open_step(
    context: contexts.Context,
    state: batchstate.BatchesState,
    name: str,
    step: int,
    row: tablerow.Row,
) -> None:
    ask_object = json.loads(row.value)['object']
    prompts = await _fetch_prompts(context, ask_object)
    if prompts is None:
        return
    size = context.configuration.trainers[name].group_size
    batch_state = batch.BatchState(name, step, len(prompts))
    open_step = batchstate.OpenStep(batch_state, ask_object, row.version, 0)
    steps = state.steps_by_trainer[name]
    if not steps and not await add_carried(context, state, open_step):
        return
    for index, prompt in enumerate(prompts):
        group_id = f'{name}/{step}/{index}'
        batch.add_group(batch_state, group_id, prompt, ask_object, size)
    steps[step] = open_step
    detail = f'{len(prompts)} groups'
    contexts.record_event(context, 'step-opened', f'{name}/{step}', detail)


async def add_carried(
    context: contexts.Context,
    state: batchstate.BatchesState,
    open_step: batchstate.OpenStep,
) -> bool:
    """Add groups carried over from an earlier step; False on failure."""
    batch_state = open_step.batch
    name = batch_state.trainer
    key = handover.get_keys(name, batch_state.step).carry
    row_result = await context.ports.table.get(key)
    if isinstance(row_result, result.Failure):
        return False
    row = row_result.unwrap()
    open_step.carry_version = row.version if row else tablerow.ABSENT
    carried_by_id = {
        group.id: group for group in state.carried_by_trainer.pop(name, [])
    }
    size = context.configuration.trainers[name].group_size
    for entry in json.loads(row.value) if row else []:
        if entry['id'] in carried_by_id:
            batch.adopt_group(batch_state, carried_by_id[entry['id']])
            continue
        prompts = await _fetch_prompts(context, entry['ask'])
        if prompts is None:
            return False
        index = int(entry['id'].rpartition('/')[2])
        prompt = prompts[index]
        batch.add_group(batch_state, entry['id'], prompt, entry['ask'], size)
    return True


async def _fetch_prompts(
    context: contexts.Context, ask_object: str
) -> list[str] | None:
    body_result = await context.ports.objects.get(ask_object)
    body = body_result.value_or(None)
    if body is None:
        return None
    return json.loads(body)['prompts']
