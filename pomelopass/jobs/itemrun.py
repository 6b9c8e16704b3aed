"""Run one item of a job until its text is complete and scored."""

import asyncio
import contextlib

from .. import answermemory
from .. import message
from ..core import backoff
from . import itemcontext
from . import itemstream
from . import job as jobs
from . import progress as progresses
from ..registry import endpoint as endpoints
from ..reporting import logevents
from ..requests import answerbody
from ..requests import attempt as attempts
from ..requests import call as calls
from ..requests import routes
from . import reward
from . import schedule

__all__ = ['run_item']

RETRY_PAUSE_MS = 60.0
MAX_PAUSE_MS = 2000.0
# Retries back off after this many runs in a row without progress.
FAILED_RUNS_BEFORE_BACKOFF = 3
# An engine with such an outcome is the last choice for the item.
UNFIT_OUTCOMES = ('bad-event', itemstream.TEXT_TOO_LONG, answerbody.DISCARDED)


async def run_item(
    context: itemcontext.ItemContext,
    item: jobs.Item,
    group_index: int,
    progress: progresses.Progress,
    kept: answermemory.Share,
) -> jobs.Result:
    """Return the result of an item; terminate the item when it expires."""
    run = itemcontext.ItemRun(item, group_index, progress, kept)
    loop = asyncio.get_running_loop()
    remaining_s = max(context.expires_at - loop.time(), 0.0)
    # The event below reports an item that has expired.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(remaining_s):
            while not run.terminated:
                if not run.progress.whole:
                    await _run_once(context, run)
                    continue
                # Errors of the reward call are counted separately.
                run.errors = 0
                result = await reward.score_item(context, run)
                if result is None:
                    break
                # The text may have been discarded meanwhile.
                if run.progress.whole and not run.kept.is_discarded:
                    return result
                run.progress.discard()
                run.kept.reopen()
    context.write_event(
        logevents.ItemTerminated(
            job=context.submission.id,
            id=item.id,
            errors=run.errors,
            breaks=run.failed_runs,
        )
    )
    return jobs.Result(item.id, completed=False)


async def _run_once(
    context: itemcontext.ItemContext, run: itemcontext.ItemRun
) -> None:
    loop = asyncio.get_running_loop()
    route = context.get_route()
    if route is None:
        # The route was removed: its items must not run any more.
        run.terminated = True
        return
    waiting_item = _make_waiting_item(context, run, route)
    queued_at = loop.time()
    state = await context.scheduler.acquire(waiting_item)
    started_at = loop.time()
    software = state.endpoint.software
    if run.kept.is_discarded:
        run.kept.reopen()
    run.kept.owner = state.endpoint.id
    if not run.progress.can_resume_at(software):
        run.progress.restart()
    old_count = len(run.progress.texts)
    resumed_after = run.progress.last_event_id
    outcome = 'done'
    try:
        outcome = await itemstream.stream_item(
            context, run, route, state, waiting_item
        )
    except (calls.CallFailedError, message.ExchangeError) as error:
        outcome = error.kind
        run.was_silent |= outcome == message.TIMEOUT
        if outcome in UNFIT_OUTCOMES:
            _record_unfit(run, state.endpoint.id)
        attempts.record_failure(state, error.kind)
    finally:
        context.scheduler.release(state)
    context.write_event(
        logevents.ItemRun(
            job=context.submission.id,
            id=run.item.id,
            endpoint=state.endpoint.id,
            outcome=outcome,
            events=len(run.progress.texts),
            versions=run.progress.versions,
            software=software,
            resumed_after=resumed_after,
            waited_ms=round((started_at - queued_at) * 1000, 1),
            took_ms=round((loop.time() - started_at) * 1000, 1),
            configuration=route.configuration_version,
        )
    )
    run.cache_zone = state.endpoint.availability_zone
    if run.progress.whole:
        context.scheduler.placer.sizes.record_text(
            run.item.model,
            run.item.expected_length,
            len(run.progress.texts),
            run.progress.stored_bytes,
        )
    if run.progress.whole or run.terminated:
        return
    await _pause(
        context, run, state, outcome, len(run.progress.texts) > old_count
    )


def _record_unfit(run: itemcontext.ItemRun, endpoint_id: str) -> None:
    if endpoint_id in run.unfit_ids:
        # No other engine was there: each may be sound again.
        run.unfit_ids.clear()
    run.unfit_ids.add(endpoint_id)


def _make_waiting_item(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    route: routes.Route,
) -> schedule.WaitingItem:
    return schedule.WaitingItem(
        item=run.item,
        model=run.item.model,
        service=routes.choose_service(route, context.rng),
        min_version=context.submission.min_version,
        deadline_ms=context.deadline_ms,
        count_group_remaining=lambda: context.remaining_by_group[
            run.item.group
        ],
        group_index=run.group_index,
        avoid=run.avoid,
        granted=asyncio.get_running_loop().create_future(),
        can_resume_at=run.progress.can_resume_at,
        count_events=lambda: len(run.progress.texts),
        cache_zone=run.cache_zone if run.progress.texts else None,
        prompt_ms=run.prompt_ms,
    )


async def _pause(
    context: itemcontext.ItemContext,
    run: itemcontext.ItemRun,
    state: endpoints.EndpointState,
    outcome: str,
    progressed: bool,
) -> None:
    run.avoid = {state.endpoint.id, *run.unfit_ids}
    if outcome == 'moved':
        return
    run.failed_runs = 0 if progressed else run.failed_runs + 1
    if outcome == 'endpoint-refused':
        await asyncio.sleep(
            RETRY_PAUSE_MS / 1000 * (0.5 + context.rng.random())
        )
    elif run.failed_runs >= FAILED_RUNS_BEFORE_BACKOFF:
        exponent = run.failed_runs - FAILED_RUNS_BEFORE_BACKOFF
        pause_ms = backoff.get_backoff_ms(
            RETRY_PAUSE_MS * 4, exponent, MAX_PAUSE_MS
        )
        await asyncio.sleep(pause_ms / 1000)
    if run.failed_runs > 1:
        run.avoid = set(run.unfit_ids)
