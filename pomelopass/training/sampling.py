"""Produce a sample: generate its text, then have it scored."""

import contextlib
import json

import orjson

from .. import message
from . import batchstate
from ..callers import callerwork
from ..callers import crash
from ..callers import dispatch
from ..callers import generation
from ..callers import work
from ..core import affinity
from ..core import batch
from ..core import sample
from ..core import verdict
from ..running import context as contexts

__all__ = ['make_sample', 'make_sample_work']

PRIORITY = 8


def make_sample_work(
    context: contexts.Context,
    trainer_name: str,
    sample_state: batch.SampleState,
    prompt: str,
) -> work.Work:
    """Return the work item that generates a sample."""
    trainer = context.configuration.trainers[trainer_name]
    body = {
        'model': trainer.model,
        'prompt': prompt,
        'max_tokens': trainer.max_tokens,
        'seed': sample_state.index,
        'stream': True,
    }
    now_ms = context.ports.clock.now_ms()
    text = orjson.dumps(body)
    content = orjson.dumps([trainer.model, prompt])
    return work.Work(
        id=contexts.make_id(context),
        service=trainer_name,
        pool=trainer.pool,
        caller=trainer_name,
        target='/v1/completions',
        method='POST',
        headers=(('content-type', 'application/json'),),
        body=text,
        repeatable=True,
        is_retry=False,
        priority=PRIORITY,
        deadline_ms=now_ms + trainer.sample_timeout_ms,
        fingerprint=callerwork.get_fingerprint(
            trainer_name, 'POST', '/v1/completions', content
        ),
        shape=f'sample:{trainer_name}',
        prefix=affinity.get_prefix(prompt),
        units=float(trainer.max_tokens),
    )


async def make_sample(
    context: contexts.Context,
    state: batchstate.BatchesState,
    item: work.Work,
    slot: work.Slot,
    sample_id: str,
    prompt: str,
) -> sample.Sample | None:
    """Return a scored sample, or None when the attempt failed."""
    new_sample = sample.Sample(sample_id, item.attempt_id, '', [], 0.0, [])
    new_sample.endpoints.append(slot.candidate.endpoint.key)
    try:
        await _generate(context, item, slot, new_sample)
        state.wake.set()
        new_sample.score = await _score(context, item, new_sample, prompt)
    except message.ExchangeError as error:
        await _handle_failure(context, item, slot, error)
        return None
    except (work.Refused, generation.Answered) as error:
        contexts.record_event(context, 'sample-failed', sample_id, str(error))
        return None
    versions = [segment.version for segment in new_sample.segments]
    if not versions or generation.UNKNOWN_VERSION in versions:
        contexts.record_event(
            context, 'sample-failed', sample_id, 'no weight version'
        )
        return None
    return new_sample


async def _generate(
    context: contexts.Context,
    item: work.Work,
    slot: work.Slot,
    new_sample: sample.Sample,
) -> None:
    texts = []
    stream_chunks = generation.stream_attempt(context, item, slot, '')
    async with contextlib.aclosing(stream_chunks):
        async for stream_chunk in stream_chunks:
            texts.append(stream_chunk.text)
            for version in stream_chunk.versions:
                sample.add_tokens(new_sample.segments, version)
    new_sample.text = ''.join(texts)


async def _score(
    context: contexts.Context,
    item: work.Work,
    new_sample: sample.Sample,
    prompt: str,
) -> float:
    trainer = context.configuration.trainers[item.service]
    body = {'id': new_sample.id, 'prompt': prompt, 'text': new_sample.text}
    request = message.Request(
        'POST',
        '/score',
        (('content-type', 'application/json'), ('x-caller', item.service)),
        json.dumps(body).encode(),
    )
    call = callerwork.make_work(
        context,
        request,
        trainer.scorer,
        '/score',
        request.body,
        'score',
        '',
        None,
    )
    reply = await dispatch.run_plain(context, call)
    if reply.status != 200:
        raise message.ExchangeError('status', 0)
    try:
        return float(json.loads(reply.body)['score'])
    except (ValueError, LookupError, TypeError):
        raise message.ExchangeError('bad-score', 0) from None


async def _handle_failure(
    context: contexts.Context,
    item: work.Work,
    slot: work.Slot,
    error: message.ExchangeError,
) -> None:
    outcome = verdict.get_attempt_verdict(error.bytes_written, False)
    detail = f'{slot.candidate.endpoint.key} {error.kind} {outcome.name}'
    contexts.record_event(context, 'attempt-failed', item.id, detail)
    with contextlib.suppress(work.Refused):
        await crash.handle_failure(context, item, slot, error)
