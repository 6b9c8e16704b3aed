"""Make one sample: generate it, then have it scored."""

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
    one: batch.SampleState,
    prompt: str,
) -> work.Work:
    """Return the work that generates a sample."""
    trainer = context.configuration.trainers[trainer_name]
    body = {
        'model': trainer.model,
        'prompt': prompt,
        'max_tokens': trainer.max_tokens,
        'seed': one.index,
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
    built = sample.Sample(sample_id, item.attempt_id, '', [], 0.0, [])
    built.endpoints.append(slot.candidate.endpoint.key)
    try:
        await _generate(context, item, slot, built)
        state.wake.set()
        built.score = await _score(context, item, built, prompt)
    except message.ExchangeError as error:
        await _judge(context, item, slot, error)
        return None
    except (work.Refused, generation.Answered) as error:
        contexts.record_event(context, 'sample-failed', sample_id, str(error))
        return None
    versions = [part.version for part in built.segments]
    if not versions or generation.UNKNOWN_VERSION in versions:
        contexts.record_event(
            context, 'sample-failed', sample_id, 'no weight version'
        )
        return None
    return built


async def _generate(
    context: contexts.Context,
    item: work.Work,
    slot: work.Slot,
    built: sample.Sample,
) -> None:
    texts = []
    pieces = generation.stream_attempt(context, item, slot, '')
    async with contextlib.aclosing(pieces):
        async for piece in pieces:
            texts.append(piece.text)
            for version in piece.versions:
                sample.add_tokens(built.segments, version)
    built.text = ''.join(texts)


async def _score(
    context: contexts.Context,
    item: work.Work,
    built: sample.Sample,
    prompt: str,
) -> float:
    trainer = context.configuration.trainers[item.service]
    body = {'id': built.id, 'prompt': prompt, 'text': built.text}
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


async def _judge(
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
