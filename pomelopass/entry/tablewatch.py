"""Follow the tables and tell the parts of an instance what changed."""

import asyncio
import dataclasses
import random

from ..fleet import beats
from ..fleet import member
from ..jobs import keeper as keepers
from ..jobs import rowcodec
from ..jobs import schedule
from ..platform import feeds
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from ..requests import quarantine as quarantines
from ..table import follower as followers
from ..table import rows
from ..versions import leader
from ..versions import manager as versionmanagers
from . import view as views

__all__ = ['Listeners', 'TableWatch']

HOUSEKEEPING_EVERY_MS = 100.0
# Pause after each answer about rows that change with every heartbeat.
FLEET_REST_MS = 250.0
JOB_REST_MS = 60.0
# Silence of the table service beyond a long poll that counts as an outage.
OUTAGE_MS = 1200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """Hold the parts of an instance that take rows in."""

    name: str
    view: views.View
    membership: member.Membership
    registry: registries.Registry
    scheduler: schedule.Scheduler
    keeper: keepers.Keeper
    versions: versionmanagers.VersionManager
    quarantine: quarantines.Quarantine
    write_event: logevents.WriteEvent


class TableWatch:
    """Hold the followed tables, and whether the service is away."""

    def __init__(
        self,
        table: rows.RowTable,
        listeners: Listeners,
        rng: random.Random,
    ):
        self.listeners = listeners
        self.outage_ended_at = float('-inf')
        self.in_outage = False
        operator = feeds.make_operator_reader(
            listeners.view.put_configuration,
            listeners.versions.set_target_version,
            listeners.write_event,
        )
        entries = feeds.make_endpoint_reader(
            self._put_endpoint, self._remove_endpoint, listeners.write_event
        )

        def make(name, parts, on_row, rest_ms=0.0):
            return followers.Follower(table, name, parts, on_row, rng, rest_ms)

        self.operator = make(feeds.OPERATOR_TABLE, ('',), operator)
        self.endpoints = make(feeds.ENDPOINT_TABLE, ('',), entries)
        self.fleet = make(
            beats.MEMBER_TABLE, ('',), self._put_fleet_row, FLEET_REST_MS
        )
        self.jobs = make(
            rowcodec.JOB_TABLE,
            rowcodec.PARTS,
            listeners.keeper.note_row,
            JOB_REST_MS,
        )

    @property
    def followers(self) -> tuple[followers.Follower, ...]:
        """Return all that follow a table."""
        return (self.operator, self.endpoints, self.fleet, self.jobs)

    async def keep_house(self) -> None:
        """Judge the age of what is believed until cancelled."""
        listeners = self.listeners
        membership = listeners.membership
        while True:
            await asyncio.sleep(HOUSEKEEPING_EVERY_MS / 1000)
            now = asyncio.get_running_loop().time()
            if self.fleet.fresh_at > membership.fresh_at:
                membership.note_fresh(self.fleet.fresh_at)
            away = self._is_away()
            if self.in_outage and not away:
                self.outage_ended_at = now
            self.in_outage = away
            if not away:
                listeners.registry.drop_missing(self.outage_ended_at, now)
            listeners.view.count_runs_elsewhere()
            listeners.scheduler.dispatch()

    def _is_away(self) -> bool:
        # A peer's way counts: what comes through it is as fresh.
        return self.endpoints.get_age_ms() > followers.WAIT_MS + OUTAGE_MS

    def _put_endpoint(self, found: endpoints.Endpoint) -> None:
        self.listeners.registry.put(found)
        self.listeners.scheduler.dispatch()

    def _remove_endpoint(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        recent = (now - self.outage_ended_at) * 1000 < registries.RETURN_MS
        # Entries lapse in an outage, and their removal is its first news.
        lapsed = self.in_outage or recent or self._is_away()
        self.listeners.registry.remove(endpoint_id, now, lapsed)

    def _put_fleet_row(self, row: rows.Row) -> None:
        listeners = self.listeners
        key = row.name.key
        if key.startswith(leader.LEADER_KEY_PREFIX):
            listeners.versions.apply_leader_row(row)
            return
        if row.value is None:
            name = key.removeprefix(beats.KEY_START)
            listeners.membership.remove(name)
            listeners.quarantine.record_reported_crashes(name, {})
            return
        found = member.decode_member(row.value)
        if found is None:
            listeners.write_event(logevents.MemberUnreadable(key=key))
            return
        listeners.view.put_member(found)
        if found.name != listeners.name:
            listeners.quarantine.record_reported_crashes(
                found.name, found.crashes_by_fingerprint
            )
