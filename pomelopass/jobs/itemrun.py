"""Run one item of a job until its text is whole and scored."""

import asyncio
import contextlib

from .. import message
from . import itemcontext
from . import itemstream
from . import job as jobs
from . import progress as progresses
from ..registry import endpoint as endpoints
from ..reporting import logevents
from ..requests import call as calls
from ..requests import quarantine as quarantines
from ..requests import routes
from . import reward
from . import schedule

__all__ = ['run_item']

PAUSE_MS = 60.0
LONGEST_PAUSE_MS = 2000.0
# An item that breaks this many engines in a row waits between its tries.
BREAKS_BEFORE_PAUSE = 3


async def run_item(
    context: itemcontext.ItemContext,
    item: jobs.Item,
    group_index: int,
    progress: progresses.Progress,
) -> jobs.Result:
    """Return the result of an item; give it up when its time is over."""
    run = itemcontext.ItemRun(item, group_index, progress)
    loop = asyncio.get_running_loop()
    left = max(context.expires_at - loop.time(), 0.0)
    # The line below tells of an item whose time is over.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(left):
            while not run.progress.whole and not run.terminated:
                await _run_once(context, run)
            if run.progress.whole:
                # Errors of the reward call count by themselves.
                run.errors = 0
                result = await reward.score_item(context, run)
                if result is not None:
                    return result
    context.write_event(
        logevents.ItemTerminated(
            job=context.submission.id,
            id=item.id,
            errors=run.errors,
            breaks=run.breaks,
        )
    )
    return jobs.Result(item.id, completed=False)


async def _run_once(
    context: itemcontext.ItemContext, run: itemcontext.ItemRun
) -> None:
    loop = asyncio.get_running_loop()
    route = context.get_route()
    if route is None:
        # The route was removed: nothing may run its items any more.
        run.terminated = True
        return
    waiting = _make_waiting(context, run, route)
    wait_began = loop.time()
    state = await context.scheduler.acquire(waiting)
    began = loop.time()
    progressed = len(run.progress.texts)
    reason = 'done'
    try:
        reason = await itemstream.stream_item(
            context, run, route, state, waiting
        )
    except (calls.CallFailedError, message.ExchangeError) as error:
        reason = error.kind
        endpoints.record_failure(state, loop.time())
    finally:
        context.scheduler.release(state)
    context.write_event(
        logevents.ItemRun(
            job=context.submission.id,
            id=run.item.id,
            endpoint=state.endpoint.id,
            outcome=reason,
            events=len(run.progress.texts),
            versions=run.progress.versions,
            waited_ms=round((began - wait_began) * 1000, 1),
            took_ms=round((loop.time() - began) * 1000, 1),
        )
    )
    if run.progress.whole or run.terminated:
        return
    await _pause(
        context, run, state, reason, len(run.progress.texts) > progressed
    )


def _make_waiting(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
) -> schedule.Waiting:
    return schedule.Waiting(
        item=run.item,
        model=run.item.model,
        service=routes.choose_service(route, context.rng),
        min_version=context.submission.min_version,
        deadline_ms=context.deadline_ms,
        group_left=lambda: context.left_by_group[run.item.group],
        group_index=run.group_index,
        avoid=run.avoid,
        granted=asyncio.get_running_loop().create_future(),
    )


async def _pause(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    state: endpoints.EndpointState,
    reason: str,
    progressed: bool,
) -> None:
    run.avoid = {state.endpoint.id}
    if reason == 'moved':
        return
    run.breaks = 0 if progressed else run.breaks + 1
    if reason in message.BREAK_KINDS and not progressed:
        await _judge_break(context, run, state)
    if reason == 'endpoint-refused':
        await asyncio.sleep(PAUSE_MS / 1000 * (0.5 + context.rng.random()))
    elif run.breaks >= BREAKS_BEFORE_PAUSE:
        exponent = run.breaks - BREAKS_BEFORE_PAUSE
        pause_ms = min(PAUSE_MS * 4 * 2**exponent, LONGEST_PAUSE_MS)
        await asyncio.sleep(pause_ms / 1000)
    if run.breaks > 1:
        run.avoid = set()


async def _judge_break(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    state: endpoints.EndpointState,
) -> None:
    if not await context.port.is_refused(state.endpoint):
        return
    run.crashes += 1
    if run.crashes >= quarantines.CRASHES_TO_BLOCK:
        # It may not be listed as failed before its time is over.
        await asyncio.sleep(quarantines.CRASH_TTL_MS / 1000)
