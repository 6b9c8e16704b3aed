"""Run one soak: processes, faults, callers and checks."""

import asyncio
import json
import pathlib
import random

from pomelopass.edges import httpclient
from pomelopass import message
from scripts import entryfleet
from soak import checks
from soak import clients
from soak import faults
from soak import proxy
from tests import entrybuilders

__all__ = ['run_soak']

ZONES = ('north', 'middle', 'south')
SETTLE_S = 45.0
NAME_EVERY_S = 2.5
CONFIGURATION_EVERY_S = 1.5


class _Soak:
    def __init__(self, folder: pathlib.Path, seed: int, instances: int):
        self.rng = random.Random(seed)
        self.seed = seed
        self.instances = instances
        self.fleet = entryfleet.EntryFleet(folder, ZONES)
        self.http = httpclient.HttpClient()
        self.proxy_by_name: dict[str, proxy.Proxy] = {}
        self.failures: list[str] = []
        self.events: list[str] = []

    def fail(self, what: str) -> None:
        if what not in self.failures:
            self.failures.append(what)

    def note(self, what: str) -> None:
        now = asyncio.get_running_loop().time()
        self.events.append(f'{now:.2f} {what}')

    async def post(self, target: str, value: dict) -> None:
        request = message.Request(
            'POST', target, (), json.dumps(value).encode()
        )
        address = self.fleet.platform.address
        reply = await self.http.open(address, request, 5000.0)
        await reply.read(65_536)

    async def run(self, seconds: float) -> list[str]:
        with self.fleet:
            await self._start()
            names = sorted(self.fleet.settings_by_name)
            callers = clients.Clients(
                {name: self.fleet.get_address(name) for name in names},
                entrybuilders.HOST,
                entrybuilders.MODEL,
                self.rng,
                self.fail,
                _make_job,
            )
            injector = faults.Injector(
                self.fleet, self.proxy_by_name, self.rng, self.post, self.note
            )
            operator = asyncio.ensure_future(self._operate())
            await asyncio.gather(callers.run(seconds), injector.run(seconds))
            operator.cancel()
            await self._settle(callers)
            await self._check(callers)
            for way in self.proxy_by_name.values():
                await way.stop()
        return self.failures

    async def _start(self) -> None:
        await asyncio.to_thread(
            self.fleet.start_platform, '--seed', str(self.seed)
        )
        await self._put_configuration(1)
        for number in range(self.instances):
            name = f'entry-{number}'
            way = proxy.Proxy(self.fleet.platform.address)
            await way.start()
            self.proxy_by_name[name] = way
            self.fleet.start_entry(name, table_address=way.address)
        await self._put_proxies_before_endpoints()
        await asyncio.to_thread(self.fleet.wait_ready)

    async def _put_proxies_before_endpoints(self) -> None:
        seen = await asyncio.to_thread(self.fleet.get_endpoint_records)
        seen.pop('events')
        for endpoint_id, one in seen.items():
            way = proxy.Proxy(one['address'])
            await way.start()
            self.proxy_by_name[endpoint_id] = way
            await self.post(
                '/endpoint', {'id': endpoint_id, 'address': way.address}
            )

    async def _put_configuration(self, version: int) -> None:
        value = entrybuilders.make_configuration(version=version)
        row = {'table': 'op', 'key': 'config', 'value': value}
        await self.post('/rows', row)

    async def _operate(self) -> None:
        version = 1
        while True:
            await asyncio.sleep(NAME_EVERY_S)
            version += 1
            named = {'model': entrybuilders.MODEL, 'version': version}
            key = f'version/{entrybuilders.MODEL}'
            await self.post(
                '/rows', {'table': 'op', 'key': key, 'value': named}
            )
            await self._put_configuration(version)

    async def _settle(self, callers: clients.Clients) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + SETTLE_S
        while loop.time() < end:
            open_jobs = [
                one
                for one in callers.job_by_id.values()
                if one.accepted
                and len(one.result_by_position) < len(one.submission.items)
            ]
            if not open_jobs:
                return
            for one in open_jobs:
                await callers.read(one.submission.id)
            await asyncio.sleep(0.1)

    async def _check(self, callers: clients.Clients) -> None:
        seen = await asyncio.to_thread(self.fleet.get_endpoint_records)
        checks.check_jobs(callers.job_by_id.values(), seen, self.fail)
        checks.check_orders(callers.status_by_order, seen, self.fail)
        checks.check_streams(callers, seen, self.fail)
        checks.check_seen(seen, self.fail)
        accepted = sum(one.accepted for one in callers.job_by_id.values())
        served = sum(
            status == 200 for status in callers.status_by_order.values()
        )
        self.note(
            f'{accepted} of {len(callers.job_by_id)} jobs accepted, '
            f'{served} of {len(callers.status_by_order)} orders and '
            f'{callers.answered} requests answered, '
            f'{len(callers.events_by_stream)} streams whole'
        )
        streamed = callers.events_by_stream
        if not (accepted and served and callers.answered and streamed):
            self.fail('nothing was served')


def _make_job(job_id: str):
    submission = entrybuilders.make_submission(job_id, groups=3, size=3)
    return submission, entrybuilders.make_job_body(submission)


def run_soak(
    folder: pathlib.Path, seed: int, seconds: float, instances: int
) -> tuple[list[str], list[str]]:
    """Return the failures and the events of one run."""
    soak = _Soak(folder, seed, instances)
    failures = asyncio.run(soak.run(seconds))
    return failures, soak.events
