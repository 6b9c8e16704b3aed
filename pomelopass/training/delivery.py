"""Hand finished batches over to their trainers."""

import dataclasses
import json

from returns import result

from . import batchstate
from ..core import batch
from ..core import handover
from ..core import lease
from ..core import publication
from ..core import sample
from . import published
from ..running import context as contexts
from ..running import gossip
from . import stepreader

__all__ = ['try_hand_over']


async def try_hand_over(
    context: contexts.Context,
    state: batchstate.BatchesState,
    name: str,
) -> None:
    """Hand over the lowest open step when enough groups are complete."""
    steps = state.steps_by_trainer.get(name)
    trainer = context.configuration.trainers.get(name)
    latest_publication = state.published_by_trainer.get(name)
    if not steps or trainer is None or latest_publication is None:
        return
    open_step = steps[min(steps)]
    if _select(open_step, trainer, latest_publication):
        async with state.lock:
            await _hand_over(context, state, name, open_step)


async def _hand_over(
    context: contexts.Context,
    state: batchstate.BatchesState,
    name: str,
    open_step: batchstate.OpenStep,
) -> None:
    trainer = context.configuration.trainers[name]
    if open_step.batch.step not in state.steps_by_trainer[name]:
        return
    # Read the published version again, so that the groups are selected for
    # the version that the transaction requires.
    publication_result = await published.fetch(context, name)
    if isinstance(publication_result, result.Failure):
        return
    latest_publication = state.published_by_trainer[name] = (
        publication_result.unwrap()
    )
    selection = _select(open_step, trainer, latest_publication)
    if selection is None:
        return
    if await _commit(context, state, open_step, selection, latest_publication):
        await _advance(context, state, open_step, selection)


def _select(
    open_step: batchstate.OpenStep,
    trainer,
    latest_publication: publication.Publication,
) -> handover.HandOver | None:
    oldest = latest_publication.target.version - trainer.max_staleness_versions
    return handover.select(open_step.batch, oldest, trainer.hand_over_percent)


async def _commit(
    context: contexts.Context,
    state: batchstate.BatchesState,
    open_step: batchstate.OpenStep,
    selection: handover.HandOver,
    latest_publication: publication.Publication,
) -> bool:
    batch_state = open_step.batch
    token = contexts.make_id(context)
    object_key = f'batches/{batch_state.trainer}/{batch_state.step}/{token}'
    body = _make_body(batch_state, selection, latest_publication).encode()
    put_result = await context.ports.objects.put(object_key, body)
    if isinstance(put_result, result.Failure):
        return False
    rows = handover.Rows(
        fence_key=f'fence/{state.duty}',
        fence_version=context.duties.fence_version_by_name[state.duty],
        ask_version=open_step.ask_version,
        carry_version=open_step.carry_version,
        published_version=latest_publication.row_version,
    )
    value = json.dumps(
        {'object': object_key, 'ask': open_step.ask_object, 'token': token}
    )
    transaction = handover.make_transaction(
        batch_state, rows, value, _make_carry(selection)
    )
    now_ms = context.ports.clock.now_ms()
    if not lease.may_act(context.duties.lease_by_name[state.duty], now_ms):
        return False
    answer = await context.ports.table.transact(transaction)
    if isinstance(answer, result.Success) and answer.unwrap() is None:
        return True
    return await _was_committed(context, batch_state, token)


async def _was_committed(
    context: contexts.Context, batch_state: batch.BatchState, token: str
) -> bool:
    keys = handover.get_keys(batch_state.trainer, batch_state.step)
    row_result = await context.ports.table.get(keys.batch)
    row = row_result.value_or(None)
    return row is not None and json.loads(row.value)['token'] == token


async def _advance(
    context: contexts.Context,
    state: batchstate.BatchesState,
    open_step: batchstate.OpenStep,
    selection: handover.HandOver,
) -> None:
    batch_state = open_step.batch
    steps = state.steps_by_trainer[batch_state.trainer]
    steps.pop(batch_state.step, None)
    state.carried_by_trainer[batch_state.trainer] = selection.carried
    context.metrics.batches.inc({'trainer': batch_state.trainer})
    _record_thrown_away(context, batch_state)
    subject = f'{batch_state.trainer}/{batch_state.step}'
    await gossip.announce(context, gossip.BATCH_KIND, subject)
    versions = handover.get_versions(selection.groups)
    detail = (
        f'{len(selection.groups)} groups, {len(selection.carried)} carried, '
        f'versions {versions}, {batch_state.thrown_away} samples thrown away'
    )
    contexts.record_event(context, 'batch-handed-over', subject, detail)
    if steps:
        next_step = steps[min(steps)]
        if not await stepreader.add_carried(context, state, next_step):
            steps.pop(next_step.batch.step)


def _record_thrown_away(
    context: contexts.Context, batch_state: batch.BatchState
) -> None:
    if batch_state.thrown_away:
        subject = f'{batch_state.trainer}/{batch_state.step}'
        count = str(batch_state.thrown_away)
        contexts.record_event(context, 'samples-thrown-away', subject, count)


def _make_carry(selection: handover.HandOver) -> str | None:
    if not selection.carried:
        return None
    entries = [
        {'id': group.id, 'ask': group.ask_object}
        for group in selection.carried
    ]
    return json.dumps(entries)


def _make_body(
    batch_state: batch.BatchState,
    selection: handover.HandOver,
    latest_publication: publication.Publication,
) -> str:
    body = {
        'trainer': batch_state.trainer,
        'step': batch_state.step,
        'published_version': latest_publication.target.version,
        'groups': [_make_group(group) for group in selection.groups],
        'carried_groups': [group.id for group in selection.carried],
        'failed_groups': [
            {'id': group.id, 'code': group.failure}
            for group in selection.failed
        ],
    }
    return json.dumps(body)


def _make_group(group: batch.GroupState) -> dict[str, object]:
    return {
        'id': group.id,
        'prompt': group.prompt,
        'samples': [
            _make_sample(sample_state.result) for sample_state in group.samples
        ],
    }


def _make_sample(scored_sample: sample.Sample) -> dict[str, object]:
    value = dataclasses.asdict(scored_sample)
    value['weight_versions'] = sorted(
        {segment.version for segment in scored_sample.segments}
    )
    return value
