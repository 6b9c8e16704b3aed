"""Maintain a local copy of a table by following its changes."""

import asyncio
from collections import abc
import random

from . import pacing
from . import rows

__all__ = ['Follower']

# A long poll; bounds how long a lost connection goes unnoticed.
WAIT_MS = 1500
RETRY_DELAY_MS = 150
RETRY_JITTER = 0.5
# Reads of the parts of a table at a time.
MAX_PARALLEL_READS = 4

OnRow = abc.Callable[[rows.Row], None]


class Follower:
    """Local copy of the rows of a table, with the age of the copy."""

    def __init__(
        self,
        table: rows.RowTable,
        name: str,
        parts: tuple[str, ...],
        on_row: OnRow,
        rng: random.Random,
        poll_pause_ms: float = 0.0,
        wait_ms: int = WAIT_MS,
        max_pause_ms: float = 0.0,
    ):
        self.table = table
        self.name = name
        self.parts = parts
        self.on_row = on_row
        self.rng = rng
        self.poll_pause_ms = poll_pause_ms
        self.wait_ms = wait_ms
        self.pace = pacing.FeedPace(max_pause_ms)
        self.row_by_key: dict[rows.Key, rows.Row] = {}
        self.version = 0
        self.loaded = False
        self.fresh_at = float('-inf')
        # The copy holds every change until then, in event loop seconds.
        self.confirmed_at = float('-inf')

    def get_age_ms(self) -> float:
        """Return the time since the service last answered, in milliseconds."""
        now = asyncio.get_running_loop().time()
        return (now - self.fresh_at) * 1000

    def get_confirmed_age_ms(self) -> float:
        """Return how old a change may be that the copy lacks."""
        now = asyncio.get_running_loop().time()
        return (now - self.confirmed_at) * 1000

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self._load()
                await self._poll()
            except rows.HistoryLostError:
                self.loaded = False
            except rows.TableError:
                jitter = 1 + RETRY_JITTER * self.rng.random()
                await asyncio.sleep(RETRY_DELAY_MS * jitter / 1000)
            pause_ms = max(self.poll_pause_ms, self.pace.get_pause_ms())
            if pause_ms:
                await asyncio.sleep(pause_ms / 1000)

    def apply_row(self, row: rows.Row) -> None:
        """Store and report a row unless the stored one is as new."""
        stored = self.row_by_key.get(row.name)
        if stored is not None and stored.version >= row.version:
            return
        if row.value is None:
            self.row_by_key.pop(row.name, None)
            if stored is None:
                return
        else:
            self.row_by_key[row.name] = row
        self.on_row(row)

    async def _load(self) -> None:
        requested_at = asyncio.get_running_loop().time()
        gate = asyncio.Semaphore(MAX_PARALLEL_READS)
        tasks = [
            asyncio.ensure_future(self._read_part(part, gate))
            for part in self.parts
        ]
        try:
            pages_of_parts = await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        pages = [page for pages in pages_of_parts for page in pages]
        loaded_by_key = {row.name: row for page in pages for row in page.rows}
        # The first version: rows may have changed while others were read.
        first_version = min(page.version for page in pages)
        for name in [
            key for key in self.row_by_key if key not in loaded_by_key
        ]:
            self.apply_row(rows.Row(name, None, first_version))
        # Of rows that replace each other, the newest comes last.
        for row in sorted(loaded_by_key.values(), key=lambda row: row.version):
            self.apply_row(row)
        self.version = max(self.version, first_version)
        self.loaded = True
        self.fresh_at = requested_at

    async def _read_part(
        self, part: str, gate: asyncio.Semaphore
    ) -> list[rows.Page]:
        """Return the pages of a part; raise TableError."""
        pages: list[rows.Page] = []
        start = ''
        while True:
            async with gate:
                page = await self.table.read(
                    rows.Range(self.name, part, start)
                )
            if page.version < self.version:
                # It may show rows that were removed since.
                raise rows.TableError('read is older than the copy', False)
            pages.append(page)
            if not page.has_more or not page.rows:
                return pages
            start = page.rows[-1].name.key + '\0'

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        # The copy is confirmed at least once in this time.
        age_ms = min(self.get_confirmed_age_ms(), self.wait_ms)
        wait_ms = int(self.wait_ms - age_ms)
        changes = await self.table.follow(self.name, self.version, wait_ms)
        for row in changes.rows:
            self.apply_row(row)
        self.version = max(self.version, changes.version)
        self.fresh_at = loop.time()
        self.pace.record(len(changes.rows), self.fresh_at)
        self.confirmed_at = sent_at
        has_waited = self.fresh_at - sent_at >= wait_ms / 1000
        if has_waited and not changes.rows:
            # The service found no change up to the end of the wait.
            self.confirmed_at += wait_ms / 1000
