"""Serve calls to plain services."""

import asyncio
import re

from .. import message
from ..callers import callerwork
from ..callers import claimflow
from ..callers import dispatch
from ..callers import work
from ..core import verdict
from ..reporting import problemdetails
from ..running import context as contexts

__all__ = ['ROUTES']


async def serve_plain(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return the reply of a plain service."""
    service_name = match['name']
    callerwork.get_service(context, service_name, 'plain')
    _, _, query = request.target.partition('?')
    target = match['path'] or '/'
    if query:
        target = f'{target}?{query}'
    shape = f'{service_name}:{request.method}:{match["path"]}'
    item = callerwork.make_work(
        context, request, service_name, target, request.body, shape, '', None
    )
    contexts.record_event(context, 'request-began', item.id, service_name)
    if item.key is None:
        return await _run(context, item)
    recorded_reply = await claimflow.begin(context, item)
    if recorded_reply is not None:
        callerwork.record_end(context, item, 'replayed')
        return recorded_reply
    # The call continues after its caller disconnects, so that a retry
    # gets the complete reply.
    return await asyncio.shield(
        contexts.spawn(context, _run_claimed(context, item))
    )


async def _run(context: contexts.Context, item: work.Work) -> message.Reply:
    context.work_in_flight += 1
    try:
        reply = await dispatch.run_plain(context, item)
    except work.Refused as refused:
        outcome = problemdetails.get_verdict_name(refused.reason.verdict)
        callerwork.record_end(context, item, outcome)
        raise
    finally:
        context.work_in_flight -= 1
    callerwork.record_end(context, item, 'ran')
    headers = (
        *reply.headers,
        ('x-request-id', item.id),
        ('pomelopass-verdict', 'ran'),
    )
    return message.Reply(reply.status, headers, reply.body)


async def _run_claimed(
    context: contexts.Context, item: work.Work
) -> message.Reply:
    reply = None
    outcome = verdict.Verdict.MAY_HAVE_RUN
    try:
        reply = await _run(context, item)
        return reply
    except work.Refused as refused:
        outcome = refused.reason.verdict
        refused.key_checked = True
        raise
    finally:
        claimflow.settle(context, item, reply, outcome)


ROUTES = (
    (
        ('GET', 'POST', 'PUT', 'PATCH', 'DELETE'),
        r'/services/(?P<name>[a-z0-9-]+)(?P<path>/.*)?',
        serve_plain,
    ),
)
