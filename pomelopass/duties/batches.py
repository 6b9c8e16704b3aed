"""Make the batches of all trainers that share a pool."""

import asyncio
import functools

from ..callers import generation
from ..callers import reservation
from ..callers import work
from ..core import batch
from ..core import fairness
from ..core import lease
from ..core import membership
from ..core import quarantine
from ..core import sample
from ..core import straggler
from ..core import workclass
from ..running import context as contexts
from ..training import askreader
from ..training import batchstate
from ..training import delivery
from ..training import sampling

__all__ = ['run']

STEP_EVERY_MS = 100
LOOK_EVERY_MS = 500


async def run(context: contexts.Context, name: str, pool_name: str) -> None:
    """Open steps, make their samples and hand batches over, for ever."""
    state = batchstate.BatchesState(
        name, pool_name, fairness.FairnessState({})
    )
    context.duties.batches_by_name[name] = state
    looking = contexts.spawn(context, _keep_looking(context, state))
    try:
        while True:
            await _step(context, state)
            await _pause(state)
    finally:
        looking.cancel()
        context.duties.batches_by_name.pop(name, None)
        for task in list(state.attempt_tasks.values()):
            task.cancel()


async def _keep_looking(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    while True:
        state.fairness.share_by_trainer = _get_shares(context, state.pool)
        await askreader.look(context, state)
        state.wake.set()
        await context.duties.wake_batches.wait(LOOK_EVERY_MS)


async def _pause(state: batchstate.BatchesState) -> None:
    try:
        async with asyncio.timeout(STEP_EVERY_MS / 1000):
            await state.wake.wait()
    except TimeoutError:
        pass
    state.wake.clear()


async def _step(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    now_ms = context.ports.clock.now_ms()
    if not lease.may_act(context.duties.lease_by_name[state.duty], now_ms):
        return
    _fill(context, state)
    _race(context, state)
    for name in list(state.steps_by_trainer):
        await delivery.try_hand_over(context, state, name)


def _get_shares(context: contexts.Context, pool_name: str) -> dict[str, float]:
    return {
        name: trainer.share
        for name, trainer in context.configuration.trainers.items()
        if trainer.pool == pool_name
    }


def _fill(context: contexts.Context, state: batchstate.BatchesState) -> None:
    blocked: set[str] = set()
    while True:
        waiting = _find_waiting(context, state, blocked)
        name = fairness.pick(state.fairness, set(waiting))
        if name is None:
            return
        opened, one = waiting[name]
        if not _start(context, state, opened.batch, one, frozenset()):
            blocked.add(name)


def _find_waiting(
    context: contexts.Context,
    state: batchstate.BatchesState,
    blocked: set[str],
) -> dict[str, tuple[batchstate.OpenStep, batch.SampleState]]:
    found = {}
    for name, steps in state.steps_by_trainer.items():
        if name in blocked or name not in state.published_by_trainer:
            continue
        for step in sorted(steps):
            one = batch.find_next_sample(steps[step].batch)
            if one is not None:
                found[name] = (steps[step], one)
                break
    return found


def _race(context: contexts.Context, state: batchstate.BatchesState) -> None:
    now_ms = context.ports.clock.now_ms()
    trainers = context.configuration.trainers
    for name, steps in state.steps_by_trainer.items():
        percent = trainers[name].race_percent if name in trainers else 0
        for opened in steps.values():
            one = straggler.find_sample_to_race(opened.batch, percent, now_ms)
            if one is None:
                continue
            slow = frozenset(one.endpoint_by_attempt.values())
            if _start(context, state, opened.batch, one, slow):
                opened.batch.races += 1
                contexts.record_event(context, 'sample-raced', one.id, '')


def _start(
    context: contexts.Context,
    state: batchstate.BatchesState,
    built: batch.BatchState,
    one: batch.SampleState,
    avoid: frozenset[str],
) -> bool:
    prompt = built.by_group[one.group_id].prompt
    item = sampling.make_sample_work(context, built.trainer, one, prompt)
    if _is_quarantined(context, built, one, item.fingerprint):
        return False
    slot_request = reservation.SlotRequest(
        item.id,
        item.units,
        workclass.WorkClass.SAMPLE,
        item.prefix,
        avoid,
        _find_fresh_engines(context, state, built.trainer),
    )
    pool_state = contexts.get_pool_state(context, state.pool)
    slot = reservation.reserve_slot(context, pool_state, slot_request)
    if slot is None:
        return False
    now_ms = context.ports.clock.now_ms()
    key = slot.candidate.endpoint.key
    batch.record_started(one, item.id, key, now_ms)
    fairness.charge(state.fairness, built.trainer, item.units)
    make = sampling.make_sample(context, state, item, slot, one.id, prompt)
    task = contexts.spawn(context, make)
    state.attempt_tasks[item.id] = task
    task.add_done_callback(functools.partial(_end, context, state, one, item))
    return True


def _end(
    context: contexts.Context,
    state: batchstate.BatchesState,
    one: batch.SampleState,
    item: work.Work,
    task: asyncio.Task,
) -> None:
    state.attempt_tasks.pop(item.id, None)
    state.wake.set()
    result = None
    if not task.cancelled() and task.exception() is None:
        result = task.result()
    if result is None:
        fairness.charge(state.fairness, item.service, -item.units)
        batch.record_failed(one, item.id)
        return
    now_ms = context.ports.clock.now_ms()
    losers = batch.record_done(one, item.id, result, now_ms)
    for loser in losers:
        if loser in state.attempt_tasks:
            state.attempt_tasks[loser].cancel()
    _settle_charge(state, item.service, item.units, result)
    context.metrics.samples.inc({'trainer': item.service})
    versions = ','.join(
        f'{part.version}x{part.tokens}' for part in result.segments
    )
    detail = f'{result.endpoints[-1]} versions {versions}'
    contexts.record_event(context, 'sample-done', one.id, detail)


def _settle_charge(
    state: batchstate.BatchesState,
    trainer: str,
    estimate: float,
    result: sample.Sample,
) -> None:
    tokens = sum(part.tokens for part in result.segments)
    fairness.charge(state.fairness, trainer, tokens - estimate)


def _is_quarantined(
    context: contexts.Context,
    built: batch.BatchState,
    one: batch.SampleState,
    fingerprint: str,
) -> bool:
    now_ms = context.ports.clock.now_ms()
    reason = quarantine.check(context.quarantine, fingerprint, now_ms)
    if reason is None:
        return False
    suspect = context.quarantine.by_fingerprint[fingerprint]
    if suspect.crashes < quarantine.CRASHES_TO_QUARANTINE:
        return any(
            other.started_ms_by_attempt
            for other in built.by_group[one.group_id].samples
        )
    batch.fail_group(built, one.group_id, str(reason.code))
    contexts.record_event(
        context, 'group-failed', one.group_id, str(reason.code)
    )
    return True


def _find_fresh_engines(
    context: contexts.Context,
    state: batchstate.BatchesState,
    trainer_name: str,
) -> frozenset[str]:
    trainer = context.configuration.trainers[trainer_name]
    newest = state.published_by_trainer[trainer_name].target.version
    oldest = newest - trainer.max_staleness_versions
    usable = membership.find_usable(context.membership, state.pool)
    return frozenset(
        one.key
        for one in usable
        if _get_version(context, one.key, trainer.model) >= oldest
    )


def _get_version(context: contexts.Context, key: str, model: str) -> int:
    loaded = context.duties.loaded_by_endpoint.get(key, {})
    return loaded.get(model, generation.UNKNOWN_VERSION)
