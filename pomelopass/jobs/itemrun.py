"""Run one item of a job until its text is whole and scored."""

import asyncio
from collections import abc
import dataclasses
import random

from .. import message
from . import events
from . import job as jobs
from . import progress as progresses
from ..registry import endpoint as endpoints
from ..requests import call as calls
from ..requests import forward
from ..requests import routes
from ..requests import suspects as suspicions
from . import rewardgate
from . import schedule

__all__ = ['ItemContext', 'run_item']

# Longest wait for the next event before another engine goes on.
STALL_MS = 1600.0
MOVE_CHECK_MS = 250.0
PAUSE_MS = 60.0
LONGEST_PAUSE_MS = 2000.0
# An item that breaks this many engines in a row waits between its tries.
BREAKS_BEFORE_PAUSE = 3
REWARD_PAUSE_MS = 150.0
UNPROCESSABLE_STATUS = 422
BREAK_REASONS = ('reset', 'truncated')


@dataclasses.dataclass(slots=True)
class ItemContext:
    """Hold what the runs of a job's items share."""

    submission: jobs.Submission
    get_route: abc.Callable[[], routes.Route | None]
    # End of the time after which an item is given up, on the loop's clock.
    expires_at: float
    deadline_ms: float
    scheduler: schedule.Scheduler
    port: calls.EndpointPort
    forwarder: forward.Forwarder
    gate: rewardgate.RewardGate
    get_configuration: abc.Callable[[], routes.Configuration | None]
    version_field: str
    rng: random.Random
    write_event: abc.Callable[..., None]
    left_by_group: dict[str, int]


@dataclasses.dataclass(slots=True)
class _Run:
    item: jobs.Item
    group_index: int
    progress: progresses.Progress
    errors: int = 0
    breaks: int = 0
    crashes: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)
    terminated: bool = False


async def run_item(
    context: ItemContext,
    item: jobs.Item,
    group_index: int,
    progress: progresses.Progress,
) -> jobs.Result:
    """Return the result of an item; give it up when its time is over."""
    run = _Run(item, group_index, progress)
    loop = asyncio.get_running_loop()
    left = max(context.expires_at - loop.time(), 0.0)
    try:
        async with asyncio.timeout(left):
            while not run.progress.whole and not run.terminated:
                await _run_once(context, run)
            if run.progress.whole:
                return await _score(context, run)
    except TimeoutError:
        run.terminated = True
    context.write_event(
        'item-terminated',
        job=context.submission.id,
        id=item.id,
        errors=run.errors,
        breaks=run.breaks,
    )
    return jobs.Result(item.id, completed=False)


async def _run_once(context: ItemContext, run: _Run) -> None:
    loop = asyncio.get_running_loop()
    route = context.get_route()
    if route is None:
        # The route was removed: nothing may run its items any more.
        run.terminated = True
        return
    waiting = schedule.Waiting(
        item=run.item,
        model=run.item.model,
        service=routes.choose_service(route, context.rng),
        min_version=context.submission.min_version,
        deadline_ms=context.deadline_ms,
        group_left=lambda: context.left_by_group[run.item.group],
        group_index=run.group_index,
        avoid=run.avoid,
        granted=loop.create_future(),
    )
    wait_began = loop.time()
    state = await context.scheduler.acquire(waiting)
    began = loop.time()
    progressed = len(run.progress.texts)
    reason = 'done'
    try:
        reason = await _stream(context, run, route, state, waiting)
    except (calls.CallFailedError, message.ExchangeError) as error:
        reason = error.kind
        endpoints.note_failure(state, loop.time())
    finally:
        context.scheduler.release(state)
    context.write_event(
        'item-run',
        job=context.submission.id,
        id=run.item.id,
        endpoint=state.endpoint.id,
        outcome=reason,
        events=len(run.progress.texts),
        versions=run.progress.versions,
        waited_ms=round((began - wait_began) * 1000, 1),
        took_ms=round((loop.time() - began) * 1000, 1),
    )
    if run.progress.whole or run.terminated:
        return
    await _pause(
        context, run, state, reason, len(run.progress.texts) > progressed
    )


async def _pause(
    context: ItemContext,
    run: _Run,
    state: endpoints.EndpointState,
    reason: str,
    progressed: bool,
) -> None:
    run.avoid = {state.endpoint.id}
    if reason == 'moved':
        return
    run.breaks = 0 if progressed else run.breaks + 1
    if reason in BREAK_REASONS and not progressed:
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
    context: ItemContext, run: _Run, state: endpoints.EndpointState
) -> None:
    if await context.port.is_listening(state.endpoint):
        return
    run.crashes += 1
    if run.crashes >= suspicions.CRASHES_TO_STOP:
        # It may not be listed as failed before its time is over.
        await asyncio.sleep(suspicions.SUSPICION_MS / 1000)


async def _stream(
    context: ItemContext,
    run: _Run,
    route: routes.Route,
    state: endpoints.EndpointState,
    waiting: schedule.Waiting,
) -> str:
    loop = asyncio.get_running_loop()
    left_ms = (context.expires_at - loop.time()) * 1000
    call = calls.Call(
        id=run.item.id,
        host=context.submission.host,
        method='POST',
        target=run.item.path,
        headers=run.item.headers,
        body=run.item.body,
        deadline_at=context.expires_at,
        last_event_id=run.progress.last_event_id,
    )
    answer = await context.port.open(state.endpoint, call, left_ms, STALL_MS)
    whole = False
    try:
        if answer.load is not None:
            endpoints.note_load(state, answer.load, loop.time())
        if answer.status != 200 or answer.not_run:
            # The body of a refusal is read so that its connection is kept.
            await answer.reply.read(1_048_576)
            whole = True
            return _take_refusal(run, answer, state, route.max_attempts)
        if not _fits(context, run, route, answer.weight_version):
            run.progress.restart()
            return 'version'
        if answer.weight_version is not None:
            endpoints.note_version(
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


def _take_refusal(
    run: _Run,
    answer: calls.Answer,
    state: endpoints.EndpointState,
    max_attempts: int,
) -> str:
    if answer.not_run:
        endpoints.note_refusal(state, asyncio.get_running_loop().time())
        return 'endpoint-refused'
    if answer.status == UNPROCESSABLE_STATUS:
        run.terminated = True
    elif answer.status == 500:
        run.errors += 1
        run.terminated = run.errors >= max_attempts
    return f'status-{answer.status}'


def _fits(
    context: ItemContext,
    run: _Run,
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
    context: ItemContext,
    run: _Run,
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
    async for chunk in answer.reply.chunks:
        found = parser.feed(chunk)
        now = loop.time()
        for event in found:
            if event.weight_version is not None:
                version = event.weight_version
                endpoints.note_version(state, run.item.model, version)
            if not _take_event(context, run, route, event, version):
                return 'version'
        if found and last_at is not None:
            pace_ms = (now - last_at) * 1000 / len(found)
            endpoints.note_success(state, pace_ms, now)
        if found:
            last_at = now
        if now >= next_check:
            next_check = now + MOVE_CHECK_MS / 1000
            if context.scheduler.find_faster(state, waiting):
                return 'moved'
    if parser.unread.strip():
        raise message.ExchangeError('truncated', 1)
    run.progress.whole = True
    return 'done'


def _take_event(
    context: ItemContext,
    run: _Run,
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


async def _score(context: ItemContext, run: _Run) -> jobs.Result:
    reward = run.item.reward
    text = '\n'.join(run.progress.texts)
    versions = tuple(run.progress.versions)
    if reward is None:
        return jobs.Result(run.item.id, True, text, versions)
    errors = 0
    while True:
        configuration = context.get_configuration()
        route = None
        if configuration is not None:
            route = routes.find_route(configuration, reward.host, reward.path)
        if route is None:
            await asyncio.sleep(REWARD_PAUSE_MS / 1000)
            continue
        call = calls.Call(
            reward.id, reward.host, 'POST', reward.path, (), reward.body, None
        )
        async with context.gate.enter(route.shares[0].service):
            outcome = await context.forwarder.forward(call, route)
        if outcome.signature is not None and 200 <= outcome.status < 300:
            score = outcome.signature
            return jobs.Result(run.item.id, True, text, versions, score)
        errors += outcome.errors
        if errors >= route.max_attempts or outcome.status == (
            UNPROCESSABLE_STATUS
        ):
            return jobs.Result(run.item.id, completed=False)
        pause = 0.5 + context.rng.random()
        await asyncio.sleep(REWARD_PAUSE_MS / 1000 * pause)
