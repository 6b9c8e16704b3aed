"""Inject overlapping random faults, reproducible by a seed."""

import asyncio
from collections import abc
import dataclasses
import pathlib
import random
import signal
import time

from scripts import entryfleet
from soak import disturbance
from soak import proxy

__all__ = ['Injector']

PAUSE_MIN_S = 0.2
PAUSE_MAX_S = 1.5
FAULT_MIN_S = 0.3
FAULT_MAX_S = 5.0
# Longer than a head of the stand-ins.
MAX_CUT_BYTES = 200
REPLACE_RETRY_S = 0.1


@dataclasses.dataclass(slots=True)
class Injector:
    """Injector of faults into instances, connections, table and endpoints.

    An instance's proxy carries its connections to the table; an endpoint's
    proxy carries the connections of all instances to that endpoint.
    """

    fleet: entryfleet.EntryFleet
    proxy_by_name: dict[str, proxy.Proxy]
    rng: random.Random
    post: abc.Callable[[str, dict], abc.Awaitable[None]]
    record: abc.Callable[[str], None]
    # Sends requests to an instance until it is gone.
    stay: abc.Callable[[str], abc.Awaitable[None]]
    faulty_targets: set[str] = dataclasses.field(default_factory=set)
    # Builds that run in turn on an instance, the one that replaces it first.
    builds: tuple[pathlib.Path | None, ...] = ()
    disturbances: list[disturbance.Disturbance] = dataclasses.field(
        default_factory=list
    )

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then clear them all."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        injections = (
            self._kill,
            self._kill,
            self._freeze,
            self._inject_connection_fault,
            self._inject_connection_fault,
            self._inject_table_fault,
            self._inject_endpoint_fault,
            self._kill_many,
        )
        tasks = set()
        if self.builds:
            tasks.add(asyncio.ensure_future(self._replace_builds(seconds)))
        else:
            # Earlier builds do not bear these.
            injections += (
                self._stop,
                self._cut_off_endpoints,
                self._cut_reply,
                self._leave,
            )
        while loop.time() < end:
            task = asyncio.ensure_future(self.rng.choice(injections)())
            tasks.add(task)
            await asyncio.sleep(self.rng.uniform(PAUSE_MIN_S, PAUSE_MAX_S))
        await asyncio.gather(*tasks)
        cleared = self.disturb(None)
        for faulty_proxy in self.proxy_by_name.values():
            faulty_proxy.clear_faults()
        await self._set_table()
        cleared.end()

    def disturb(self, name: str | None) -> disturbance.Disturbance:
        """Record a disturbance of an instance, or of all, that begins now."""
        begun = disturbance.Disturbance(name, time.time())
        self.disturbances.append(begun)
        return begun

    async def _replace_builds(self, seconds: float) -> None:
        """Replace each instance by the next build, one after the other."""
        names = sorted(self.fleet.settings_by_name)
        pause_s = seconds / (len(names) * len(self.builds) + 1)
        tasks = []
        for build in self.builds:
            for name in names:
                await asyncio.sleep(pause_s)
                tasks.append(asyncio.ensure_future(self._replace(name, build)))
        await asyncio.gather(*tasks)

    async def _replace(self, name: str, build: pathlib.Path | None) -> None:
        while name in self.faulty_targets:
            await asyncio.sleep(REPLACE_RETRY_S)
        self.record(f'{name} is replaced by {build or "the present build"}')
        if build is None:
            self.fleet.build_by_name.pop(name, None)
        else:
            self.fleet.build_by_name[name] = build
        await self._signal_and_restart(signal.SIGTERM, name=name)

    def get_duration_s(self) -> float:
        """Return a random duration for a fault."""
        return self.rng.uniform(FAULT_MIN_S, FAULT_MAX_S)

    def _choose_instance(self) -> str | None:
        free = sorted(set(self.fleet.popen_by_name) - self.faulty_targets)
        return self.rng.choice(free) if free else None

    async def _kill(self) -> None:
        await self._signal_and_restart(signal.SIGKILL)

    async def _stop(self) -> None:
        await self._signal_and_restart(signal.SIGTERM, self.stay)

    async def _signal_and_restart(
        self,
        number: int,
        stay: abc.Callable[[str], abc.Awaitable[None]] | None = None,
        name: str | None = None,
    ) -> None:
        name = name or self._choose_instance()
        if name is None:
            return
        self.faulty_targets.add(name)
        disturbed = self.disturb(name)
        self.record(f'{signal.Signals(number).name} {name}')
        self.fleet.signal(name, number)
        popen = self.fleet.popen_by_name[name]
        if stay is not None:
            await stay(name)
        while popen.poll() is None:
            await asyncio.sleep(0.1)
        await asyncio.sleep(self.get_duration_s() / 3)
        self.fleet.start_entry(name)
        disturbed.end()
        await asyncio.sleep(1.0)
        self.faulty_targets.discard(name)

    async def _kill_many(self) -> None:
        if self.rng.random() < 0.5:
            return
        self.record('several instances killed at once')
        count = len(self.fleet.popen_by_name)
        await asyncio.gather(*(self._kill() for _ in range(count)))

    async def _freeze(self) -> None:
        name = self._choose_instance()
        if name is None:
            return
        self.faulty_targets.add(name)
        duration_s = self.get_duration_s()
        self.record(f'freeze {name} for {duration_s:.1f} s')
        disturbed = self.disturb(name)
        self.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.fleet.signal(name, signal.SIGCONT)
        disturbed.end()
        self.faulty_targets.discard(name)

    async def _inject_connection_fault(self) -> None:
        name = self.rng.choice(sorted(self.proxy_by_name))
        faulty_proxy = self.proxy_by_name[name]
        kind = self.rng.choice(
            ('delay_s', 'stall_requests', 'stall_replies', 'refuse', 'reset')
        )
        duration_s = self.get_duration_s()
        self.record(f'{kind} at the proxy of {name} for {duration_s:.1f} s')
        disturbed = self.disturb(name)
        if kind == 'reset':
            faulty_proxy.reset_all()
            disturbed.end()
            return
        value = self.rng.uniform(0.01, 0.4) if kind == 'delay_s' else True
        setattr(faulty_proxy, kind, value)
        if (
            kind in ('stall_requests', 'stall_replies')
            and self.rng.random() < 0.5
        ):
            faulty_proxy.stall_requests = faulty_proxy.stall_replies = True
        await asyncio.sleep(duration_s)
        faulty_proxy.clear_faults()
        disturbed.end()

    def _get_endpoint_proxies(self) -> list[proxy.Proxy]:
        return [
            endpoint_proxy
            for name, endpoint_proxy in self.proxy_by_name.items()
            if name not in self.fleet.settings_by_name
        ]

    async def _cut_off_endpoints(self) -> None:
        """Cut one instance off all endpoints, or most or all at times."""
        names = sorted(self.fleet.settings_by_name)
        most = len(names) - 1
        count = self.rng.choice((1, 1, 1, most, len(names)))
        names = self.rng.sample(names, count)
        kind = self.rng.choice(proxy.CUT_KINDS)
        duration_s = self.get_duration_s()
        self.record(f'cut {names} off endpoints: {kind}, {duration_s:.1f} s')
        for endpoint_proxy in self._get_endpoint_proxies():
            for name in names:
                endpoint_proxy.cut_owner(name, kind)
        await asyncio.sleep(duration_s)
        for endpoint_proxy in self._get_endpoint_proxies():
            for name in names:
                endpoint_proxy.heal_owner(name)

    async def _cut_reply(self) -> None:
        """End the connection of one reply within its head, or after it."""
        endpoint_proxy = self.rng.choice(self._get_endpoint_proxies())
        endpoint_proxy.cut_reply_after = self.rng.randrange(MAX_CUT_BYTES)
        self.record(f'cut a reply after {endpoint_proxy.cut_reply_after} B')

    async def _leave(self) -> None:
        """Let an endpoint say that it leaves, then start it again."""
        endpoint = self.rng.choice(('engine-2', 'desk-1'))
        if endpoint in self.faulty_targets:
            return
        self.faulty_targets.add(endpoint)
        duration_s = self.get_duration_s()
        self.record(f'{endpoint} says that it leaves for {duration_s:.1f} s')
        await self.post('/endpoint', {'id': endpoint, 'says_leaving': True})
        await asyncio.sleep(duration_s)
        changes = {
            'id': endpoint,
            'says_leaving': False,
            'started_at_ms': self.rng.randrange(2, 10**9),
        }
        await self.post('/endpoint', changes)
        self.faulty_targets.discard(endpoint)

    async def _inject_table_fault(self) -> None:
        if 'table' in self.faulty_targets:
            return
        self.faulty_targets.add('table')
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
        duration_s = self.get_duration_s()
        self.record(f'table: {faults} for {duration_s:.1f} s')
        disturbed = self.disturb(None)
        await self._set_table(**faults)
        await asyncio.sleep(duration_s)
        await self._set_table()
        disturbed.end()
        self.faulty_targets.discard('table')

    async def _set_table(self, **faults: object) -> None:
        no_faults = {
            'down': False,
            'silent': False,
            'lose_answers': 0.0,
            'late_writes': 0.0,
            'slowness': 1.0,
        }
        await self.post('/faults', {**no_faults, **faults})

    async def _inject_endpoint_fault(self) -> None:
        endpoint = self.rng.choice(('engine-0', 'engine-1', 'desk-0'))
        if endpoint in self.faulty_targets:
            return
        self.faulty_targets.add(endpoint)
        setting, faulty_value, normal_value = self.rng.choice(
            (
                ('slowness', 8.0, 1.0),
                ('break_share', 0.5, 0.0),
                ('lose_share', 0.3, 0.0),
                ('error_share', 0.2, 0.0),
                ('alive', False, True),
                ('draining', True, False),
            )
        )
        duration_s = self.get_duration_s()
        self.record(
            f'{endpoint}: {setting} {faulty_value} for {duration_s:.1f} s'
        )
        await self.post('/endpoint', {'id': endpoint, setting: faulty_value})
        await asyncio.sleep(duration_s)
        await self.post('/endpoint', {'id': endpoint, setting: normal_value})
        self.faulty_targets.discard(endpoint)
