"""Send a call to the table again over other paths while it is late."""

import asyncio
from collections import abc
from typing import TypeVar

from . import rows

__all__ = ['call_hedged']

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


def _start(call: abc.Awaitable[Answer]) -> asyncio.Task[Answer]:
    task = asyncio.ensure_future(call)
    # Of the calls that lose, errors are of no interest.
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    return task
