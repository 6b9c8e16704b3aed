"""Stream tokens of model engines and continue on another engine."""

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
    """Hold the events of one read with their text and versions."""

    raw: bytes
    text: str
    versions: tuple[int, ...]
    finish_reason: str | None


class Answered(Exception):  # noqa: N818
    """Carry an engine's refusal of the request itself."""

    def __init__(self, reply: message.Reply):
        super().__init__(str(reply.status))
        self.reply = reply


async def stream(
    context: contexts.Context, item: work.Work
) -> abc.AsyncGenerator[StreamChunk, None]:
    """Yield the pieces of one whole completion; raise Refused."""
    crash.check_quarantine(context, item)
    slot = await slots.acquire(context, item)
    dispatch.note_first_attempt(context, item)
    pool = context.configuration.pools[item.pool]
    texts: list[str] = []
    try:
        while True:
            pieces = stream_attempt(context, item, slot, ''.join(texts))
            try:
                async with contextlib.aclosing(pieces):
                    async for piece in pieces:
                        texts.append(piece.text)
                        yield piece
                return
            except message.ExchangeError as error:
                stuck = bool(texts) and not pool.resumes
                slot = await dispatch.plan_retry(
                    context, item, slot, error, stuck
                )
    finally:
        slots.finish(context, item)


async def stream_attempt(
    context: contexts.Context,
    item: work.Work,
    slot: work.Slot,
    resume_text: str,
) -> abc.AsyncGenerator[StreamChunk, None]:
    """Yield the pieces of one attempt; raise ExchangeError."""
    state = contexts.get_pool_state(context, item.pool)
    endpoint = slot.candidate.endpoint
    count = 0
    end = attemptend.AttemptEnd.CANCELLED
    try:
        claimflow.note_dispatched(context, item)
        contexts.record_event(context, 'dispatched', item.id, endpoint.key)
        reply = await _open(context, item, endpoint.address, resume_text)
        async with contextlib.aclosing(reply.chunks):
            async for piece in _read_pieces(item, reply):
                count += len(piece.versions)
                yield piece
        end = attemptend.AttemptEnd.SUCCEEDED
    except message.ExchangeError:
        end = attemptend.AttemptEnd.FAILED
        raise
    finally:
        succeeded = end == attemptend.AttemptEnd.SUCCEEDED
        units = float(max(count, 1)) if succeeded else item.units
        slots.release(context, state, slot, units, end)
    length.record_length(state.lengths, item.shape, count)
    crash.note_success(context, item)
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


async def _read_pieces(
    item: work.Work, reply: message.OpenReply
) -> abc.AsyncGenerator[StreamChunk, None]:
    attempt_id = item.attempt_id
    old_id = attempt_id.encode()
    new_id = item.id.encode()
    rest = b''
    whole = False
    async for chunk in reply.chunks:
        whole_events, separator, rest = (rest + chunk).rpartition(EVENT_END)
        if len(rest) > MAX_EVENT_BYTES:
            raise message.ExchangeError('truncated', reply.bytes_written)
        if not separator:
            continue
        events = whole_events.split(EVENT_END)
        if events[-1] == EVENT_START + DONE:
            events.pop()
            whole = True
        if events:
            raw = EVENT_END.join(events).replace(old_id, new_id)
            yield _make_piece(events, raw + EVENT_END, attempt_id, reply)
    if not whole or rest:
        raise message.ExchangeError('truncated', reply.bytes_written)


def _make_piece(
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
