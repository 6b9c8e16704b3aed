"""Hand finished batches over to their trainers."""

import dataclasses
import json

from returns import result

from . import askreader
from . import batchstate
from ..core import batch
from ..core import handover
from ..core import lease
from ..core import publication
from ..core import sample
from . import published
from ..running import context as contexts
from ..running import gossip

__all__ = ['try_hand_over']


async def try_hand_over(
    context: contexts.Context,
    state: batchstate.BatchesState,
    name: str,
) -> None:
    """Hand over the lowest open step when enough groups are whole."""
    steps = state.steps_by_trainer.get(name)
    trainer = context.configuration.trainers.get(name)
    known = state.published_by_trainer.get(name)
    if not steps or trainer is None or known is None:
        return
    opened = steps[min(steps)]
    if _select(opened, trainer, known):
        async with state.lock:
            await _hand_over(context, state, name, opened)


async def _hand_over(
    context: contexts.Context,
    state: batchstate.BatchesState,
    name: str,
    opened: batchstate.OpenStep,
) -> None:
    trainer = context.configuration.trainers[name]
    if opened.batch.step not in state.steps_by_trainer[name]:
        return
    # The published version is read again, so that the choice is made for
    # the version that the transaction then requires.
    found = await published.fetch(context, name)
    if isinstance(found, result.Failure):
        return
    known = state.published_by_trainer[name] = found.unwrap()
    chosen = _select(opened, trainer, known)
    if chosen is None:
        return
    if await _commit(context, state, opened, chosen, known):
        await _move_on(context, state, opened, chosen)


def _select(
    opened: batchstate.OpenStep, trainer, known: publication.Publication
) -> handover.HandOver | None:
    oldest = known.target.version - trainer.max_staleness_versions
    return handover.select(opened.batch, oldest, trainer.hand_over_percent)


async def _commit(
    context: contexts.Context,
    state: batchstate.BatchesState,
    opened: batchstate.OpenStep,
    chosen: handover.HandOver,
    known: publication.Publication,
) -> bool:
    built = opened.batch
    token = contexts.make_id(context)
    object_key = f'batches/{built.trainer}/{built.step}/{token}'
    body = _make_body(built, chosen, known).encode()
    kept = await context.ports.objects.put(object_key, body)
    if isinstance(kept, result.Failure):
        return False
    rows = handover.Rows(
        fence_key=f'fence/{state.duty}',
        fence_version=context.duties.fence_version_by_name[state.duty],
        ask_version=opened.ask_version,
        carry_version=opened.carry_version,
        published_version=known.row_version,
    )
    value = json.dumps(
        {'object': object_key, 'ask': opened.ask_object, 'token': token}
    )
    transaction = handover.make_transaction(
        built, rows, value, _make_carry(chosen)
    )
    now_ms = context.ports.clock.now_ms()
    if not lease.may_act(context.duties.lease_by_name[state.duty], now_ms):
        return False
    answer = await context.ports.table.transact(transaction)
    if isinstance(answer, result.Success) and answer.unwrap() is None:
        return True
    return await _was_committed(context, built, token)


async def _was_committed(
    context: contexts.Context, built: batch.BatchState, token: str
) -> bool:
    keys = handover.get_keys(built.trainer, built.step)
    found = await context.ports.table.get(keys.batch)
    row = found.value_or(None)
    return row is not None and json.loads(row.value)['token'] == token


async def _move_on(
    context: contexts.Context,
    state: batchstate.BatchesState,
    opened: batchstate.OpenStep,
    chosen: handover.HandOver,
) -> None:
    built = opened.batch
    steps = state.steps_by_trainer[built.trainer]
    steps.pop(built.step, None)
    state.carried_by_trainer[built.trainer] = chosen.carried
    context.metrics.batches.inc({'trainer': built.trainer})
    _note_thrown(context, built)
    subject = f'{built.trainer}/{built.step}'
    await gossip.announce(context, gossip.BATCH_KIND, subject)
    versions = handover.get_versions(chosen.groups)
    detail = (
        f'{len(chosen.groups)} groups, {len(chosen.carried)} carried, '
        f'versions {versions}, {built.thrown_away} samples thrown away'
    )
    contexts.record_event(context, 'batch-handed-over', subject, detail)
    if steps:
        following = steps[min(steps)]
        if not await askreader.add_carried(context, state, following):
            steps.pop(following.batch.step)


def _note_thrown(context: contexts.Context, built: batch.BatchState) -> None:
    if built.thrown_away:
        subject = f'{built.trainer}/{built.step}'
        count = str(built.thrown_away)
        contexts.record_event(context, 'samples-thrown-away', subject, count)


def _make_carry(chosen: handover.HandOver) -> str | None:
    if not chosen.carried:
        return None
    entries = [
        {'id': group.id, 'ask': group.ask_object} for group in chosen.carried
    ]
    return json.dumps(entries)


def _make_body(
    built: batch.BatchState,
    chosen: handover.HandOver,
    known: publication.Publication,
) -> str:
    body = {
        'trainer': built.trainer,
        'step': built.step,
        'published_version': known.target.version,
        'groups': [_make_group(group) for group in chosen.groups],
        'carried_groups': [group.id for group in chosen.carried],
        'failed_groups': [
            {'id': group.id, 'code': group.failure} for group in chosen.failed
        ],
    }
    return json.dumps(body)


def _make_group(group: batch.GroupState) -> dict[str, object]:
    return {
        'id': group.id,
        'prompt': group.prompt,
        'samples': [_make_sample(one.result) for one in group.samples],
    }


def _make_sample(one: sample.Sample) -> dict[str, object]:
    value = dataclasses.asdict(one)
    value['weight_versions'] = sorted({part.version for part in one.segments})
    return value
