"""Append the event stream of a run to the text of its item."""

import asyncio

from .. import answermemory
from .. import message
from . import events
from . import itemcontext
from . import progress as progresses
from ..registry import endpoint as endpoints
from ..requests import answerbody
from ..requests import call as calls
from ..requests import routes
from . import schedule

__all__ = ['TEXT_TOO_LONG', 'stream_item']

# Without an event for this long, another engine continues the text.
STALL_TIMEOUT_MS = 1600.0
MOVE_CHECK_INTERVAL_MS = 250.0
# A brief slowdown by a noisy neighbour must not move the run.
SLOW_CHECKS_TO_MOVE = 3
# Kind of failure of a run whose text has more bytes than a result may have.
TEXT_TOO_LONG = 'text-too-long'


async def stream_item(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
    state: endpoints.EndpointState,
    waiting_item: schedule.WaitingItem,
) -> str:
    """Append events to an item's text; return the outcome of the run.

    Raise CallFailedError or ExchangeError if the stream is interrupted.
    """
    loop = asyncio.get_running_loop()
    remaining_ms = (context.expires_at - loop.time()) * 1000
    # The entry may change during the run.
    software = state.endpoint.software
    answer = await context.port.open(
        state.endpoint,
        _make_call(context, run),
        remaining_ms,
        STALL_TIMEOUT_MS,
    )
    is_complete = False
    try:
        if answer.load is not None:
            endpoints.record_load(state, answer.load, loop.time())
        if answer.status != 200 or answer.not_run:
            await answer.reply.discard(
                calls.MAX_DISCARDED_BYTES, calls.DISCARD_TIMEOUT_MS
            )
            is_complete = True
            return _record_refusal(run, answer, state, route.max_attempts)
        if not _accepts_version(context, run, route, answer.weight_version):
            run.progress.restart()
            return 'version'
        if answer.weight_version is not None:
            endpoints.record_version(
                state, run.item.model, answer.weight_version
            )
        if not run.progress.texts:
            run.progress.software = software
        outcome = await _read_events(
            context, run, route, state, waiting_item, answer
        )
        is_complete = outcome == 'done'
        return outcome
    finally:
        if not is_complete:
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
        avoids_idle=run.was_silent,
        workspace=context.submission.workspace,
        drops_credentials=_drops_credentials(context),
    )


def _drops_credentials(context: itemcontext.ItemContext) -> bool:
    if context.submission.workspace:
        return True
    # It may have been submitted before there were workspaces.
    configuration = context.get_configuration()
    return configuration is not None and configuration.workspaces is not None


def _record_refusal(
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


def _accepts_version(
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
    waiting_item: schedule.WaitingItem,
    answer: calls.Answer,
) -> str:
    loop = asyncio.get_running_loop()
    parser = events.EventParser(
        context.version_field, run.progress.last_event_id
    )
    version = answer.weight_version
    opened_at = loop.time()
    last_event_at = None
    stall_at = loop.time() + STALL_TIMEOUT_MS / 1000
    next_check_at = loop.time() + MOVE_CHECK_INTERVAL_MS / 1000
    slow_checks = 0
    async for chunk in answer.reply.chunks:
        now = loop.time()
        # The text may have been discarded since the last chunk.
        _update_share(run, len(parser.unread))
        new_events = parser.feed(chunk)
        if new_events:
            stall_at = now + STALL_TIMEOUT_MS / 1000
        elif now >= stall_at:
            # Bytes keep arriving, but no event.
            raise message.ExchangeError(message.TIMEOUT, 1)
        for event in new_events:
            if event.weight_version is not None:
                version = event.weight_version
                endpoints.record_version(state, run.item.model, version)
            if not _append_event(context, run, route, event, version):
                return 'version'
        _update_share(run, len(parser.unread))
        pace_ms = None
        if new_events and last_event_at is not None:
            pace_ms = (now - last_event_at) * 1000 / len(new_events)
            endpoints.record_success(state, pace_ms, now)
        elif new_events and len(run.progress.texts) == len(new_events):
            run.prompt_ms = (now - opened_at) * 1000
            waiting_item.prompt_ms = run.prompt_ms
        context.scheduler.placer.record_events(
            state, waiting_item.service, pace_ms, len(chunk)
        )
        if new_events:
            last_event_at = now
        if now >= next_check_at:
            next_check_at = now + MOVE_CHECK_INTERVAL_MS / 1000
            is_slow = context.scheduler.should_move(state, waiting_item)
            slow_checks = slow_checks + 1 if is_slow else 0
            if slow_checks >= SLOW_CHECKS_TO_MOVE:
                return 'moved'
    # A run without an event may have ended with the engine's connection.
    may_be_cut = last_event_at is None and not calls.marks_its_end(answer)
    if parser.unread.strip() or may_be_cut:
        raise message.ExchangeError('truncated', 1)
    _update_share(run, 0)
    run.progress.whole = True
    return 'done'


def _append_event(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
    event: events.Event,
    version: int | None,
) -> bool:
    if not _accepts_version(context, run, route, version):
        run.progress.restart()
        return False
    try:
        run.progress.append(event.data, event.id, version)
    except progresses.TextTooLongError:
        run.progress.restart()
        raise message.ExchangeError(TEXT_TOO_LONG, 1) from None
    return True


def _update_share(run: itemcontext.ItemRun, unread: int) -> None:
    try:
        run.kept.resize(run.progress.kept_bytes + unread)
    except answermemory.AnswerDiscardedError:
        raise message.ExchangeError(answerbody.DISCARDED, 1) from None
