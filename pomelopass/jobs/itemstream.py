"""Read the event stream of one run into the text of its item."""

import asyncio

from .. import message
from . import events
from . import itemcontext
from ..registry import endpoint as endpoints
from ..requests import call as calls
from ..requests import routes
from . import schedule

__all__ = ['stream_item']

# Longest wait for the next event before another engine goes on.
STALL_MS = 1600.0
MOVE_CHECK_MS = 250.0
# A neighbour of the engine may slow it for a moment; that is no reason.
SLOW_CHECKS_TO_MOVE = 3
MAX_REFUSAL_BYTES = 1_048_576


async def stream_item(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
    state: endpoints.EndpointState,
    waiting: schedule.Waiting,
) -> str:
    """Add events to an item's text; return how the run ended.

    Raise CallFailedError or ExchangeError where the endpoint broke off.
    """
    loop = asyncio.get_running_loop()
    left_ms = (context.expires_at - loop.time()) * 1000
    answer = await context.port.open(
        state.endpoint, _make_call(context, run), left_ms, STALL_MS
    )
    whole = False
    try:
        if answer.load is not None:
            endpoints.record_load(state, answer.load, loop.time())
        if answer.status != 200 or answer.not_run:
            # The body of a refusal is read so that its connection is kept.
            await answer.reply.read(MAX_REFUSAL_BYTES)
            whole = True
            return _take_refusal(run, answer, state, route.max_attempts)
        if not _fits(context, run, route, answer.weight_version):
            run.progress.restart()
            return 'version'
        if answer.weight_version is not None:
            endpoints.record_version(
                state, run.item.model, answer.weight_version
            )
        reason = await _read_events(
            context, run, route, state, waiting, answer
        )
        whole = reason == 'done'
        return reason
    finally:
        if not whole:
            await answer.reply.close()


def _make_call(
    context: itemcontext.ItemContext, run: itemcontext.ItemRun
) -> calls.Call:
    return calls.Call(
        id=run.item.id,
        host=context.submission.host,
        method='POST',
        target=run.item.path,
        headers=run.item.headers,
        body=run.item.body,
        deadline_at=context.expires_at,
        last_event_id=run.progress.last_event_id,
    )


def _take_refusal(
    run: itemcontext.ItemRun,
    answer: calls.Answer,
    state: endpoints.EndpointState,
    max_attempts: int,
) -> str:
    if answer.not_run:
        endpoints.record_refusal(state, asyncio.get_running_loop().time())
        return 'endpoint-refused'
    if answer.status == calls.UNPROCESSABLE_STATUS:
        run.terminated = True
    elif answer.status == 500:
        run.errors += 1
        run.terminated = run.errors >= max_attempts
    return f'status-{answer.status}'


def _fits(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
    version: int | None,
) -> bool:
    if version is None:
        return True
    if version < context.submission.min_version:
        return False
    if not route.single_version or not run.progress.versions:
        return True
    return run.progress.versions[-1] == version


async def _read_events(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
    state: endpoints.EndpointState,
    waiting: schedule.Waiting,
    answer: calls.Answer,
) -> str:
    loop = asyncio.get_running_loop()
    parser = events.EventParser(context.version_field)
    version = answer.weight_version
    last_at = None
    next_check = loop.time() + MOVE_CHECK_MS / 1000
    slow_checks = 0
    async for chunk in answer.reply.chunks:
        found = parser.feed(chunk)
        now = loop.time()
        for event in found:
            if event.weight_version is not None:
                version = event.weight_version
                endpoints.record_version(state, run.item.model, version)
            if not _take_event(context, run, route, event, version):
                return 'version'
        if found and last_at is not None:
            pace_ms = (now - last_at) * 1000 / len(found)
            endpoints.record_success(state, pace_ms, now)
        if found:
            last_at = now
        if now >= next_check:
            next_check = now + MOVE_CHECK_MS / 1000
            is_slow = context.scheduler.find_faster(state, waiting)
            slow_checks = slow_checks + 1 if is_slow else 0
            if slow_checks >= SLOW_CHECKS_TO_MOVE:
                return 'moved'
    if parser.unread.strip():
        raise message.ExchangeError('truncated', 1)
    run.progress.whole = True
    return 'done'


def _take_event(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
    event: events.Event,
    version: int | None,
) -> bool:
    if not _fits(context, run, route, version):
        run.progress.restart()
        return False
    run.progress.texts.append(event.data)
    run.progress.last_event_id = event.id
    if version is not None and version not in run.progress.versions:
        run.progress.versions.append(version)
    return True
