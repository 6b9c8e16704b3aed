"""Write the heartbeats of this instance to the fleet table."""

import asyncio
from collections import abc
import dataclasses
import random

from . import member
from ..table import parts
from ..table import rows

__all__ = ['MEMBER_TABLE', 'PARTS', 'Heartbeat', 'make_key']

MEMBER_TABLE = 'fleet'
MEMBER_KEY_PREFIX = 'member/'
LIMITS_KEY_PREFIX = 'limits/'
CUT_OFF_KEY_PREFIX = 'cut-off/'
# A part applies its transactions one after the other, whatever their table.
PART_PREFIX = 'm'
# Rows of the whole fleet, and the heartbeats of earlier builds, have the part
# without a name.
PARTS = ('', *parts.make_names(PART_PREFIX))
HEARTBEAT_INTERVAL_MS = 500.0
# Pause after a refusal: the service has more to do than it can.
REFUSED_INTERVAL_MS = 1000.0
JITTER = 0.2

Transact = abc.Callable[
    [rows.Transaction], abc.Awaitable[rows.Applied | rows.Conflict]
]


def make_key(prefix: str, name: str) -> rows.Key:
    """Return the key of a row that an instance writes of itself."""
    part = parts.choose_part(PART_PREFIX, name)
    return rows.Key(MEMBER_TABLE, part, f'{prefix}{name}')


class Heartbeat:
    """Writer of this instance's member row and of further rows with it.

    A further row exists while its function returns a value; its key is a
    prefix and the name of the instance. A kept row is written only when its
    value changed, and stays.
    """

    def __init__(
        self,
        transact: Transact,
        own: member.Member,
        get_runs: abc.Callable[[], dict[str, int]],
        get_crashes: abc.Callable[[], dict[str, int]],
        is_direct: abc.Callable[[], bool],
        get_value_by_prefix: dict[str, abc.Callable[[], bytes | None]],
        on_written: abc.Callable[[float], None],
        rng: random.Random,
        get_value_by_kept_key: dict[rows.Key, abc.Callable[[], bytes | None]]
        | None = None,
    ):
        self.get_value_by_kept_key = get_value_by_kept_key or {}
        self.kept_value_by_key: dict[rows.Key, bytes] = {}
        self.on_written = on_written
        self.get_value_by_prefix = get_value_by_prefix
        self.stored_keys: set[rows.Key] = set()
        self.transact = transact
        self.own = own
        self.get_runs = get_runs
        self.get_crashes = get_crashes
        self.is_direct = is_direct
        self.rng = rng
        self.version = 0
        self.wake = asyncio.Event()
        self.interval_ms = HEARTBEAT_INTERVAL_MS

    def stop_accepting(self) -> None:
        """Leave the directory with a heartbeat that is written at once."""
        self.own = dataclasses.replace(self.own, accepting=False)
        self.wake.set()

    async def write_last(self, timeout_ms: float) -> None:
        """Write the kept rows once more after the end of the task."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                version = self.version
                await self._write()
                if self.wake.is_set() and self.version != version:
                    # The last heartbeat was applied without an answer.
                    await self._write()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            await self._write()
            factor = 1 + JITTER * (self.rng.random() - 0.5)
            try:
                async with asyncio.timeout(self.interval_ms * factor / 1000):
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
        key = make_key(MEMBER_KEY_PREFIX, self.own.name)
        value_by_key = {
            make_key(prefix, self.own.name): value
            for prefix, get_value in self.get_value_by_prefix.items()
            if (value := get_value()) is not None
        }
        kept_value_by_key = {
            kept_key: value
            for kept_key, get_value in self.get_value_by_kept_key.items()
            if (value := get_value()) is not None
            and value != self.kept_value_by_key.get(kept_key)
        }
        removes = tuple(self.stored_keys - value_by_key.keys())
        # A write without an answer may have stored them.
        self.stored_keys.update(value_by_key)
        transaction = rows.Transaction(
            expected=((key, self.version),),
            puts=(
                (key, member.encode_member(self.own)),
                *value_by_key.items(),
                *kept_value_by_key.items(),
            ),
            removes=removes,
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.interval_ms = HEARTBEAT_INTERVAL_MS
        try:
            outcome = await self.transact(transaction)
        except rows.TableError as error:
            # The next heartbeat retries; FallbackTable logs the outage.
            if error.is_overload:
                self.interval_ms = REFUSED_INTERVAL_MS
            return
        if isinstance(outcome, rows.Applied):
            self.on_written((loop.time() - sent_at) * 1000)
            self.version = outcome.version
            self.stored_keys = set(value_by_key)
            self.kept_value_by_key.update(kept_value_by_key)
            return
        versions = [row.version for row in outcome.rows if row.name == key]
        self.version = versions[0] if versions else 0
        self.wake.set()
