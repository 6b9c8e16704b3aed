"""Find the steps that trainers have asked for."""

import json

from returns import result

from . import batchstate
from ..core import batch
from ..core import handover
from ..core import tablerow
from . import published
from ..running import context as contexts

__all__ = ['look']


async def look(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    """Refresh published versions and take in steps newly asked for."""
    async with state.lock:
        await _look(context, state)


async def _look(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    trainers = context.configuration.trainers
    for name in set(state.steps_by_trainer) - set(trainers):
        del state.steps_by_trainer[name]
    for name, trainer in trainers.items():
        if trainer.pool != state.pool:
            continue
        found = await published.fetch(context, name)
        if isinstance(found, result.Success):
            state.published_by_trainer[name] = found.unwrap()
        await _look_at_trainer(context, state, name)


async def _look_at_trainer(
    context: contexts.Context, state: batchstate.BatchesState, name: str
) -> None:
    found = await context.ports.table.scan(f'ask/{name}/')
    if isinstance(found, result.Failure):
        return
    rows = {json.loads(row.value)['step']: row for row in found.unwrap()}
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
    built = batch.BatchState(name, step, len(prompts))
    opened = batchstate.OpenStep(built, ask_object, row.version, 0)
    steps = state.steps_by_trainer[name]
    if not steps and not await add_carried(context, state, opened):
        return
    for index, prompt in enumerate(prompts):
        group_id = f'{name}/{step}/{index}'
        batch.add_group(built, group_id, prompt, ask_object, size)
    steps[step] = opened
    detail = f'{len(prompts)} groups'
    contexts.record_event(context, 'step-opened', f'{name}/{step}', detail)


async def add_carried(
    context: contexts.Context,
    state: batchstate.BatchesState,
    opened: batchstate.OpenStep,
) -> bool:
    """Add groups that an earlier step carried on; False without rows."""
    built = opened.batch
    name = built.trainer
    key = handover.get_keys(name, built.step).carry
    found = await context.ports.table.get(key)
    if isinstance(found, result.Failure):
        return False
    row = found.unwrap()
    opened.carry_version = row.version if row else tablerow.ABSENT
    kept = {one.id: one for one in state.carried_by_trainer.pop(name, [])}
    size = context.configuration.trainers[name].group_size
    for entry in json.loads(row.value) if row else []:
        if entry['id'] in kept:
            batch.adopt_group(built, kept[entry['id']])
            continue
        prompts = await _fetch_prompts(context, entry['ask'])
        if prompts is None:
            return False
        index = int(entry['id'].rpartition('/')[2])
        prompt = prompts[index]
        batch.add_group(built, entry['id'], prompt, entry['ask'], size)
    return True


async def _fetch_prompts(
    context: contexts.Context, ask_object: str
) -> list[str] | None:
    found = await context.ports.objects.get(ask_object)
    body = found.value_or(None)
    if body is None:
        return None
    return json.loads(body)['prompts']
