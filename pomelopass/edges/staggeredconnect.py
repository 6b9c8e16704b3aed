"""Open a connection by staggered attempts, of which the first counts."""

import asyncio
from collections import abc
import dataclasses
from typing import Generic, TypeVar

__all__ = ['Connected', 'connect_first']

# Longer than a round trip. A lost opening packet is sent again after 1 s.
STAGGER_MS = 100.0

Connection = TypeVar('Connection')


@dataclasses.dataclass(frozen=True, slots=True)
class Connected(Generic[Connection]):
    """An open connection and its address."""

    address: str
    connection: Connection


async def connect_first(
    addresses: abc.Sequence[str],
    connect: abc.Callable[[str], abc.Awaitable[Connection]],
    drop: abc.Callable[[Connection], None],
    on_failure: abc.Callable[[str, Exception], None],
) -> Connected[Connection] | None:
    """Return the first connection that opens, or None if all fail.

    Each next address is tried once the one before has failed or is late; an
    address may stand more than once. OSError and TimeoutError are passed to
    on_failure, which may raise them.
    """
    remaining = list(addresses)
    address_by_task: dict[asyncio.Task, str] = {}
    try:
        while remaining or address_by_task:
            if remaining:
                address = remaining.pop(0)
                task = asyncio.ensure_future(connect(address))
                address_by_task[task] = address
            done_tasks, _ = await asyncio.wait(
                address_by_task,
                timeout=STAGGER_MS / 1000 if remaining else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done_tasks:
                address = address_by_task.pop(task)
                try:
                    return Connected(address, task.result())
                except (OSError, TimeoutError) as error:
                    on_failure(address, error)
        return None
    finally:
        for task in address_by_task:
            _drop_when_done(task, drop)


def _drop_when_done(
    task: asyncio.Task, drop: abc.Callable[[Connection], None]
) -> None:
    """Cancel an attempt to connect, or close what it opened."""

    def close(done: asyncio.Task) -> None:
        if not done.cancelled() and done.exception() is None:
            drop(done.result())

    task.cancel()
    task.add_done_callback(close)
