"""Build the batches of all trainers that share a pool."""

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
from ..training import batchstate
from ..training import delivery
from ..training import sampling
from ..training import stepreader

__all__ = ['run']

STEP_INTERVAL_MS = 100
REFRESH_INTERVAL_MS = 500


async def run(context: contexts.Context, name: str, pool_name: str) -> None:
    """Open steps, produce samples and hand batches over until cancelled."""
    state = batchstate.BatchesState(
        name, pool_name, fairness.FairnessState({})
    )
    context.duties.batches_by_name[name] = state
    refresh_task = contexts.spawn(
        context, _refresh_periodically(context, state)
    )
    try:
        while True:
            await _step(context, state)
            await _pause(state)
    finally:
        refresh_task.cancel()
        context.duties.batches_by_name.pop(name, None)
        for task in list(state.attempt_tasks.values()):
            task.cancel()


async def _refresh_periodically(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    while True:
        state.fairness.share_by_trainer = _get_shares(context, state.pool)
        await stepreader.refresh(context, state)
        state.wake.set()
        await context.duties.wake_batches.wait(REFRESH_INTERVAL_MS)


async def _pause(state: batchstate.BatchesState) -> None:
    try:
        async with asyncio.timeout(STEP_INTERVAL_MS / 1000):
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
    _start_waiting_samples(context, state)
    _race_slow_samples(context, state)
    for name in list(state.steps_by_trainer):
        await delivery.try_hand_over(context, state, name)


def _get_shares(context: contexts.Context, pool_name: str) -> dict[str, float]:
    return {
        name: trainer.share
        for name, trainer in context.configuration.trainers.items()
        if trainer.pool == pool_name
    }


def _start_waiting_samples(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    blocked: set[str] = set()
    while True:
        waiting_by_trainer = _find_waiting_samples(context, state, blocked)
        name = fairness.pick(state.fairness, set(waiting_by_trainer))
        if name is None:
            return
        open_step, sample_state = waiting_by_trainer[name]
        if not _start_attempt(
            context, state, open_step.batch, sample_state, frozenset()
        ):
            blocked.add(name)


def _find_waiting_samples(
    context: contexts.Context,
    state: batchstate.BatchesState,
    blocked: set[str],
) -> dict[str, tuple[batchstate.OpenStep, batch.SampleState]]:
    waiting_by_trainer = {}
    for name, steps in state.steps_by_trainer.items():
        if name in blocked or name not in state.published_by_trainer:
            continue
        for step in sorted(steps):
            sample_state = batch.find_next_sample(steps[step].batch)
            if sample_state is not None:
                waiting_by_trainer[name] = (steps[step], sample_state)
                break
    return waiting_by_trainer


def _race_slow_samples(
    context: contexts.Context, state: batchstate.BatchesState
) -> None:
    now_ms = context.ports.clock.now_ms()
    trainers = context.configuration.trainers
    for name, steps in state.steps_by_trainer.items():
        percent = trainers[name].race_percent if name in trainers else 0
        for open_step in steps.values():
            sample_state = straggler.find_sample_to_race(
                open_step.batch, percent, now_ms
            )
            if sample_state is None:
                continue
            slow_endpoints = frozenset(
                sample_state.endpoint_by_attempt.values()
            )
            if _start_attempt(
                context, state, open_step.batch, sample_state, slow_endpoints
            ):
                open_step.batch.races += 1
                contexts.record_event(
                    context, 'sample-raced', sample_state.id, ''
                )


def _start_attempt(
    context: contexts.Context,
    state: batchstate.BatchesState,
    batch_state: batch.BatchState,
    sample_state: batch.SampleState,
    avoid: frozenset[str],
) -> bool:
    prompt = batch_state.by_group[sample_state.group_id].prompt
    item = sampling.make_sample_work(
        context, batch_state.trainer, sample_state, prompt
    )
    if _is_quarantined(context, batch_state, sample_state, item.fingerprint):
        return False
    slot_request = reservation.SlotRequest(
        item.id,
        item.units,
        workclass.WorkClass.SAMPLE,
        item.prefix,
        avoid,
        _find_fresh_engines(context, state, batch_state.trainer),
    )
    pool_state = contexts.get_pool_state(context, state.pool)
    slot = reservation.reserve_slot(context, pool_state, slot_request)
    if slot is None:
        return False
    now_ms = context.ports.clock.now_ms()
    key = slot.candidate.endpoint.key
    batch.record_started(sample_state, item.id, key, now_ms)
    fairness.charge(state.fairness, batch_state.trainer, item.units)
    coroutine = sampling.make_sample(
        context, state, item, slot, sample_state.id, prompt
    )
    task = contexts.spawn(context, coroutine)
    state.attempt_tasks[item.id] = task
    task.add_done_callback(
        functools.partial(_finish_attempt, context, state, sample_state, item)
    )
    return True


def _finish_attempt(
    context: contexts.Context,
    state: batchstate.BatchesState,
    sample_state: batch.SampleState,
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
        batch.record_failed(sample_state, item.id)
        return
    now_ms = context.ports.clock.now_ms()
    attempts_to_cancel = batch.record_done(
        sample_state, item.id, result, now_ms
    )
    for attempt_id in attempts_to_cancel:
        if attempt_id in state.attempt_tasks:
            state.attempt_tasks[attempt_id].cancel()
    _settle_charge(state, item.service, item.units, result)
    context.metrics.samples.inc({'trainer': item.service})
    versions = ','.join(
        f'{segment.version}x{segment.tokens}' for segment in result.segments
    )
    detail = f'{result.endpoints[-1]} versions {versions}'
    contexts.record_event(context, 'sample-done', sample_state.id, detail)


def _settle_charge(
    state: batchstate.BatchesState,
    trainer: str,
    estimate: float,
    result: sample.Sample,
) -> None:
    tokens = sum(segment.tokens for segment in result.segments)
    fairness.charge(state.fairness, trainer, tokens - estimate)


def _is_quarantined(
    context: contexts.Context,
    batch_state: batch.BatchState,
    sample_state: batch.SampleState,
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
            for other in batch_state.by_group[sample_state.group_id].samples
        )
    batch.fail_group(batch_state, sample_state.group_id, str(reason.code))
    contexts.record_event(
        context, 'group-failed', sample_state.group_id, str(reason.code)
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
        engine.key
        for engine in usable
        if _get_version(context, engine.key, trainer.model) >= oldest
    )


def _get_version(context: contexts.Context, key: str, model: str) -> int:
    loaded = context.duties.loaded_by_endpoint.get(key, {})
    return loaded.get(model, generation.UNKNOWN_VERSION)
