"""Write the heartbeats of this instance to the fleet table."""

import asyncio
from collections import abc
import dataclasses
import random

from . import member
from ..table import rows

__all__ = ['MEMBER_TABLE', 'Heartbeat']

MEMBER_TABLE = 'fleet'
MEMBER_KEY_PREFIX = 'member/'
LIMITS_KEY_PREFIX = 'limits/'
HEARTBEAT_INTERVAL_MS = 500.0
JITTER = 0.2


class Heartbeat:
    """Writer of this instance's member row and of the limits it knows."""

    def __init__(
        self,
        table: rows.RowTable,
        own: member.Member,
        get_runs: abc.Callable[[], dict[str, int]],
        get_crashes: abc.Callable[[], dict[str, int]],
        is_direct: abc.Callable[[], bool],
        get_limits_value: abc.Callable[[], bytes | None],
        rng: random.Random,
    ):
        self.get_limits_value = get_limits_value
        self.has_limits_row = False
        self.table = table
        self.own = own
        self.get_runs = get_runs
        self.get_crashes = get_crashes
        self.is_direct = is_direct
        self.rng = rng
        self.version = 0
        self.wake = asyncio.Event()

    def stop_accepting(self) -> None:
        """Leave the directory with a heartbeat that is written at once."""
        self.own = dataclasses.replace(self.own, accepting=False)
        self.wake.set()

    async def run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            await self._write()
            factor = 1 + JITTER * (self.rng.random() - 0.5)
            try:
                async with asyncio.timeout(
                    HEARTBEAT_INTERVAL_MS * factor / 1000
                ):
                    await self.wake.wait()
                self.wake.clear()
            except TimeoutError:
                continue

    async def _write(self) -> None:
        self.own = dataclasses.replace(
            self.own,
            beat=self.own.beat + 1,
            is_direct=self.is_direct(),
            runs_by_endpoint=self.get_runs(),
            crashes_by_fingerprint=self.get_crashes(),
        )
        key = rows.Key(MEMBER_TABLE, '', f'{MEMBER_KEY_PREFIX}{self.own.name}')
        limits_key = rows.Key(
            MEMBER_TABLE, '', f'{LIMITS_KEY_PREFIX}{self.own.name}'
        )
        limits_value = self.get_limits_value()
        puts = [(key, member.encode_member(self.own))]
        if limits_value is not None:
            puts.append((limits_key, limits_value))
        drops_limits = limits_value is None and self.has_limits_row
        transaction = rows.Transaction(
            expected=((key, self.version),),
            puts=tuple(puts),
            removes=(limits_key,) if drops_limits else (),
        )
        try:
            outcome = await self.table.transact(transaction)
        except rows.TableError:
            # The next heartbeat retries; FallbackTable logs the outage.
            return
        if isinstance(outcome, rows.Applied):
            self.version = outcome.version
            self.has_limits_row = limits_value is not None
            return
        versions = [row.version for row in outcome.rows if row.name == key]
        self.version = versions[0] if versions else 0
        self.wake.set()
