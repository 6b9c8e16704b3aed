"""Stream tokens from engines; resume on another one after a failure."""

from collections import abc
import contextlib
import dataclasses

import orjson

from .. import message
from . import claimflow
from ..core import attemptend
from ..core import length
from ..core import verdict
from . import crash
from . import dispatch
from ..running import context as contexts
from . import slots
from . import work

__all__ = ['Answered', 'StreamChunk', 'stream', 'stream_attempt']

EVENT_END = b'\n\n'
EVENT_START = b'data: '
DONE = b'[DONE]'
MAX_EVENT_BYTES = 1_048_576
UNKNOWN_VERSION = -1


@dataclasses.dataclass(frozen=True, slots=True)
class StreamChunk:
    """Events received together, with their text and weight versions."""

    raw: bytes
    text: str
    versions: tuple[int, ...]
    finish_reason: str | None


class Answered(Exception):  # noqa: N818
    """The reply of an engine that rejects the request itself."""

    def __init__(self, reply: message.Reply):
        super().__init__(str(reply.status))
        self.reply = reply


async def stream(
    context: contexts.Context, item: work.Work
) -> abc.AsyncGenerator[StreamChunk, None]:
    """Yield a completion with retries as needed; raise Refused."""
    crash.check_quarantine(context, item)
    slot = await slots.acquire(context, item)
    dispatch.record_first_attempt(context, item)
    pool = context.configuration.pools[item.pool]
    texts: list[str] = []
    try:
        while True:
            stream_chunks = stream_attempt(context, item, slot, ''.join(texts))
            try:
                async with contextlib.aclosing(stream_chunks):
                    async for stream_chunk in stream_chunks:
                        texts.append(stream_chunk.text)
                        yield stream_chunk
                return
            except message.ExchangeError as error:
                cannot_resume = bool(texts) and not pool.resumes
                slot = await dispatch.prepare_retry(
                    context, item, slot, error, cannot_resume
                )
    finally:
        slots.finish(context, item)


async def stream_attempt(
    context: contexts.Context,
    item: work.Work,
    slot: work.Slot,
    resume_text: str,
) -> abc.AsyncGenerator[StreamChunk, None]:
    """Yield the chunks of one attempt; raise ExchangeError, Answered."""
    state = contexts.get_pool_state(context, item.pool)
    endpoint = slot.candidate.endpoint
    count = 0
    end = attemptend.AttemptEnd.CANCELLED
    try:
        claimflow.mark_dispatched(context, item)
        contexts.record_event(context, 'dispatched', item.id, endpoint.key)
        reply = await _open(context, item, endpoint.address, resume_text)
        async with contextlib.aclosing(reply.chunks):
            async for stream_chunk in _read_chunks(item, reply):
                count += len(stream_chunk.versions)
                yield stream_chunk
        end = attemptend.AttemptEnd.SUCCEEDED
    except message.ExchangeError:
        end = attemptend.AttemptEnd.FAILED
        raise
    finally:
        succeeded = end == attemptend.AttemptEnd.SUCCEEDED
        units = float(max(count, 1)) if succeeded else item.units
        slots.release(context, state, slot, units, end)
    length.record_length(state.lengths, item.shape, count)
    crash.record_success(context, item)
    item.verdicts.append(verdict.Verdict.RAN)


async def _open(
    context: contexts.Context,
    item: work.Work,
    address: str,
    resume_text: str,
) -> message.OpenReply:
    body = item.body
    if resume_text:
        value = orjson.loads(body)
        value['resume_text'] = resume_text
        body = orjson.dumps(value)
    request = dispatch.make_endpoint_request(context, item, body)
    remaining_ms = item.deadline_ms - context.ports.clock.now_ms()
    reply = await context.ports.http.open(
        address, request, remaining_ms, fresh=not item.repeatable
    )
    if reply.status == 200:
        return reply
    data = await reply.read(context.settings.max_body_bytes)
    if reply.status >= 500:
        raise message.ExchangeError('status', reply.bytes_written)
    headers = tuple(
        pair for pair in reply.headers if pair[0] == 'content-type'
    )
    raise Answered(message.Reply(reply.status, headers, data))


async def _read_chunks(
    item: work.Work, reply: message.OpenReply
) -> abc.AsyncGenerator[StreamChunk, None]:
    attempt_id = item.attempt_id
    old_id = attempt_id.encode()
    new_id = item.id.encode()
    rest = b''
    is_complete = False
    async for chunk in reply.chunks:
        complete_events, separator, rest = (rest + chunk).rpartition(EVENT_END)
        if len(rest) > MAX_EVENT_BYTES:
            raise message.ExchangeError('truncated', reply.bytes_written)
        if not separator:
            continue
        events = complete_events.split(EVENT_END)
        if events[-1] == EVENT_START + DONE:
            events.pop()
            is_complete = True
        if events:
            raw = EVENT_END.join(events).replace(old_id, new_id)
            yield _make_chunk(events, raw + EVENT_END, attempt_id, reply)
    if not is_complete or rest:
        raise message.ExchangeError('truncated', reply.bytes_written)


def _make_chunk(
    events: list[bytes],
    raw: bytes,
    attempt_id: str,
    reply: message.OpenReply,
) -> StreamChunk:
    texts = []
    versions = []
    finish_reason = None
    for event in events:
        try:
            value = orjson.loads(event.removeprefix(EVENT_START))
            choice = value['choices'][0]
        except (ValueError, LookupError, TypeError):
            raise message.ExchangeError(
                'truncated', reply.bytes_written
            ) from None
        if value.get('id') != attempt_id:
            raise message.ExchangeError('mismatched', reply.bytes_written)
        text = choice.get('text')
        if text is None:
            text = choice.get('delta', {}).get('content', '')
        if text:
            texts.append(text)
            versions.append(value.get('weight_version', UNKNOWN_VERSION))
        finish_reason = choice.get('finish_reason') or finish_reason
    return StreamChunk(raw, ''.join(texts), tuple(versions), finish_reason)
