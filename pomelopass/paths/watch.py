"""Probe links that are silent or lost."""

import asyncio
import random

from . import book as books
from . import ports
from ..registry import registry as registries
from . import search as searches

__all__ = ['PathWatch']

INTERVAL_MS = 150.0
# Time without a byte from any endpoint while requests to several wait.
SILENCE_MS = 200.0
# The same for a single endpoint, which may just be slow.
SINGLE_SILENCE_MS = 500.0
# Requests over a lost link are aborted after so much silence.
BREAK_MS = 400.0
# No probes for silence for this time after one that succeeded.
PROBE_SUCCESS_TTL_MS = 600.0
LOST_PROBE_INTERVAL_MS = 300.0
MAX_SILENT_PROBES = 2
MAX_LOST_PROBES = 8
# Endpoints that did not fail, to distinguish a lost link from lost endpoints.
MAX_OTHER_PROBES = 2


class PathWatch:
    """Task that notices lost links and links that work again.

    It sleeps while no request is in flight and no link is in doubt.
    """

    def __init__(
        self,
        book: books.PathBook,
        direct: ports.DirectPort,
        registry: registries.Registry,
        search: searches.PeerSearch,
        rng: random.Random,
    ):
        self.book = book
        self.direct = direct
        self.search = search
        self.registry = registry
        self.rng = rng
        self.needed = asyncio.Event()
        self.next_silence_probe_at = float('-inf')
        self.next_lost_probe_at = float('-inf')

    def wake(self) -> None:
        """Start watching a request that is in flight."""
        self.needed.set()

    async def run(self) -> None:
        """Probe while there is a reason, until cancelled."""
        while True:
            await self.needed.wait()
            self.needed.clear()
            while self._is_needed():
                await asyncio.sleep(INTERVAL_MS / 1000)
                await self._check()

    def _is_needed(self) -> bool:
        return bool(
            self.book.failed_ids
            or self.book.lost_ids
            or self.book.is_cut_off
            or self.direct.get_silent_ids(0.0)
        )

    async def _check(self) -> None:
        now = asyncio.get_running_loop().time()
        ids = self._choose_silent(now) | self._choose_lost(now)
        await asyncio.gather(
            *(self._probe(endpoint_id) for endpoint_id in ids)
        )
        if not self.book.is_cut_off:
            return
        for endpoint_id in self.direct.get_silent_ids(BREAK_MS):
            self._break_silent(endpoint_id)
        await self.search.run()

    def _choose_silent(self, now: float) -> set[str]:
        received_ms_ago = (now - self.direct.received_at) * 1000
        if received_ms_ago < SILENCE_MS or now < self.next_silence_probe_at:
            return set()
        silent_ids = self.direct.get_silent_ids(SILENCE_MS)
        if len(silent_ids) == 1:
            silent_ids = self.direct.get_silent_ids(SINGLE_SILENCE_MS)
        return set(sorted(silent_ids)[:MAX_SILENT_PROBES])

    def _choose_lost(self, now: float) -> set[str]:
        book = self.book
        in_doubt = book.failed_ids | book.lost_ids
        if now < self.next_lost_probe_at or not (in_doubt or book.is_cut_off):
            return set()
        self.next_lost_probe_at = now + LOST_PROBE_INTERVAL_MS / 1000
        other_ids = [
            endpoint_id
            for endpoint_id in self.registry.state_by_id
            if endpoint_id not in in_doubt
        ]
        return {
            *self._sample(sorted(in_doubt), MAX_LOST_PROBES),
            *self._sample(other_ids, MAX_OTHER_PROBES),
        }

    def _sample(self, ids: list[str], count: int) -> list[str]:
        return self.rng.sample(ids, min(count, len(ids)))

    async def _probe(self, endpoint_id: str) -> None:
        state = self.registry.state_by_id.get(endpoint_id)
        if state is None:
            self.book.forget(endpoint_id)
            return
        if await self.direct.can_connect(state.endpoint):
            now = asyncio.get_running_loop().time()
            self.next_silence_probe_at = now + PROBE_SUCCESS_TTL_MS / 1000
            self.book.record_reached(endpoint_id)
            return
        self.book.record_failure(endpoint_id)
        self._break_silent(endpoint_id)

    def _break_silent(self, endpoint_id: str) -> None:
        state = self.registry.state_by_id.get(endpoint_id)
        if state is not None:
            self.direct.break_silent(state.endpoint, BREAK_MS)
