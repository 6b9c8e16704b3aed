"""Run one soak test: processes, faults, callers and checks."""

import asyncio
from collections import abc
import json
import pathlib
import random
import time

from pomelopass.edges import httpclient
from pomelopass import message
from scripts import builds
from scripts import entryfleet
from soak import checks
from soak import clients
from soak import crowd
from soak import disturbance
from soak import faults
from soak import proxy
from soak import sockets
from soak import stopcaller
from soak import workspaces
from tests import entrybuilders

__all__ = ['run_soak']

ZONES = ('north', 'middle', 'south')
SETTLE_S = 45.0
DUTY_SETTINGS = {
    'duties': ['usage_report'],
    'duty_calls_per_s': 50,
    'usage_window_s': 1,
    'usage_late_s': 10,
}
VERSION_EVERY_S = 2.5
CONFIGURATION_EVERY_S = 1.5
# Engines of a new software version join after this share of a run.
RELEASE_AT_SHARE = 0.4
# The faults of a shorter run may leave no time in which all are served.
SERVED_AFTER_S = 12.0
MAX_CHANGES_AT_REST = 5
REST_MARGIN_S = 0.5
STALL_CHECK_S = 0.2
MAX_STALL_S = 0.5
# A connection may not open while the machine is busy.
POST_ATTEMPTS = 5


class _Soak:
    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        instances: int,
        old_commit: str | None = None,
    ):
        self.rng = random.Random(seed)
        self.seed = seed
        self.instances = instances
        self.fleet = entryfleet.EntryFleet(folder, ZONES)
        self.http = httpclient.HttpClient()
        self.proxy_by_name: dict[str, proxy.Proxy] = {}
        self.failures: list[str] = []
        self.events: list[str] = []
        self.acknowledged_at_by_version: dict[int, float] = {}
        self.old_build: pathlib.Path | None = None
        if old_commit is not None:
            self.old_build = builds.extract_build(old_commit, folder)
        self.has_workspaces = old_commit is None
        self.injector: faults.Injector | None = None

    def fail(self, description: str) -> None:
        if description not in self.failures:
            self.failures.append(description)

    def record_event(self, description: str) -> None:
        now = asyncio.get_running_loop().time()
        self.events.append(f'{now:.2f} {description}')

    async def post(self, target: str, value: dict) -> None:
        request = message.Request(
            'POST', target, (), json.dumps(value).encode()
        )
        address = self.fleet.platform.address
        for _ in range(POST_ATTEMPTS):
            try:
                reply = await self.http.open(address, request, 5000.0)
            except message.ExchangeError as error:
                if error.bytes_written:
                    raise
                self.record_event(f'{target}: {error.kind}, sent again')
                continue
            await reply.read(65_536)
            return
        raise TimeoutError(f'The platform took no {target}.')

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
                # Builds before the present one join such streams.
                omits_ids=self.old_build is None,
                # Earlier builds do not support workspaces.
                get_key=workspaces.get_key if self.has_workspaces else None,
            )
            self.injector = faults.Injector(
                self.fleet,
                self.proxy_by_name,
                self.rng,
                self.post,
                self.record_event,
                lambda name: stopcaller.send_until_gone(callers, name),
                # Replaced by the present build, then back by the old one.
                builds=(None, self.old_build) if self.old_build else (),
            )
            operator = asyncio.ensure_future(self._operate())
            release = asyncio.ensure_future(self._release(seconds))
            stall_watch = asyncio.ensure_future(self._record_stalls())
            opened, *_ = await asyncio.gather(
                self._run_crowd(names, seconds),
                callers.run(seconds),
                self.injector.run(seconds),
            )
            self.record_event(f'{opened} connections of a crowd')
            operator.cancel()
            await release
            self._check_served(callers, seconds)
            await self._settle(callers)
            await self._change_at_rest(callers)
            if self.has_workspaces:
                await workspaces.check_removed_keys(
                    callers,
                    self._put_next_version,
                    checks.APPLY_LIMIT_S + REST_MARGIN_S,
                    self.fail,
                )
            for unserved in await callers.ask_each():
                self.fail(f'{unserved} were not served at rest')
            await self._settle(callers)
            await self._check(callers)
            stall_watch.cancel()
            await callers.http.close()
            await self.http.close()
            for running_proxy in self.proxy_by_name.values():
                await running_proxy.stop()
        return self.failures

    async def _run_crowd(self, names: list[str], seconds: float) -> int:
        # Its choices do not change those of the faults of a seed.
        rng = random.Random(self.seed)
        addresses = [
            self.fleet.get_address(name, kind)
            for name in names
            for kind in ('caller_address', 'directory_address')
        ]
        return await crowd.run_crowd(
            addresses, entrybuilders.HOST, rng, seconds
        )

    async def _start(self) -> None:
        await asyncio.to_thread(
            self.fleet.start_platform, '--seed', str(self.seed)
        )
        await self._put_configuration(1)
        for endpoint_id, software in clients.SOFTWARE_BY_ENGINE.items():
            joins_later = (
                software != clients.OLD_SOFTWARE and self.old_build is None
            )
            await self.post(
                '/endpoint',
                {
                    'id': endpoint_id,
                    'software': software,
                    'alive': not joins_later,
                },
            )
        for number in range(self.instances):
            name = f'entry-{number}'
            table_proxy = proxy.Proxy(self.fleet.platform.address)
            await table_proxy.start()
            self.proxy_by_name[name] = table_proxy
            if self.old_build is not None:
                self.fleet.build_by_name[name] = self.old_build
            self.fleet.start_entry(
                name,
                table_address=table_proxy.address,
                **self._get_duty_settings(),
                # For the audit of the logs.
                log_level='DEBUG',
            )
        await self._insert_endpoint_proxies()
        await asyncio.to_thread(self.fleet.wait_ready)

    def _get_duty_settings(self) -> dict[str, object]:
        if self.old_build is not None:
            # Builds before the present one have no such settings.
            return {}
        return {**DUTY_SETTINGS, 'duty_address': self.fleet.platform.address}

    async def _insert_endpoint_proxies(self) -> None:
        records = await asyncio.to_thread(self.fleet.get_endpoint_records)
        records.pop('events')
        for endpoint_id, record in records.items():
            endpoint_proxy = proxy.Proxy(record['address'], self._find_owner)
            await endpoint_proxy.start()
            self.proxy_by_name[endpoint_id] = endpoint_proxy
            await self.post(
                '/endpoint',
                {'id': endpoint_id, 'address': endpoint_proxy.address},
            )

    def _find_owner(self, port: int, peer_port: int) -> str | None:
        pid_by_name = {
            name: popen.pid for name, popen in self.fleet.popen_by_name.items()
        }
        return sockets.find_owner(port, peer_port, pid_by_name)

    async def _put_configuration(self, version: int) -> None:
        value = entrybuilders.make_configuration(version=version)
        if self.has_workspaces:
            value['tenants'] = workspaces.make_workspaces(version)
        row = {'table': 'op', 'key': 'config', 'value': value}
        await self.post('/rows', row)
        self.acknowledged_at_by_version[version] = time.time()

    async def _put_next_version(self) -> int:
        version = max(self.acknowledged_at_by_version) + 1
        await self._put_configuration(version)
        return version

    async def _operate(self) -> None:
        version = 1
        while True:
            await asyncio.sleep(VERSION_EVERY_S)
            version += 1
            target_row = {'model': entrybuilders.MODEL, 'version': version}
            key = f'version/{entrybuilders.MODEL}'
            await self.post(
                '/rows', {'table': 'op', 'key': key, 'value': target_row}
            )
            await self._put_configuration(version)

    async def _release(self, seconds: float) -> None:
        """Let engines of another software version join during the run.

        Beside an old build they serve from the start.
        """
        if self.old_build is not None:
            return
        await asyncio.sleep(seconds * RELEASE_AT_SHARE)
        for endpoint_id, software in clients.SOFTWARE_BY_ENGINE.items():
            if software != clients.OLD_SOFTWARE:
                await self.post(
                    '/endpoint', {'id': endpoint_id, 'alive': True}
                )
                self.record_event(f'{endpoint_id} joins with {software}')

    async def _record_stalls(self) -> None:
        """Record when the soak, which carries all connections, stood still."""
        loop = asyncio.get_running_loop()
        while True:
            woken_at = loop.time()
            await asyncio.sleep(STALL_CHECK_S)
            stall_s = loop.time() - woken_at - STALL_CHECK_S
            if stall_s > MAX_STALL_S:
                self.record_event(f'the soak stood still for {stall_s:.1f} s')
                self.injector.disturb(None).end()

    def _check_served(self, callers: clients.Clients, seconds: float) -> None:
        served = callers.count_served()
        self.record_event(f'served during the faults: {served}')
        if seconds < SERVED_AFTER_S:
            return
        for kind, count in served.items():
            if not count:
                self.fail(f'{kind} were never served during the faults')

    async def _settle(self, callers: clients.Clients) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + SETTLE_S
        while loop.time() < end:
            open_jobs = [
                job
                for job in callers.job_by_id.values()
                if job.accepted
                and len(job.result_by_position) < len(job.submission.items)
            ]
            if not open_jobs:
                return
            for job in open_jobs:
                await callers.read(job.submission.id)
            await asyncio.sleep(0.1)

    async def _change_at_rest(self, callers: clients.Clients) -> None:
        """Change the configuration until a calm instance had one due.

        The faults of a short run, or pauses of the soak, may leave none.
        """
        for _ in range(MAX_CHANGES_AT_REST):
            await asyncio.sleep(disturbance.STABLE_S - checks.APPLY_LIMIT_S)
            version = await self._put_next_version()
            await asyncio.sleep(checks.APPLY_LIMIT_S + REST_MARGIN_S)
            for name in callers.address_by_name:
                # Its line shows that the instance was in service then.
                await callers.call(
                    name,
                    'POST',
                    '/scores/1',
                    b'{}',
                    attempt_id=f'rest-{version}-{name}',
                )
            if self._count_due_versions(lambda failure: None):
                return

    def _count_due_versions(self, fail: abc.Callable[[str], None]) -> int:
        """Check all versions; return how many were due at calm instances."""
        return checks.check_configurations(
            sorted(self.fleet.folder.glob('entry-*.log')),
            self.acknowledged_at_by_version,
            self.injector.disturbances,
            fail,
        )

    async def _check(self, callers: clients.Clients) -> None:
        records = await asyncio.to_thread(self.fleet.get_endpoint_records)
        checks.check_jobs(callers.job_by_id.values(), records, self.fail)
        checks.check_orders(callers, records, self.fail)
        checks.check_streams(callers, records, self.fail)
        checks.check_engine_orders(records, self.fail)
        checked = 0
        if self.has_workspaces:
            checked = workspaces.check_received(records, self.fail)
        if self.old_build is None:
            duties = await asyncio.to_thread(self.fleet.get_duties)
            checks.check_duties(duties, self.fail)
        logs = sorted(self.fleet.folder.glob('entry-*.log'))
        checks.check_leaving(logs, self.fail)
        checks.check_keys(logs, workspaces.KEYS, self.fail)
        judged = self._count_due_versions(self.fail)
        if not judged:
            self.fail('no version was due at a calm instance')
        served = callers.count_served()
        self.record_event(
            f'{served["jobs"]} of {len(callers.job_by_id)} jobs accepted, '
            f'{served["orders"]} of {len(callers.status_by_order)} orders and '
            f'{served["requests"]} requests answered, '
            f'{served["streams"]} streams completed, '
            f'{callers.resumed} of {callers.taken_up} resumed went on, '
            f'{judged} versions judged, '
            f'{checked} requests checked for their workspace, '
            f'{callers.stolen} with a stolen key, '
            f'{callers.stayed} orders in planned stops, '
            f'{len(callers.cut_orders)} of them cut'
        )


def _make_job(job_id: str):
    submission = entrybuilders.make_submission(job_id, groups=3, size=3)
    return submission, entrybuilders.make_job_body(submission)


def run_soak(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    instances: int,
    old_commit: str | None = None,
) -> tuple[list[str], list[str]]:
    """Return the failures and the recorded events of one run.

    With an old commit, all instances start as that build, are replaced by
    the present one in turn, and then by the old one again.
    """
    soak = _Soak(folder, seed, instances, old_commit)
    failures = asyncio.run(soak.run(seconds))
    return failures, soak.events
