"""Serve completions as OpenAI-compatible clients expect them."""

from collections import abc
import contextlib
import re

import orjson

from .. import message
from ..callers import callerwork
from ..callers import completionrequest
from ..callers import generation
from ..callers import work
from ..core import refusal
from ..core import verdict
from ..reporting import problemdetails
from ..running import context as contexts

__all__ = ['ROUTES']

SSE_HEADERS = (
    ('content-type', 'text/event-stream'),
    ('cache-control', 'no-store'),
)
DONE_EVENT = b'data: [DONE]\n\n'


class _BrokenStreamError(ConnectionError):
    pass


async def serve_completion(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return a completion in one reply or as server-sent events."""
    is_chat = match['kind'] == 'chat/completions'
    completion_request = completionrequest.read_request(request.body, is_chat)
    service_name = _find_service(context, completion_request.model)
    model = context.configuration.services[service_name].model
    body = completion_request.make_body()
    body['model'] = model
    item = callerwork.make_work(
        context,
        request,
        service_name,
        f'/v1/{match["kind"]}',
        orjson.dumps(body),
        f'{service_name}:{completion_request.max_tokens}',
        completion_request.get_prompt(),
        completion_request.max_tokens,
    )
    if not item.repeatable:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.BAD_REQUEST,
                'A model service is repeatable. Leave X-Repeatable out.',
            )
        )
    contexts.record_event(context, 'request-began', item.id, service_name)
    if completion_request.stream:
        return await _serve_stream(context, item)
    return await _serve_complete(context, item, is_chat)


def _find_service(context: contexts.Context, model_name: str) -> str:
    if context.configuration is not None:
        services = context.configuration.services
        if model_name in services and services[model_name].kind == 'model':
            return model_name
        for name, model_service in services.items():
            if (
                model_service.kind == 'model'
                and model_service.model == model_name
            ):
                return name
    callerwork.get_service(context, model_name, 'model')
    return model_name


async def _serve_complete(
    context: contexts.Context, item: work.Work, is_chat: bool
) -> message.Reply:
    texts = []
    versions = set()
    token_count = 0
    finish_reason = None
    stream_chunks = _stream_tracked(context, item)
    try:
        async with contextlib.aclosing(stream_chunks):
            async for chunk in stream_chunks:
                texts.append(chunk.text)
                versions.update(chunk.versions)
                token_count += len(chunk.versions)
                finish_reason = chunk.finish_reason or finish_reason
    except generation.Answered as answered:
        return answered.reply
    text = ''.join(texts)
    choice: dict = {'index': 0, 'finish_reason': finish_reason}
    if is_chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    body = {
        'id': item.id,
        'object': 'chat.completion' if is_chat else 'text_completion',
        'model': item.service,
        'choices': [choice],
        'usage': {'completion_tokens': token_count},
        'weight_versions': sorted(versions - {generation.UNKNOWN_VERSION}),
    }
    headers = (
        ('content-type', 'application/json'),
        ('x-request-id', item.id),
        ('pomelopass-verdict', 'ran'),
    )
    return message.Reply(200, headers, orjson.dumps(body))


async def _serve_stream(
    context: contexts.Context, item: work.Work
) -> message.Reply:
    stream_chunks = _stream_tracked(context, item)
    try:
        first_chunk = await anext(stream_chunks, None)
    except generation.Answered as answered:
        return answered.reply
    chunks = _generate_events(context, item, first_chunk, stream_chunks)
    headers = (*SSE_HEADERS, ('x-request-id', item.id))
    return message.Reply(200, headers, chunks=chunks)


async def _generate_events(
    context: contexts.Context,
    item: work.Work,
    first_chunk: generation.StreamChunk | None,
    stream_chunks: abc.AsyncGenerator[generation.StreamChunk, None],
) -> abc.AsyncGenerator[bytes, None]:
    async with contextlib.aclosing(stream_chunks):
        try:
            if first_chunk is not None:
                yield first_chunk.raw
            async for chunk in stream_chunks:
                yield chunk.raw
        except (work.Refused, generation.Answered) as error:
            yield _make_error_event(error)
            raise _BrokenStreamError from error
        yield DONE_EVENT


async def _stream_tracked(
    context: contexts.Context, item: work.Work
) -> abc.AsyncGenerator[generation.StreamChunk, None]:
    context.work_in_flight += 1
    outcome = problemdetails.get_verdict_name(verdict.Verdict.MAY_HAVE_RUN)
    stream_chunks = generation.stream(context, item)
    try:
        async with contextlib.aclosing(stream_chunks):
            async for chunk in stream_chunks:
                yield chunk
        outcome = 'ran'
    except work.Refused as refused:
        outcome = problemdetails.get_verdict_name(refused.reason.verdict)
        raise
    finally:
        context.work_in_flight -= 1
        callerwork.record_end(context, item, outcome)


def _make_error_event(error: Exception) -> bytes:
    reason = refusal.Refusal(
        refusal.Code.ENDPOINT_FAILED,
        'The engine did not finish.',
        verdict.Verdict.MAY_HAVE_RUN,
    )
    if isinstance(error, work.Refused):
        reason = error.reason
    body = {
        'error': {
            'code': str(reason.code),
            'message': reason.detail,
            'verdict': problemdetails.get_verdict_name(reason.verdict),
        }
    }
    return b'data: ' + orjson.dumps(body) + b'\n\n'


ROUTES = (
    (
        ('POST',),
        r'/v1/(?P<kind>completions|chat/completions)',
        serve_completion,
    ),
)
