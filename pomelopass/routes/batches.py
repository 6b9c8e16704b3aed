"""Accept a trainer's request for a step and return its batch."""

import hashlib
import json
import re

import pydantic
from returns import result

from .. import message
from ..callers import work
from ..core import handover
from ..core import refusal
from ..core import stopping
from ..core import tablerow
from ..core import verdict
from ..reporting import problemdetails
from ..running import context as contexts
from ..running import gossip
from ..training import trainerrequest

__all__ = ['ROUTES']

MAX_WAIT_MS = 10_000
POLL_INTERVAL_MS = 250
RETRY_AFTER_MS = 1000


class BatchRequest(pydantic.BaseModel):
    """Prompts of a step."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    prompts: list[str] = pydantic.Field(min_length=1, max_length=65_536)


async def serve_batch(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return the batch of a step; the request is idempotent."""
    name = match['name']
    step = int(match['step'])
    trainerrequest.get_trainer(context, name)
    keys = handover.get_keys(name, step)
    if request.method == 'POST':
        batch_request = trainerrequest.read_body(BatchRequest, request.body)
        text = json.dumps(batch_request.model_dump())
        await _store_request(context, name, step, text)
    context.work_in_flight += 1
    try:
        return await _wait_for_batch(context, keys)
    finally:
        context.work_in_flight -= 1


async def _store_request(
    context: contexts.Context, name: str, step: int, text: str
) -> None:
    keys = handover.get_keys(name, step)
    digest = hashlib.sha256(text.encode()).hexdigest()
    value = json.dumps({'object': f'asks/{digest}', 'step': step})
    if await _is_requested(context, keys, digest):
        return
    put_result = await context.ports.objects.put(
        f'asks/{digest}', text.encode()
    )
    if isinstance(put_result, result.Failure):
        raise _make_unavailable()
    transaction = tablerow.Transaction(
        (
            tablerow.Condition(keys.ask, tablerow.ABSENT),
            tablerow.Condition(keys.batch, tablerow.ABSENT),
        ),
        (tablerow.Put(keys.ask, value),),
    )
    conflict_result = await context.ports.table.transact(transaction)
    applied = (
        isinstance(conflict_result, result.Success)
        and conflict_result.unwrap() is None
    )
    if not applied and not await _is_requested(context, keys, digest):
        raise _make_unavailable()
    subject = f'{name}/{step}'
    contexts.record_event(context, 'batch-asked', subject, digest[:12])
    await gossip.announce(context, gossip.ASK_KIND, subject)


async def _is_requested(
    context: contexts.Context, keys: handover.Keys, digest: str
) -> bool:
    for key in (keys.ask, keys.batch):
        row_result = await context.ports.table.get(key)
        if isinstance(row_result, result.Failure):
            raise _make_unavailable()
        row = row_result.unwrap()
        if row is None:
            continue
        recorded = json.loads(row.value)
        if recorded.get('ask', recorded['object']) != f'asks/{digest}':
            raise work.Refused(
                refusal.Refusal(
                    refusal.Code.STEP_CONFLICT,
                    'The step was asked with other prompts.',
                )
            )
        return True
    return False


async def _wait_for_batch(
    context: contexts.Context, keys: handover.Keys
) -> message.Reply:
    deadline_ms = context.ports.clock.now_ms() + MAX_WAIT_MS
    while True:
        row_result = await context.ports.table.get(keys.batch)
        row = row_result.value_or(None)
        if row is not None:
            return await _read_batch(context, row)
        is_stopping = context.stopping.phase != stopping.Phase.RUNNING
        if is_stopping or context.ports.clock.now_ms() >= deadline_ms:
            reply = problemdetails.make_json_reply({'status': 'open'}, 202)
            headers = (*reply.headers, ('retry-after', '1'))
            return message.Reply(202, headers, reply.body)
        await context.duties.wake_batches.wait(POLL_INTERVAL_MS)


async def _read_batch(
    context: contexts.Context, row: tablerow.Row
) -> message.Reply:
    key = json.loads(row.value)['object']
    body_result = await context.ports.objects.get(key)
    body = body_result.value_or(None)
    if body is None:
        raise _make_unavailable()
    headers = (('content-type', 'application/json'),)
    return message.Reply(200, headers, body)


def _make_unavailable() -> work.Refused:
    return work.Refused(
        refusal.Refusal(
            refusal.Code.STORE_UNAVAILABLE,
            'The platform did not answer. Ask again.',
            verdict.Verdict.MAY_HAVE_RUN,
            RETRY_AFTER_MS,
        )
    )


ROUTES = (
    (
        ('GET', 'POST'),
        r'/trainers/(?P<name>[a-z0-9-]+)/batches/(?P<step>\d{1,12})',
        serve_batch,
    ),
)
