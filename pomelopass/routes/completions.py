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
    """Answer a completion, whole or as server-sent events."""
    is_chat = match['kind'] == 'chat/completions'
    read = completionrequest.read_request(request.body, is_chat)
    name = _find_service(context, read.model)
    model = context.configuration.services[name].model
    body = read.make_body()
    body['model'] = model
    item = callerwork.make_work(
        context,
        request,
        name,
        f'/v1/{match["kind"]}',
        orjson.dumps(body),
        f'{name}:{read.max_tokens}',
        read.get_prompt(),
        read.max_tokens,
    )
    if not item.repeatable:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.BAD_REQUEST,
                'A model service is repeatable. Leave X-Repeatable out.',
            )
        )
    contexts.record_event(context, 'request-began', item.id, name)
    if read.stream:
        return await _serve_stream(context, item)
    return await _serve_whole(context, item, is_chat)


def _find_service(context: contexts.Context, wanted: str) -> str:
    if context.configuration is not None:
        services = context.configuration.services
        if wanted in services and services[wanted].kind == 'model':
            return wanted
        for name, one in services.items():
            if one.kind == 'model' and one.model == wanted:
                return name
    callerwork.get_service(context, wanted, 'model')
    return wanted


async def _serve_whole(
    context: contexts.Context, item: work.Work, is_chat: bool
) -> message.Reply:
    texts = []
    versions = set()
    count = 0
    finish_reason = None
    pieces = _count(context, item)
    try:
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                texts.append(piece.text)
                versions.update(piece.versions)
                count += len(piece.versions)
                finish_reason = piece.finish_reason or finish_reason
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
        'usage': {'completion_tokens': count},
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
    pieces = _count(context, item)
    try:
        first = await anext(pieces, None)
    except generation.Answered as answered:
        return answered.reply
    chunks = _write_events(context, item, first, pieces)
    headers = (*SSE_HEADERS, ('x-request-id', item.id))
    return message.Reply(200, headers, chunks=chunks)


async def _write_events(
    context: contexts.Context,
    item: work.Work,
    first: generation.StreamChunk | None,
    pieces: abc.AsyncGenerator[generation.StreamChunk, None],
) -> abc.AsyncGenerator[bytes, None]:
    async with contextlib.aclosing(pieces):
        try:
            if first is not None:
                yield first.raw
            async for piece in pieces:
                yield piece.raw
        except (work.Refused, generation.Answered) as error:
            yield _make_error_event(error)
            raise _BrokenStreamError from error
        yield DONE_EVENT


async def _count(
    context: contexts.Context, item: work.Work
) -> abc.AsyncGenerator[generation.StreamChunk, None]:
    context.work_in_flight += 1
    outcome = problemdetails.get_verdict_name(verdict.Verdict.MAY_HAVE_RUN)
    pieces = generation.stream(context, item)
    try:
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                yield piece
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
