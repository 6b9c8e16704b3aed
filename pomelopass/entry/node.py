"""Assemble an entry instance from settings and ports."""

import asyncio
from collections import abc
import dataclasses
import random

from .. import answermemory
from . import connecttimes
from ..fleet import heartbeat
from ..fleet import member
from . import itemcontexts
from ..jobs import api as jobapi
from ..jobs import cleanup
from ..jobs import jobtable
from ..jobs import jobview
from ..jobs import manager as jobmanager
from ..jobs import rewardgate
from ..jobs import schedule
from ..leadership import duty
from ..leadership import leader
from . import limitparts
from ..limits import sharing
from . import originparts
from ..origins import bases
from . import pathparts
from ..paths import ports as pathports
from ..placement import snapshot as snapshots
from . import placementparts
from ..platform import ingress as ingresses
from ..platform import names
from ..platform import relayedrows
from ..registry import registry as registries
from ..reporting import logevents
from ..requests import forward
from ..requests import quarantine as quarantines
from ..requests import stopgate
from ..requests import stream as streams
from ..scaling import manager as scalingmanagers
from . import scalingparts
from . import settings as entrysettings
from ..table import fallback
from ..table import relay
from ..table import relayserver
from ..table import rows
from . import tableclock
from . import tablewatch
from . import usageparts
from ..versions import assignment
from ..versions import manager as versionmanagers
from . import view as views

__all__ = ['Node', 'NodePorts', 'build_node']

TASK_RESTART_DELAY_MS = 200.0
LAST_WRITE_TIMEOUT_MS = 300.0
BYTES_PER_MB = 1_000_000
# Shares of the memory limit; the rest is for the process and its buffers.
ANSWER_SHARE = 0.2
CACHE_SHARE = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class NodePorts:
    """External dependencies of an entry instance."""

    table: rows.RowTable
    # Opens a connection for each call.
    fresh_table: rows.RowTable
    endpoints: pathports.DirectPort
    peer_endpoints: pathports.PeerPort
    rng: random.Random
    write_event: logevents.WriteEvent
    get_lease_now: abc.Callable[[], float]
    incarnation: str
    permit_peers: sharing.PermitPeers
    # None where the platform has no API for duties.
    duties: usageparts.DutyPorts | None = None
    # Reports the connections that the client of the endpoints opens.
    connect_times: connecttimes.ConnectTimes = dataclasses.field(
        default_factory=connecttimes.ConnectTimes
    )


class Node:
    """Components and background tasks of one entry instance."""

    def __init__(
        self, settings: entrysettings.EntrySettings, ports: NodePorts
    ):
        self.settings = settings
        self.ports = ports
        self.write_event = ports.write_event
        self.membership = member.Membership(settings.name)
        self.registry = registries.Registry(ports.write_event)
        self.view = views.View(
            self.membership, self.registry, ports.write_event
        )
        self.stopping = False
        self.stop_gate = stopgate.StopGate()
        self.fallback = self._make_fallback()
        self.table = tableclock.TableClock(self.fallback)
        self.paths = pathparts.build_path_parts(
            settings.availability_zone,
            ports.endpoints,
            ports.peer_endpoints,
            self.membership,
            self.registry,
            lambda: self.stopping,
            ports.rng,
            ports.write_event,
        )
        self.limits = limitparts.build_limit_parts(
            self.paths.endpoints,
            ports.permit_peers,
            self.membership,
            self.table.get_now_ms,
            ports.write_event,
        )
        self.relay_server = relayserver.RelayServer(
            relayedrows.KeylessTable(ports.fresh_table),
            {
                **self.limits.make_handlers(),
                **self.paths.tunnels.make_handlers(),
            },
        )
        self.usage = usageparts.build_usage_parts(
            settings,
            ports.duties,
            ports.incarnation,
            self.table,
            self.membership,
            ports.write_event,
            ports.get_lease_now,
            lambda: self.paths.book.is_cut_off,
        )
        self.jobs = jobview.JobView()
        self.scaling = scalingparts.build_scaling_parts(
            settings,
            ports.duties,
            ports.incarnation,
            self.table,
            scalingmanagers.ScalingViews(
                self.registry,
                self.membership,
                lambda: self.view.configuration,
                self._count_open_items,
                lambda: self.watch.shows_demand(),
            ),
            ports.write_event,
            ports.get_lease_now,
            lambda: self.paths.book.is_cut_off,
        )
        self.job_table = jobtable.JobTable(self.table)
        self._build_requests()
        self._build_jobs()
        self._build_versions()
        self._build_heartbeat()
        self._build_ingress()
        self.watch = tablewatch.TableWatch(
            self.table, self._make_listeners(), ports.rng
        )
        self.tasks: list[asyncio.Task] = []

    def _make_fallback(self) -> fallback.FallbackTable:
        choice = relay.PeerChoice()
        return fallback.FallbackTable(
            fallback.Paths(
                self.ports.table,
                self.ports.fresh_table,
                relay.RelayedTable(
                    self._get_relay_addresses, self.ports.rng, choice
                ),
                relay.RelayedTable(
                    self._get_near_relay_addresses,
                    self.ports.rng,
                    choice,
                    is_second=True,
                ),
            ),
            self.ports.write_event,
        )

    def _build_requests(self) -> None:
        self.placer = placementparts.build_placer(
            self.settings,
            self.ports.connect_times,
            self.registry,
            self.paths.endpoints.get_carrier,
            self.membership,
        )
        self.scheduler = schedule.Scheduler(
            self.registry, self.limits.permits, self.placer
        )
        self.limits.permits.on_permit = self.scheduler.dispatch
        self.quarantine = quarantines.Quarantine()
        memory_bytes = self.settings.memory_mb * BYTES_PER_MB
        self.max_cached_bytes = int(CACHE_SHARE * memory_bytes)
        self.forwarder = forward.Forwarder(
            self.registry,
            self.limits.endpoints,
            self.settings.availability_zone,
            self.ports.rng,
            self.ports.write_event,
            self.quarantine,
            self.limits.permits,
            answermemory.AnswerMemory(int(ANSWER_SHARE * memory_bytes)),
            self.usage.get_start_book(),
            self.placer,
        )

    def _build_jobs(self) -> None:
        contexts = itemcontexts.ItemContexts(
            lambda: self.settings.job_kept_s * 1000,
            self.view,
            self.table,
            self.scheduler,
            self.limits.endpoints,
            self.forwarder,
            rewardgate.RewardGate(self.registry.count_slots),
            lambda version: self.watch.is_configuration_newer(version),
        )
        self.job_manager = jobmanager.JobManager(
            self.settings.name,
            self.ports.incarnation,
            self.jobs,
            self.job_table,
            self.membership,
            contexts.make,
            self.ports.write_event,
            self.max_cached_bytes,
        )
        self.job_api = jobapi.JobApi(
            self.jobs,
            self.job_manager,
            self.job_table,
            self.table.get_now_ms,
            lambda model: self.versions.target_version_by_model.get(model, 0),
            self.ports.write_event,
            self.max_cached_bytes,
        )
        self.cleaner = cleanup.Cleaner(
            self.settings.name,
            self.table,
            self.membership,
            self.jobs.get_records,
            self.settings.job_kept_s * 1000,
            self.table.get_now_ms,
            self.ports.write_event,
        )

    def _build_versions(self) -> None:
        order_duty = duty.Duty(
            leader.WEIGHTS_PREFIX,
            self.settings.name,
            self.ports.incarnation,
            duty.DutySettings(
                self.settings.takeover_wait_ms,
                self.settings.engines_check_fences,
            ),
            self.table,
            self.membership,
            lambda service: self.write_event(
                logevents.DutyLost(service=service)
            ),
            self.ports.get_lease_now,
            lambda: self.paths.book.is_cut_off,
        )
        self.versions = versionmanagers.VersionManager(
            self.registry,
            self.limits.endpoints,
            order_duty,
            self.view.needs_single_version,
            self.limits.permits.is_limited,
            self._get_demand,
            self.ports.write_event,
        )

    def _build_heartbeat(self) -> None:
        self.heartbeat = heartbeat.Heartbeat(
            self.table.transact_repeatable,
            member.Member(
                self.settings.name,
                self.ports.incarnation,
                self.settings.availability_zone,
                self.settings.caller_address,
                self.settings.relay_address,
                True,
                0,
                {},
                capacity=self.settings.core_share * self.settings.core_speed,
            ),
            self.view.get_runs,
            self._get_crashes,
            self.fallback.is_direct,
            {
                heartbeat.LIMITS_KEY_PREFIX: self.limits.get_row_value,
                heartbeat.CUT_OFF_KEY_PREFIX: self._get_cut_off_value,
            },
            self._record_heartbeat,
            self.ports.rng,
            self.usage.value_by_kept_key,
        )

    def _build_ingress(self) -> None:
        self.origins = originparts.build_origin_parts(
            self.table,
            self.registry,
            self.membership,
            lambda: self.view.resumable_services,
            lambda: self.watch.is_registry_fresh(),
            bases.CopyAges(
                lambda: self.watch.fleet.get_confirmed_age_ms(),
                lambda: self.watch.endpoints.get_confirmed_age_ms(),
            ),
            self.ports.write_event,
        )
        self.ingress = ingresses.Ingress(
            get_configuration=lambda: self.view.configuration,
            forwarder=self.forwarder,
            streams=streams.StreamForwarder(
                self.forwarder, self.origins.recorder, names.WEIGHT_VERSION
            ),
            job_api=self.job_api,
            get_members=self._get_routable,
            is_ready=self.is_ready,
            directory_ttl_s=self.settings.directory_ttl_s,
            write_event=self.ports.write_event,
            stop_gate=self.stop_gate,
            get_configuration_age_ms=lambda: (
                self.watch.operator.get_confirmed_age_ms()
            ),
        )

    def is_ready(self) -> bool:
        """Return whether the instance accepts callers."""
        return not self.stopping and self.view.configuration is not None

    def start(self) -> None:
        """Start the background tasks."""
        # The names are values in the log and stay when code is renamed.
        for task_name, run in (
            *(
                ('Follower.run', follower.run)
                for follower in self.watch.followers
            ),
            ('Heartbeat.run', self.heartbeat.run),
            ('Keeper.run', self.job_manager.run),
            ('VersionKeeper.run', self.versions.run),
            ('Cleaner.run', self.cleaner.run),
            ('PathWatch.run', self.paths.watch.run),
            ('TableWatch.keep_house', self.watch.run_housekeeping),
            ('BaseKeeper.run', self.origins.bases.run),
            ('OriginRecorder.run', self.origins.recorder.run),
            ('OriginSweeper.run', self.origins.sweeper.run),
            *self.usage.get_tasks(),
            ('ZoneTraffic.run', self._report_zones),
            *self.scaling.get_tasks(),
        ):
            task = asyncio.ensure_future(self._supervise(task_name, run))
            self.tasks.append(task)

    def get_ages_s(self) -> dict[str, float]:
        """Return the age of the local copy of each table, by table name."""
        return {
            follower.name: follower.get_age_ms() / 1000
            for follower in self.watch.followers
        }

    def apply_settings(self, settings: entrysettings.EntrySettings) -> None:
        """Apply changed settings; new addresses need a restart."""
        self.settings = settings
        self.ingress.directory_ttl_s = settings.directory_ttl_s
        self.placer.transfer_ms_per_mb = settings.zone_transfer_ms_per_mb

    def begin_stop(self, closes_at: float) -> None:
        """Leave the directory, acquire no new duty, refuse what can't end.

        Connections close at a time of the event loop in seconds.
        """
        self.stopping = True
        self.stop_gate.begin(asyncio.get_running_loop().time(), closes_at)
        self.versions.stopping = True
        self.usage.begin_stop()
        self.scaling.begin_stop()
        self.heartbeat.stop_accepting()

    async def end_stop(self) -> None:
        """Hand over the owned jobs and stop the background tasks."""
        await self.job_manager.stop()
        self.limits.permits.stop()
        self.origins.recorder.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.usage.counter is not None:
            # Counts since the last heartbeat.
            await self.heartbeat.write_last(LAST_WRITE_TIMEOUT_MS)

    def _make_listeners(self) -> tablewatch.Listeners:
        return tablewatch.Listeners(
            self.settings.name,
            self.view,
            self.membership,
            self.registry,
            self.scheduler,
            self.job_manager,
            self.versions,
            self.quarantine,
            self.limits.book,
            self.origins.bases,
            self.write_event,
            {
                leader.USAGE_PREFIX: self.usage.apply_row,
                leader.SCALING_PREFIX: self.scaling.apply_row,
            },
        )

    def _get_crashes(self) -> dict[str, int]:
        return self.quarantine.get_recent_crashes(
            asyncio.get_running_loop().time()
        )

    def _record_heartbeat(self, took_ms: float) -> None:
        now = asyncio.get_running_loop().time()
        self.membership.record_own_write(took_ms, now)

    def _get_cut_off_value(self) -> bytes | None:
        if not self.paths.book.is_cut_off:
            return None
        return self.ports.incarnation.encode()

    def take_placement(self) -> snapshots.Snapshot:
        """Return what the placement decides by now."""
        return placementparts.take_snapshot(
            self.settings.name,
            self.placer,
            self.registry,
            self.view.configuration,
            [item.service for item in self.scheduler.waiting],
        )

    async def _report_zones(self) -> None:
        await placementparts.run_reports(self.placer, self.write_event)

    def _get_demand(self) -> dict[str, assignment.Demand]:
        return self.jobs.get_demand(self.table.get_now_ms())

    def _count_open_items(self, models: abc.Container[str]) -> int:
        return self.jobs.count_open_items(models, self.table.get_now_ms())

    def _get_routable(self) -> list[member.Member]:
        now = asyncio.get_running_loop().time()
        return self.membership.get_routable(now)

    def _get_relay_addresses(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        addresses = self.membership.get_relay_addresses(now)
        seeds = set(self.settings.seed_addresses)
        return sorted((addresses or seeds) - {self.settings.relay_address})

    def _get_near_relay_addresses(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        addresses = self.membership.get_relay_addresses(
            now, self.settings.availability_zone
        )
        return sorted(addresses) or self._get_relay_addresses()

    async def _supervise(
        self, task_name: str, run: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        while True:
            try:
                await run()
            except Exception as error:
                # A background task that ended for good would go unnoticed.
                self.write_event(
                    logevents.TaskFailed(task=task_name, detail=repr(error))
                )
                await asyncio.sleep(TASK_RESTART_DELAY_MS / 1000)


def build_node(
    settings: entrysettings.EntrySettings, ports: NodePorts
) -> Node:
    """Return an entry instance that is not started yet."""
    return Node(settings, ports)
