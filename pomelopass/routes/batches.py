"""Take a trainer's ask for a step and give its batch."""

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

WAIT_MS = 10_000
POLL_MS = 250
RETRY_AFTER_MS = 1000


class BatchAsk(pydantic.BaseModel):
    """Hold the prompts of a step."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    prompts: list[str] = pydantic.Field(min_length=1, max_length=65_536)


async def serve_ask(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Give the batch of a step; the same ask gives the same batch."""
    name = match['name']
    step = int(match['step'])
    trainerrequest.get_trainer(context, name)
    keys = handover.get_keys(name, step)
    if request.method == 'POST':
        ask = trainerrequest.read_body(BatchAsk, request.body)
        text = json.dumps(ask.model_dump())
        await _keep_ask(context, name, step, text)
    context.work_in_flight += 1
    try:
        return await _wait_for_batch(context, keys)
    finally:
        context.work_in_flight -= 1


async def _keep_ask(
    context: contexts.Context, name: str, step: int, text: str
) -> None:
    keys = handover.get_keys(name, step)
    digest = hashlib.sha256(text.encode()).hexdigest()
    value = json.dumps({'object': f'asks/{digest}', 'step': step})
    if await _find_known(context, keys, digest):
        return
    kept = await context.ports.objects.put(f'asks/{digest}', text.encode())
    if isinstance(kept, result.Failure):
        raise _unavailable()
    transaction = tablerow.Transaction(
        (
            tablerow.Condition(keys.ask, tablerow.ABSENT),
            tablerow.Condition(keys.batch, tablerow.ABSENT),
        ),
        (tablerow.Put(keys.ask, value),),
    )
    answer = await context.ports.table.transact(transaction)
    applied = isinstance(answer, result.Success) and answer.unwrap() is None
    if not applied and not await _find_known(context, keys, digest):
        raise _unavailable()
    subject = f'{name}/{step}'
    contexts.record_event(context, 'batch-asked', subject, digest[:12])
    await gossip.announce(context, gossip.ASK_KIND, subject)


async def _find_known(
    context: contexts.Context, keys: handover.Keys, digest: str
) -> bool:
    for key in (keys.ask, keys.batch):
        found = await context.ports.table.get(key)
        if isinstance(found, result.Failure):
            raise _unavailable()
        row = found.unwrap()
        if row is None:
            continue
        known = json.loads(row.value)
        if known.get('ask', known['object']) != f'asks/{digest}':
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
    deadline_ms = context.ports.clock.now_ms() + WAIT_MS
    while True:
        found = await context.ports.table.get(keys.batch)
        row = found.value_or(None)
        if row is not None:
            return await _read_batch(context, row)
        stopping_now = context.stopping.phase != stopping.Phase.RUNNING
        if stopping_now or context.ports.clock.now_ms() >= deadline_ms:
            reply = problemdetails.make_json_reply({'status': 'open'}, 202)
            headers = (*reply.headers, ('retry-after', '1'))
            return message.Reply(202, headers, reply.body)
        await context.duties.wake_batches.wait(POLL_MS)


async def _read_batch(
    context: contexts.Context, row: tablerow.Row
) -> message.Reply:
    key = json.loads(row.value)['object']
    found = await context.ports.objects.get(key)
    body = found.value_or(None)
    if body is None:
        raise _unavailable()
    headers = (('content-type', 'application/json'),)
    return message.Reply(200, headers, body)


def _unavailable() -> work.Refused:
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
        serve_ask,
    ),
)
