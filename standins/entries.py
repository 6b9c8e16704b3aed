"""Run complete entry instances against the in-memory platform."""

import asyncio
from collections import abc
import dataclasses
import logging
import random

import orjson

from pomelopass.entry import connecttimes
from pomelopass.entry import node as nodes
from pomelopass.entry import settings as entrysettings
from pomelopass.entry import usageparts
from pomelopass.fleet import member
from pomelopass.jobs import api as jobapi
from pomelopass.jobs import job as jobs
from pomelopass.limits import allocator
from pomelopass.limits import book as limitbooks
from pomelopass.limits import sharing
from pomelopass.paths import peers as peerbooks
from pomelopass.paths import tunnelclient
from pomelopass.platform import dutyclient
from pomelopass.registry import endpoint as endpoints
from pomelopass.reporting import logevents
from pomelopass.requests import call as calls
from pomelopass.table import fallback
from pomelopass.table import relay
from pomelopass.table import rows
from standins import dutyapi
from standins import links as instancelinks
from standins import modelengines
from standins import rowtable
from standins import tablerelays

__all__ = ['Entry', 'EntryCluster']

READ_WAIT_MS = 1000.0
PEER_ANSWER_S = 0.01
# UTC at the start of the loop's clock, within a window of usage reports.
UTC_START_MS = 1_700_000_001_300.0
DUTY_SETTINGS = {
    'duty_address': '10.0.0.3:80',
    'duty_calls_per_s': 50,
    'usage_window_s': 5,
    'usage_late_s': 10,
}


@dataclasses.dataclass(slots=True)
class Entry:
    """A running entry instance, its table client, links and log events."""

    node: nodes.Node
    client: rowtable.RowClient
    links: instancelinks.InstanceLinks
    events: list[dict]
    alive: bool = True
    # Whether calls of peers fail.
    unreachable: bool = False
    # Links to the platform's API for duties, where there is one.
    duties: dutyapi.DutyLinks | None = None


class EntryCluster:
    """Entry instances, table and endpoints of one run."""

    def __init__(
        self,
        seed: int,
        make_write_event: abc.Callable[[list[dict]], logevents.WriteEvent]
        | None = None,
        relays: bool = False,
        duty_api: dutyapi.DutyApi | None = None,
    ):
        self.duty_api = duty_api
        # How far the wall clock of an instance is from UTC, by name.
        self.skew_ms_by_name: dict[str, float] = {}
        self.make_write_event = make_write_event or _make_recorder
        # Whether instances relay table calls of their peers.
        self.relays = relays
        self.rng = random.Random(seed)
        self.service = rowtable.RowService()
        self.pool = modelengines.EndpointPool(self.service, self.rng)
        self.entry_by_name: dict[str, Entry] = {}
        self.start_count = 0

    def put_configuration(self, value: dict) -> None:
        """Write a configuration as the operator does."""
        self.service.put('op', 'config', orjson.dumps(value))

    def set_target_version(self, model: str, version: int) -> None:
        """Set the target weight version of a model as a trainer does."""
        target = {'model': model, 'version': version}
        self.service.put('op', f'version/{model}', orjson.dumps(target))

    def start(self, name: str, zone: str = 'north', **settings) -> Entry:
        """Start an instance, or restart it with a new incarnation."""
        self.start_count += 1
        client = rowtable.RowClient(self.service, self.rng)
        times = connecttimes.ConnectTimes()
        links = instancelinks.InstanceLinks(self.pool, zone, times)
        events: list[dict] = []
        duties, duty_ports = self._make_duty_ports(name)
        ports = nodes.NodePorts(
            table=client,
            fresh_table=client,
            endpoints=links,
            peer_endpoints=_InMemoryPeerEndpoints(self.entry_by_name, links),
            rng=self.rng,
            write_event=self.make_write_event(events),
            get_lease_now=asyncio.get_running_loop().time,
            incarnation=f'{name}-{self.start_count}',
            permit_peers=_InMemoryPeers(self.entry_by_name),
            duties=duty_ports,
            connect_times=times,
        )
        entry_settings = _make_settings(name, zone, settings)
        if self.duty_api is not None:
            entry_settings = entry_settings.model_copy(
                update={
                    **DUTY_SETTINGS,
                    'duties': self.duty_api.duties,
                    'engines_check_fences': self.duty_api.checks_fences,
                }
            )
        node = nodes.build_node(entry_settings, ports)
        if self.relays:
            _set_relays(node, self.entry_by_name, name, self.rng)
        node.start()
        self.entry_by_name[name] = Entry(
            node, client, links, events, duties=duties
        )
        return self.entry_by_name[name]

    def _make_duty_ports(
        self, name: str
    ) -> tuple[dutyapi.DutyLinks | None, usageparts.DutyPorts | None]:
        if self.duty_api is None:
            return None, None
        loop = asyncio.get_running_loop()
        links = dutyapi.DutyLinks(self.duty_api)
        client = dutyclient.DutyClient(
            links,
            DUTY_SETTINGS['duty_address'],
            DUTY_SETTINGS['duty_calls_per_s'],
            self.duty_api.checks_fences,
        )

        def get_utc_ms() -> float:
            skew_ms = self.skew_ms_by_name.get(name, 0.0)
            return loop.time() * 1000 + UTC_START_MS + skew_ms

        return links, usageparts.DutyPorts(client, client, get_utc_ms)

    def kill(self, name: str) -> None:
        """End an instance immediately with all its tasks."""
        entry = self.entry_by_name[name]
        entry.alive = False
        tasks = [
            *entry.node.tasks,
            *entry.node.job_manager.task_by_id.values(),
            *entry.node.job_manager.background,
        ]
        entry.node.limits.permits.stop()
        entry.node.origins.recorder.stop()
        for task in tasks:
            task.cancel()
        # Table calls in flight end with the process.
        entry.node.fallback.paths = fallback.Paths(
            *(_UnansweringTable() for _ in range(4))
        )

    def get_events(self, kind: str) -> list[dict]:
        """Return the events of a kind that all instances logged."""
        return [
            event
            for entry in self.entry_by_name.values()
            for event in entry.events
            if event['event'] == kind
        ]

    async def stop(self) -> None:
        """End all instances."""
        for name, entry in self.entry_by_name.items():
            if entry.alive:
                self.kill(name)
        await asyncio.sleep(0.1)

    async def submit(
        self, name: str, submission: jobs.Submission
    ) -> jobapi.Acceptance:
        """Submit a job to an instance."""
        return await self.entry_by_name[name].node.job_api.accept(submission)

    async def read_all(self, job_id: str, limit_s: float) -> list[jobs.Result]:
        """Read a job's results page by page from random live instances."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limit_s
        results: list[jobs.Result] = []
        while loop.time() < deadline:
            live_entries = [
                entry for entry in self.entry_by_name.values() if entry.alive
            ]
            job_api = self.rng.choice(live_entries).node.job_api
            try:
                page = await job_api.read(job_id, len(results), READ_WAIT_MS)
            except rows.TableError:
                await asyncio.sleep(0.2)
                continue
            if page is None:
                raise AssertionError(f'{job_id} is unknown')
            results.extend(page.results)
            if len(results) == page.total:
                return results
        return results


def _set_relays(
    node: nodes.Node,
    entry_by_name: dict[str, Entry],
    name: str,
    rng: random.Random,
) -> None:
    choice = relay.PeerChoice()
    paths = node.fallback.paths
    paths.relayed = tablerelays.InMemoryRelay(entry_by_name, name, rng, choice)
    paths.second_relayed = tablerelays.InMemoryRelay(
        entry_by_name, name, rng, choice, is_second=True
    )


def _make_recorder(events: list[dict]) -> logevents.WriteEvent:
    loop = asyncio.get_running_loop()

    def write_event(event: logevents.Event) -> None:
        # The default log level leaves out debugging events.
        if event.level < logging.INFO:
            return
        fields = logevents.get_fields(event)
        events.append({'event': event.kind, 'at': loop.time(), **fields})

    return write_event


class _InMemoryPeers:
    """Reserve requests at other instances of the cluster."""

    def __init__(self, entry_by_name: dict[str, Entry]):
        self.entry_by_name = entry_by_name

    async def reserve(
        self,
        peer: member.Member,
        endpoint_id: str,
        limit: limitbooks.NamedLimit,
        count: int,
    ) -> allocator.Reservation:
        """Reserve requests at a peer; raise PeerFailedError."""
        await asyncio.sleep(PEER_ANSWER_S)
        entry = self.entry_by_name[peer.name]
        if not entry.alive or entry.unreachable:
            raise sharing.PeerFailedError('not reachable')
        return entry.node.limits.sharing.allot(endpoint_id, limit, count)


class _InMemoryPeerEndpoints:
    """Call endpoints over the links of other instances of the cluster."""

    def __init__(
        self,
        entry_by_name: dict[str, Entry],
        links: instancelinks.InstanceLinks,
    ):
        self.entry_by_name = entry_by_name
        self.links = links

    async def open(
        self,
        peer: member.Member,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the head of the answer; raise CallFailedError."""
        entry = await self._admit(peer, target)
        try:
            answer = await entry.links.open_for_peer(
                target, call, timeout_ms, stall_ms
            )
        except calls.CallFailedError as error:
            if error.may_have_run:
                raise
            entry.node.paths.tunnels.on_unreachable(target.id)
            kind = peerbooks.ENDPOINT_UNREACHABLE
            raise calls.CallFailedError(kind, False) from None
        if answer.is_leaving:
            self.on_leaving(target)
        return answer

    def set_on_leaving(
        self, on_leaving: abc.Callable[[endpoints.Endpoint], None]
    ) -> None:
        """Set what is called for an endpoint that says that it leaves."""
        self.on_leaving = on_leaving

    async def report_leaving(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> None:
        """Report what an answer over a peer's links said of its endpoint."""
        await asyncio.sleep(PEER_ANSWER_S)
        self.entry_by_name[peer.name].node.paths.tunnels.on_leaving(
            target.id, target.started_at_ms
        )

    async def connect(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> None:
        """Open a connection over a peer; raise CallFailedError."""
        entry = await self._admit(peer, target)
        if not await entry.links.can_connect(target):
            entry.node.paths.tunnels.on_unreachable(target.id)
            raise calls.CallFailedError(peerbooks.ENDPOINT_UNREACHABLE, False)

    async def _admit(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> Entry:
        await asyncio.sleep(PEER_ANSWER_S)
        entry = self.entry_by_name[peer.name]
        zone = entry.node.settings.availability_zone
        is_lost = zone in self.links.lost_zones and zone != self.links.zone
        if not entry.alive or entry.unreachable or is_lost:
            raise calls.CallFailedError('connect-failed', False)
        refusal = entry.node.paths.tunnels.check(target.id)
        if refusal is not None:
            kind = tunnelclient.KIND_BY_OUTCOME[refusal]
            raise calls.CallFailedError(kind, False)
        return entry


class _UnansweringTable:
    def __getattr__(self, name: str):
        async def wait_forever(*arguments):
            await asyncio.Event().wait()

        return wait_forever


def _make_settings(
    name: str, zone: str, settings: dict
) -> entrysettings.EntrySettings:
    return entrysettings.EntrySettings(
        name=name,
        availability_zone=zone,
        caller_address='10.0.0.1:80',
        readiness_address='10.0.0.1:81',
        directory_address='10.0.0.1:82',
        relay_address='10.0.0.1:83',
        table_address='10.0.0.2:80',
        stop_limit_s=8,
        takeover_wait_ms=3000,
        engines_check_fences=True,
        job_kept_s=120,
        directory_ttl_s=1,
        **settings,
    )
