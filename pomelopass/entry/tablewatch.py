"""Follow the tables and apply their changes to an instance."""

import asyncio
from collections import abc
import dataclasses
import random

from ..fleet import heartbeat
from ..fleet import member
from ..jobs import manager as jobmanager
from ..jobs import rowcodec
from ..jobs import schedule
from ..leadership import leader
from ..limits import book as limitbooks
from ..origins import bases
from ..origins import origin as origins
from ..platform import rowhandlers
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from ..requests import quarantine as quarantines
from ..requests import routes
from ..table import fallback
from ..table import follower as followers
from ..table import memo
from ..table import rows
from ..versions import manager as versionmanagers
from . import view as views

__all__ = ['Listeners', 'TableWatch']

OnRow = abc.Callable[[rows.Row], None]

HOUSEKEEPING_INTERVAL_MS = 100.0
# Pause after each poll, since every heartbeat changes rows.
FLEET_PAUSE_MS = 250.0
JOB_PAUSE_MS = 60.0
# Longest pause after polls while hundreds of engines write their entries; a
# draining one gets no request 3 s after its row changed.
MAX_ENDPOINT_PAUSE_MS = 200.0
# Time without an answer that counts as an outage.
OUTAGE_AFTER_MS = 2700.0
# Time to find another path for a poll whose answer is late.
RECOVERY_MS = 600
# A poll that is lost is noticed and repeated within the limit.
APPLY_WAIT_MS = routes.APPLY_LIMIT_MS - fallback.HEDGE_DELAY_MS - RECOVERY_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """Components of an instance that receive changed rows."""

    name: str
    view: views.View
    membership: member.Membership
    registry: registries.Registry
    scheduler: schedule.Scheduler
    job_manager: jobmanager.JobManager
    versions: versionmanagers.VersionManager
    quarantine: quarantines.Quarantine
    limits: limitbooks.LimitBook
    bases: bases.BaseKeeper
    write_event: logevents.WriteEvent
    # Handlers of further rows of the fleet, by prefix of their keys.
    on_row_by_prefix: dict[str, OnRow]


class TableWatch:
    """Followers of all tables, and the outage state of the service."""

    def __init__(
        self,
        table: rows.RowTable,
        listeners: Listeners,
        rng: random.Random,
    ):
        self.listeners = listeners
        self.outage_ended_at = float('-inf')
        self.in_outage = False
        self.known_members = memo.RowMemo[member.Member](member.COUNTER)
        read_operator_row = rowhandlers.make_operator_row_handler(
            listeners.view.put_configuration,
            listeners.versions.set_target_version,
            listeners.write_event,
        )
        read_endpoint_row = rowhandlers.make_endpoint_row_handler(
            self._put_endpoint, self._remove_endpoint, listeners.write_event
        )

        def make_follower(
            name,
            parts,
            on_row,
            poll_pause_ms=0.0,
            wait_ms=followers.WAIT_MS,
            max_pause_ms=0.0,
        ):
            return followers.Follower(
                table,
                name,
                parts,
                self._guard(on_row),
                rng,
                poll_pause_ms,
                wait_ms,
                max_pause_ms,
            )

        self.operator = make_follower(
            rowhandlers.OPERATOR_TABLE,
            ('',),
            read_operator_row,
            wait_ms=APPLY_WAIT_MS,
        )
        self.endpoints = make_follower(
            rowhandlers.ENDPOINT_TABLE,
            ('',),
            read_endpoint_row,
            wait_ms=APPLY_WAIT_MS,
            max_pause_ms=MAX_ENDPOINT_PAUSE_MS,
        )
        self.fleet = make_follower(
            heartbeat.MEMBER_TABLE,
            heartbeat.PARTS,
            self._put_fleet_row,
            FLEET_PAUSE_MS,
        )
        self.jobs = make_follower(
            rowcodec.JOB_TABLE,
            rowcodec.PARTS,
            listeners.job_manager.apply_row,
            JOB_PAUSE_MS,
        )

    @property
    def followers(self) -> tuple[followers.Follower, ...]:
        """Return the followers of all tables."""
        return (self.operator, self.endpoints, self.fleet, self.jobs)

    async def run_housekeeping(self) -> None:
        """Update liveness and outage state, then dispatch, until cancelled."""
        listeners = self.listeners
        membership = listeners.membership
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / 1000)
            now = asyncio.get_running_loop().time()
            if self.fleet.fresh_at > membership.fresh_at:
                membership.mark_fresh(self.fleet.fresh_at)
            is_unavailable = self._is_unavailable()
            if self.in_outage and not is_unavailable:
                self.outage_ended_at = now
            self.in_outage = is_unavailable
            if not is_unavailable:
                listeners.registry.drop_missing(self.outage_ended_at, now)
            listeners.registry.changes.refill()
            listeners.view.update_in_flight_elsewhere()
            listeners.scheduler.dispatch()

    def is_configuration_newer(self, version: int) -> bool:
        """Return whether the configuration is that of a row, or newer.

        It may lack what was changed within the limit before the row.
        """
        return (
            self.operator.version >= version
            or self.operator.get_confirmed_age_ms() <= routes.APPLY_LIMIT_MS
        )

    def is_registry_fresh(self) -> bool:
        """Return whether the copy of the endpoints' entries is up to date."""
        return self.endpoints.loaded and not (
            self.in_outage or self._is_unavailable()
        )

    def shows_demand(self) -> bool:
        """Return whether entries, jobs and heartbeats are up to date."""
        return (
            self.is_registry_fresh()
            and self.jobs.loaded
            and self.fleet.loaded
            and self.jobs.get_age_ms() <= OUTAGE_AFTER_MS
            and self.fleet.get_age_ms() <= OUTAGE_AFTER_MS
        )

    def _guard(self, on_row: OnRow) -> OnRow:
        """Return a handler whose failure costs no row but its own."""

        def handle(row: rows.Row) -> None:
            try:
                on_row(row)
            except Exception as error:
                self.listeners.write_event(
                    logevents.RowFailed(
                        table=row.name.table,
                        key=row.name.key,
                        detail=repr(error),
                    )
                )

        return handle

    def _is_unavailable(self) -> bool:
        # Answers relayed by a peer count: they are as fresh as direct ones.
        return self.endpoints.get_age_ms() > OUTAGE_AFTER_MS

    def _put_endpoint(self, endpoint: endpoints.Endpoint) -> None:
        if self.listeners.registry.put(endpoint):
            self.listeners.scheduler.dispatch()

    def _remove_endpoint(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        ended_recently = (
            now - self.outage_ended_at
        ) * 1000 < registries.REREGISTRATION_TIMEOUT_MS
        # Rows expire in an outage; their removals are the first sign of it.
        due_to_outage = (
            self.in_outage or ended_recently or self._is_unavailable()
        )
        self.listeners.registry.remove(endpoint_id, now, due_to_outage)

    def _put_fleet_row(self, row: rows.Row) -> None:
        listeners = self.listeners
        key = row.name.key
        if key.startswith(leader.WEIGHTS_PREFIX):
            listeners.versions.duty.apply_row(row)
            return
        for prefix, on_row in listeners.on_row_by_prefix.items():
            if key.startswith(prefix):
                on_row(row)
                return
        if key.startswith(origins.BASE_KEY_PREFIX):
            listeners.bases.apply_row(row)
            return
        if key.startswith(heartbeat.LIMITS_KEY_PREFIX):
            self._put_limits_row(row)
            return
        if key.startswith(heartbeat.CUT_OFF_KEY_PREFIX):
            start = None
            if row.value is not None:
                start = row.value.decode(errors='replace')
            listeners.membership.put_cut_off(
                key.removeprefix(heartbeat.CUT_OFF_KEY_PREFIX), start
            )
            return
        if row.value is None:
            self.known_members.remove(key)
            name = key.removeprefix(heartbeat.MEMBER_KEY_PREFIX)
            listeners.membership.remove(name)
            listeners.quarantine.record_reported_crashes(
                name, {}, asyncio.get_running_loop().time()
            )
            return
        instance = self._decode_member(key, row.value)
        if instance is None:
            listeners.write_event(logevents.MemberUnreadable(key=key))
            return
        listeners.view.put_member(instance)
        if instance.name != listeners.name:
            listeners.quarantine.record_reported_crashes(
                instance.name,
                instance.crashes_by_fingerprint,
                asyncio.get_running_loop().time(),
            )

    def _decode_member(self, key: str, value: bytes) -> member.Member | None:
        """Return the member, with an earlier count if no more changed."""
        instance = self.known_members.find(key, value)
        if instance is None:
            instance = member.decode_member(value)
            if instance is not None:
                self.known_members.put(key, value, instance)
        return instance

    def _put_limits_row(self, row: rows.Row) -> None:
        if row.value is None:
            return
        try:
            limits = limitbooks.decode_limits(row.value)
        except ValueError:
            self.listeners.write_event(
                logevents.MemberUnreadable(key=row.name.key)
            )
            return
        # Rows of an earlier start of this instance count as well.
        self.listeners.limits.merge(limits)
