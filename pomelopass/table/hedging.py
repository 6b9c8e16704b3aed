"""Compare paths to the table while a call over one of them is late."""

import asyncio
from collections import abc
from typing import Any, TypeVar

from . import rows

__all__ = ['call_hedged', 'is_overtaken']

Answer = TypeVar('Answer')


async def call_hedged(
    first: abc.Awaitable[Answer],
    make_hedges: abc.Callable[[], abc.Iterable[abc.Awaitable[Answer]]],
    delay_ms: float,
) -> Answer:
    """Return the first answer; raise the last TableError if all fail.

    A first call that fails before the delay is not sent again here.
    """
    tasks = {_start(first)}
    try:
        done_tasks, tasks = await asyncio.wait(tasks, timeout=delay_ms / 1000)
        if done_tasks:
            return done_tasks.pop().result()
        tasks = {*tasks, *(_start(hedge) for hedge in make_hedges())}
        failure: rows.TableError | None = None
        while tasks:
            done_tasks, tasks = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done_tasks:
                try:
                    return task.result()
                except rows.TableError as error:
                    failure = error
        raise failure
    finally:
        for task in tasks:
            task.cancel()


async def is_overtaken(
    own_call: abc.Awaitable[Any],
    other_calls: abc.Iterable[abc.Awaitable[Any]],
    margin_ms: float,
) -> bool:
    """Return whether another path answers, and the own one not soon after.

    Without any answer no path is better than another.
    """
    own = _start(own_call)
    others = [_start(call) for call in other_calls]
    open_tasks = {own, *others}
    try:
        while open_tasks and not any(map(_has_answered, others)):
            _, open_tasks = await asyncio.wait(
                open_tasks, return_when=asyncio.FIRST_COMPLETED
            )
            if _has_answered(own):
                return False
        if not any(map(_has_answered, others)):
            return False
        await asyncio.wait((own,), timeout=margin_ms / 1000)
        return not _has_answered(own)
    finally:
        for task in (own, *others):
            task.cancel()


def _has_answered(task: asyncio.Task[Any]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _start(call: abc.Awaitable[Answer]) -> asyncio.Task[Answer]:
    task = asyncio.ensure_future(call)
    # Of the calls that lose, errors are of no interest.
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    return task
