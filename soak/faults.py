"""Inject series of faults that overlap, chosen by a seed."""

import asyncio
from collections import abc
import dataclasses
import random
import signal

from scripts import entryfleet
from soak import proxy

__all__ = ['Injector']

PAUSE_MIN_S = 0.2
PAUSE_MAX_S = 1.5
LAST_MIN_S = 0.3
LAST_MAX_S = 5.0


@dataclasses.dataclass(slots=True)
class Injector:
    """Hold what faults can hit, and those that came.

    An instance's proxy is its way to the table, an endpoint's the way of all
    instances to it.
    """

    fleet: entryfleet.EntryFleet
    proxy_by_name: dict[str, proxy.Proxy]
    rng: random.Random
    post: abc.Callable[[str, dict], abc.Awaitable[None]]
    note: abc.Callable[[str], None]
    busy: set[str] = dataclasses.field(default_factory=set)

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then undo them all."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        kinds = (
            self._kill,
            self._kill,
            self._stop,
            self._freeze,
            self._harm_way,
            self._harm_way,
            self._harm_table,
            self._harm_endpoint,
            self._kill_many,
        )
        tasks = set()
        while loop.time() < end:
            one = asyncio.ensure_future(self.rng.choice(kinds)())
            tasks.add(one)
            await asyncio.sleep(self.rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S))
        await asyncio.gather(*tasks)
        for one in self.proxy_by_name.values():
            one.mend()
        await self._set_table()

    def get_last_s(self) -> float:
        """Return how long a fault lasts."""
        return self.rng.uniform(LAST_MIN_S, LAST_MAX_S)

    def _take_instance(self) -> str | None:
        free = sorted(set(self.fleet.popen_by_name) - self.busy)
        return self.rng.choice(free) if free else None

    async def _kill(self) -> None:
        await self._end(signal.SIGKILL)

    async def _stop(self) -> None:
        await self._end(signal.SIGTERM)

    async def _end(self, number: int) -> None:
        name = self._take_instance()
        if name is None:
            return
        self.busy.add(name)
        self.note(f'{signal.Signals(number).name} {name}')
        self.fleet.signal(name, number)
        popen = self.fleet.popen_by_name[name]
        while popen.poll() is None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(self.get_last_s() / 3)
        self.fleet.start_entry(name)
        await asyncio.sleep(1.0)
        self.busy.discard(name)

    async def _kill_many(self) -> None:
        if self.rng.random() < 0.5:
            return
        self.note('several kills at once')
        names = len(self.fleet.popen_by_name)
        await asyncio.gather(*(self._kill() for _ in range(names)))

    async def _freeze(self) -> None:
        name = self._take_instance()
        if name is None:
            return
        self.busy.add(name)
        last_s = self.get_last_s()
        self.note(f'freeze {name} for {last_s:.1f} s')
        self.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(last_s)
        self.fleet.signal(name, signal.SIGCONT)
        self.busy.discard(name)

    async def _harm_way(self) -> None:
        name = self.rng.choice(sorted(self.proxy_by_name))
        one = self.proxy_by_name[name]
        kind = self.rng.choice(
            ('delay_s', 'cut_out', 'cut_back', 'refuse', 'reset')
        )
        last_s = self.get_last_s()
        self.note(f'{kind} on the way of {name} for {last_s:.1f} s')
        if kind == 'reset':
            one.reset_all()
            return
        value = self.rng.uniform(0.01, 0.4) if kind == 'delay_s' else True
        setattr(one, kind, value)
        if kind in ('cut_out', 'cut_back') and self.rng.random() < 0.5:
            one.cut_out = one.cut_back = True
        await asyncio.sleep(last_s)
        one.mend()

    async def _harm_table(self) -> None:
        if 'table' in self.busy:
            return
        self.busy.add('table')
        faults = self.rng.choice(
            (
                {'down': True},
                {'silent': True},
                {'lose_answers': 0.4},
                {'late_writes': 0.3},
                {'slowness': 40.0},
                {'forget_history': True},
            )
        )
        last_s = self.get_last_s()
        self.note(f'table: {faults} for {last_s:.1f} s')
        await self._set_table(**faults)
        await asyncio.sleep(last_s)
        await self._set_table()
        self.busy.discard('table')

    async def _set_table(self, **faults: object) -> None:
        calm = {
            'down': False,
            'silent': False,
            'lose_answers': 0.0,
            'late_writes': 0.0,
            'slowness': 1.0,
        }
        await self.post('/faults', {**calm, **faults})

    async def _harm_endpoint(self) -> None:
        endpoint = self.rng.choice(('engine-0', 'engine-1', 'desk-0'))
        if endpoint in self.busy:
            return
        self.busy.add(endpoint)
        name, bad, good = self.rng.choice(
            (
                ('slowness', 8.0, 1.0),
                ('break_share', 0.5, 0.0),
                ('lose_share', 0.3, 0.0),
                ('error_share', 0.2, 0.0),
                ('alive', False, True),
                ('draining', True, False),
            )
        )
        last_s = self.get_last_s()
        self.note(f'{endpoint}: {name} {bad} for {last_s:.1f} s')
        await self.post('/endpoint', {'id': endpoint, name: bad})
        await asyncio.sleep(last_s)
        await self.post('/endpoint', {'id': endpoint, name: good})
        self.busy.discard(endpoint)
