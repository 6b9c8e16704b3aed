"""Build one entry instance from settings and ports."""

import asyncio
from collections import abc
import dataclasses
import random

from ..fleet import beats
from ..fleet import member
from ..jobs import cleanup
from ..jobs import desk as desks
from ..jobs import itemrun
from ..jobs import job as jobs
from ..jobs import jobtable
from ..jobs import keeper as keepers
from ..jobs import rewardgate
from ..jobs import rowcodec
from ..jobs import schedule
from ..platform import feeds
from ..platform import ingress as ingresses
from ..platform import names
from ..registry import registry as registries
from ..requests import call as calls
from ..requests import forward
from ..requests import routes
from ..requests import stream as streams
from ..requests import suspects as suspicions
from . import settings as entrysettings
from ..table import fallback
from ..table import follower as followers
from ..table import relay
from ..table import rows
from . import tableclock
from ..versions import keeper as versionkeepers
from ..versions import leader
from . import view as views

__all__ = ['Node', 'NodePorts', 'build_node']

HOUSEKEEPING_EVERY_MS = 50.0
# Pause after each answer about rows that change with every heartbeat.
BUSY_TABLE_REST_MS = 250.0
JOB_TABLE_REST_MS = 60.0
# Silence of the table service that counts as an outage.
OUTAGE_MS = 1200.0
RESTART_PAUSE_MS = 200.0


class EnginePort(calls.EndpointPort, versionkeepers.OrderPort):
    """Send calls and orders."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodePorts:
    """Bundle what an entry instance needs from outside."""

    table: rows.RowTable
    endpoints: EnginePort
    rng: random.Random
    write_event: abc.Callable[..., None]
    get_lease_now: abc.Callable[[], float]
    incarnation: str


class Node:
    """Hold the parts of one entry instance."""

    def __init__(self, given: entrysettings.EntrySettings, ports: NodePorts):
        self.settings = given
        self.ports = ports
        self.write_event = ports.write_event
        self.membership = member.Membership(given.name)
        self.registry = registries.Registry(ports.write_event)
        self.view = views.View(
            self.membership, self.registry, ports.write_event
        )
        self.relayed = relay.RelayedTable(self._get_relay_addresses, ports.rng)
        self.fallback = fallback.FallbackTable(
            ports.table, self.relayed, ports.write_event
        )
        self.table = tableclock.TableClock(self.fallback)
        self.relay_server = relay.RelayServer(ports.table)
        self.job_table = jobtable.JobTable(self.table)
        self.scheduler = schedule.Scheduler(self.registry)
        self.suspects = suspicions.Suspects()
        self.forwarder = forward.Forwarder(
            self.registry,
            ports.endpoints,
            given.availability_zone,
            ports.rng,
            ports.write_event,
            self.suspects,
        )
        self.gate = rewardgate.RewardGate(self.registry.count_places)
        self.keeper = keepers.Keeper(
            given.name,
            ports.incarnation,
            self.job_table,
            self.membership,
            self._make_item_context,
            ports.write_event,
        )
        self.desk = desks.Desk(
            self.keeper,
            self.job_table,
            self.table.get_now_ms,
            ports.write_event,
        )
        self.versions = versionkeepers.VersionKeeper(
            given.name,
            ports.incarnation,
            self.table,
            self.registry,
            self.membership,
            ports.endpoints,
            0.0 if given.engines_check_fences else given.takeover_wait_ms,
            self.view.needs_single_version,
            self._get_demand,
            ports.write_event,
            ports.get_lease_now,
        )
        self.heartbeat = beats.Heartbeat(
            self.table,
            member.Member(
                given.name,
                ports.incarnation,
                given.availability_zone,
                given.caller_address,
                given.relay_address,
                True,
                0,
                {},
                given.core_share * given.core_speed,
            ),
            self.view.get_runs,
            self._get_crashes,
            ports.rng,
        )
        self.ingress = ingresses.Ingress(
            get_configuration=lambda: self.view.configuration,
            forwarder=self.forwarder,
            streams=streams.StreamForwarder(
                self.forwarder, names.WEIGHT_VERSION
            ),
            desk=self.desk,
            get_members=self._get_alive,
            is_ready=self.is_ready,
            directory_ttl_s=given.directory_ttl_s,
            write_event=ports.write_event,
        )
        self.cleaner = cleanup.Cleaner(
            given.name,
            self.table,
            self.membership,
            self.keeper.get_records,
            given.job_kept_s * 1000,
            self.table.get_now_ms,
            ports.write_event,
        )
        self.stopping = False
        self.outage_ended_at = float('-inf')
        self.in_outage = False
        self.followers = self._make_followers()
        self.tasks: list[asyncio.Task] = []

    def is_ready(self) -> bool:
        """Say whether callers may come."""
        return not self.stopping and self.view.configuration is not None

    def start(self) -> None:
        """Start all that runs in the background."""
        for run in (
            *(one.run for one in self.followers),
            self.heartbeat.run,
            self.keeper.run,
            self.versions.run,
            self.cleaner.run,
            self._keep_house,
        ):
            task = asyncio.ensure_future(self._supervise(run))
            self.tasks.append(task)

    def get_ages_s(self) -> dict[str, float]:
        """Return how old the view of each table is, by its name."""
        return {one.name: one.get_age_ms() / 1000 for one in self.followers}

    def take_settings(self, given: entrysettings.EntrySettings) -> None:
        """Take in settings that changed; addresses stay until a restart."""
        self.settings = given
        self.ingress.directory_ttl_s = given.directory_ttl_s

    def begin_stop(self) -> None:
        """Leave the directory and take no new duty."""
        self.stopping = True
        self.versions.stopping = True
        self.heartbeat.stop_accepting()

    async def end_stop(self) -> None:
        """Hand the owned jobs over and stop."""
        await self.keeper.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _make_followers(self) -> list[followers.Follower]:
        operator = feeds.make_operator_reader(
            self.view.put_configuration,
            self.versions.name_version,
            self.write_event,
        )
        entries = feeds.make_endpoint_reader(
            self._put_endpoint, self._remove_endpoint, self.write_event
        )

        def make(name, parts, on_row, rest_ms=0.0):
            return followers.Follower(
                self.table, name, parts, on_row, self.ports.rng, rest_ms
            )

        return [
            make(feeds.OPERATOR_TABLE, ('',), operator),
            make(feeds.ENDPOINT_TABLE, ('',), entries),
            make(
                beats.MEMBER_TABLE,
                ('',),
                self._put_fleet_row,
                BUSY_TABLE_REST_MS,
            ),
            make(
                rowcodec.JOB_TABLE,
                rowcodec.PARTS,
                self.keeper.note_row,
                JOB_TABLE_REST_MS,
            ),
        ]

    def _put_endpoint(self, found) -> None:
        self.registry.put(found)
        self.scheduler.dispatch()

    def _remove_endpoint(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        recent = (now - self.outage_ended_at) * 1000 < registries.RETURN_MS
        self.registry.remove(endpoint_id, now, self.in_outage or recent)

    def _put_fleet_row(self, row: rows.Row) -> None:
        key = row.name.key
        if key.startswith(leader.KEY_START):
            self.versions.note_leader(row)
            return
        if row.value is None:
            name = key.removeprefix(beats.KEY_START)
            self.membership.remove(name)
            self.suspects.hear(name, {})
            return
        found = member.decode_member(row.value)
        if found is None:
            self.write_event('member-unreadable', key=row.name.key)
            return
        self.view.put_member(found)
        if found.name != self.settings.name:
            self.suspects.hear(found.name, found.crashes_by_fingerprint)

    async def _keep_house(self) -> None:
        members = self.followers[2]
        while True:
            await asyncio.sleep(HOUSEKEEPING_EVERY_MS / 1000)
            now = asyncio.get_running_loop().time()
            if members.fresh_at > self.membership.fresh_at:
                self.membership.note_fresh(members.fresh_at)
            away = (
                self.followers[1].get_age_ms()
                > (followers.WAIT_MS + OUTAGE_MS)
                or self.fallback.failures_in_row > 1
            )
            if self.in_outage and not away:
                self.outage_ended_at = now
            self.in_outage = away
            if not away:
                self.registry.drop_missing(self.outage_ended_at, now)
            self.view.count_runs_elsewhere()
            self.scheduler.dispatch()

    def _get_crashes(self) -> dict[str, int]:
        return self.suspects.get_shared(asyncio.get_running_loop().time())

    def _get_demand(self) -> dict[str, float]:
        return self.keeper.get_demand(self.table.get_now_ms())

    def _get_alive(self) -> list[member.Member]:
        now = asyncio.get_running_loop().time()
        return self.membership.get_alive(now)

    def _get_relay_addresses(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        own = self.settings.relay_address
        known = {
            one.relay_address
            for name, one in self.membership.member_by_name.items()
            if self.membership.is_alive(name, now)
        }
        if not known - {own}:
            known = set(self.settings.seed_addresses)
        return sorted(known - {own})

    def _make_item_context(
        self, submission: jobs.Submission, record: jobs.JobRecord
    ) -> itemrun.ItemContext | None:
        configuration = self.view.configuration
        route = keepers.find_job_route(configuration, submission)
        if configuration is None:
            return None
        loop = asyncio.get_running_loop()
        ttl_ms = self.settings.job_kept_s * 1000
        deadline_ms = 0.0
        if route is not None:
            ttl_ms = route.item_ttl_ms or ttl_ms
            deadline_ms = route.job_deadline_ms
        age_ms = self.table.get_now_ms() - record.accepted_ms
        return itemrun.ItemContext(
            submission=submission,
            get_route=lambda: self._get_job_route(submission),
            expires_at=loop.time() + (ttl_ms - age_ms) / 1000,
            deadline_ms=record.accepted_ms + deadline_ms,
            scheduler=self.scheduler,
            port=self.ports.endpoints,
            forwarder=self.forwarder,
            gate=self.gate,
            get_configuration=lambda: self.view.configuration,
            version_field=names.WEIGHT_VERSION,
            rng=self.ports.rng,
            write_event=self.write_event,
            left_by_group={},
        )

    def _get_job_route(
        self, submission: jobs.Submission
    ) -> routes.Route | None:
        return keepers.find_job_route(self.view.configuration, submission)

    async def _supervise(
        self, run: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        while True:
            try:
                await run()
            except Exception as error:
                # A duty that stops for good would go unnoticed.
                self.write_event(
                    'task-failed', task=run.__qualname__, detail=repr(error)
                )
                await asyncio.sleep(RESTART_PAUSE_MS / 1000)


def build_node(given: entrysettings.EntrySettings, ports: NodePorts) -> Node:
    """Return an entry instance that is not started."""
    return Node(given, ports)
