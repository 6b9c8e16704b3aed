"""Roll out the target version of each model to its engines."""

import asyncio
from collections import abc
import dataclasses
from typing import Protocol

from . import assignment
from ..core import rendezvous
from ..fleet import member
from . import leader
from . import orders
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from ..table import rows

__all__ = ['OrderPort', 'VersionManager']

CHECK_INTERVAL_MS = 120.0
# Delay between an accepted order and the first report request.
FIRST_REPORT_DELAY_MS = 850.0
REPORT_INTERVAL_MS = 250.0
# A load that takes longer is considered failed.
LOAD_TIMEOUT_MS = 6000.0
RETRY_DELAY_MS = 400.0
# Reports and orders count against the limit of an engine.
LIMITED_INTERVAL_MS = 1500.0
# Orders are sent only within this time after the duty was confirmed.
CONFIRMATION_TTL_MS = 800.0


class OrderPort(Protocol):
    """Client for the weight reports and version orders of engines."""

    async def fetch_report(
        self, target: endpoints.Endpoint
    ) -> orders.Report | None:
        """Return the report of an engine, or None if it gave none."""

    async def order_version(
        self, target: endpoints.Endpoint, order: orders.VersionOrder
    ) -> orders.OrderOutcome:
        """Order an engine to load a weight version."""


@dataclasses.dataclass(slots=True)
class _PendingLoad:
    model: str
    version: int
    ordered_at: float
    next_report_at: float


class VersionManager:
    """Rolls out target versions while this instance is the leader."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        table: rows.RowTable,
        registry: registries.Registry,
        membership: member.Membership,
        port: OrderPort,
        takeover_wait_ms: float,
        needs_single_version: abc.Callable[[str], bool],
        is_limited: abc.Callable[[str], bool],
        get_demand: abc.Callable[[], dict[str, assignment.Demand]],
        write_event: logevents.WriteEvent,
        get_lease_now: abc.Callable[[], float],
        is_cut_off: abc.Callable[[], bool] = lambda: False,
    ):
        # Whether this instance reaches no endpoint over its own links.
        self.is_cut_off = is_cut_off
        self.name = name
        self.incarnation = incarnation
        self.table = table
        self.registry = registry
        self.membership = membership
        self.port = port
        self.takeover_wait_ms = takeover_wait_ms
        self.needs_single_version = needs_single_version
        self.is_limited = is_limited
        self.get_demand = get_demand
        self.write_event = write_event
        # This clock also advances while the machine is suspended.
        self.get_lease_now = get_lease_now
        self.target_version_by_model: dict[str, int] = {}
        self.leadership_by_service: dict[str, leader.Leadership] = {}
        self.pending_load_by_id: dict[str, _PendingLoad] = {}
        self.retry_at_by_id: dict[str, float] = {}
        self.confirmed_at = float('-inf')
        self.stopping = False

    def set_target_version(self, model: str, version: int) -> None:
        """Set the version that a trainer published, if it is newer."""
        if version > self.target_version_by_model.get(model, 0):
            self.target_version_by_model[model] = version
            self.write_event(
                logevents.VersionNamed(model=model, version=version)
            )

    def apply_leader_row(self, row: rows.Row) -> None:
        """Update the leader of a service from its changed row."""
        service = row.name.key.removeprefix(leader.LEADER_KEY_PREFIX)
        leadership = self._get_leadership(service)
        if row.version > leadership.version:
            leadership.put(row)

    async def run(self) -> None:
        """Order engines at intervals while this instance holds the duty."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            if self.stopping:
                continue
            for service in self.registry.get_engine_services():
                try:
                    await self._check(service)
                except rows.TableError as error:
                    self.write_event(
                        logevents.DutyUnconfirmed(
                            service=service,
                            detail=error.detail,
                        )
                    )

    def _get_leadership(self, service: str) -> leader.Leadership:
        return self.leadership_by_service.setdefault(
            service, leader.Leadership(service)
        )

    def _may_lead(self, service: str) -> bool:
        leadership = self._get_leadership(service)
        row = leadership.row
        if row is not None and row.holder == self.incarnation:
            return True
        now = asyncio.get_running_loop().time()
        has_holder = row is not None and row.holder
        if has_holder and self.membership.is_incarnation_alive(
            row.holder_name, row.holder, now
        ):
            return False
        names = self._get_candidate_names(now)
        if self.name not in names:
            return False
        return rendezvous.rank(leadership.key.key, names)[0] == self.name

    def _get_candidate_names(self, now: float) -> list[str]:
        """Return the instances that may order, those with links if any."""
        alive = self.membership.get_alive(now)
        linked = [
            peer.name for peer in alive if not self._is_cut_off(peer.name)
        ]
        return linked or [peer.name for peer in alive]

    def _is_cut_off(self, name: str) -> bool:
        if name == self.name:
            return self.is_cut_off()
        return self.membership.is_cut_off(name)

    async def _release_if_cut_off(self, service: str) -> bool:
        """Give the duty up if others reach endpoints; return whether done.

        An order must not go over a peer: engines distinguish holders by
        their fencing tokens only.
        """
        row = self._get_leadership(service).row
        if row is None or row.holder != self.incarnation:
            return False
        now = asyncio.get_running_loop().time()
        if self.name in self._get_candidate_names(now):
            return False
        is_released = await leader.release(
            self.table, self._get_leadership(service)
        )
        self.write_event(logevents.DutyLost(service=service))
        return is_released

    async def _check(self, service: str) -> None:
        if await self._release_if_cut_off(service):
            return
        if not self._may_lead(service):
            return
        await self._poll_loads()
        now = asyncio.get_running_loop().time()
        engines = [
            state
            for state in self.registry.get_all_by_service(service)
            if state.endpoint.version_by_model
        ]
        assigned_by_model = assignment.assign_engines(
            engines,
            self.target_version_by_model,
            self.get_demand(),
            [
                assignment.PendingLoad(endpoint_id, load.model, load.version)
                for endpoint_id, load in self.pending_load_by_id.items()
            ],
        )
        due_loads = [
            load
            for load in orders.plan_loads(
                engines,
                self.target_version_by_model,
                assigned_by_model,
                set(self.pending_load_by_id),
            )
            if self.retry_at_by_id.get(load.state.endpoint.id, now) <= now
        ]
        if not due_loads or not await self._confirm(service):
            return
        await asyncio.gather(
            *(self._order(service, load) for load in due_loads)
        )

    async def _confirm(self, service: str) -> bool:
        leadership = self._get_leadership(service)
        requested_at = self.get_lease_now()
        is_confirmed = await leader.confirm(
            self.table, leadership, self.incarnation, self.name, requested_at
        )
        if not is_confirmed:
            self.write_event(logevents.DutyLost(service=service))
            return False
        self.confirmed_at = requested_at
        held_ms = (requested_at - leadership.leader_since) * 1000
        return not (leadership.took_over and held_ms < self.takeover_wait_ms)

    async def _order(self, service: str, load: orders.VersionLoad) -> None:
        state = load.state
        model = load.model
        version = load.version
        target = state.endpoint
        now = asyncio.get_running_loop().time()
        retry_ms = self._get_interval_ms(target.id, RETRY_DELAY_MS)
        self.retry_at_by_id[target.id] = now + retry_ms / 1000
        report = await self.port.fetch_report(target)
        if report is None:
            return
        reported_version = report.version_by_model.get(model, 0)
        endpoints.record_version(state, model, reported_version)
        if reported_version >= version or report.busy:
            return
        age_ms = (self.get_lease_now() - self.confirmed_at) * 1000
        if age_ms > CONFIRMATION_TTL_MS:
            return
        order = self._make_order(service, load, report)
        outcome = await self.port.order_version(target, order)
        self.write_event(
            logevents.EngineOrdered(
                endpoint=target.id,
                model=model,
                version=version,
                fence=order.fence,
                outcome=outcome.value,
            )
        )
        if outcome in (
            orders.OrderOutcome.ACCEPTED,
            orders.OrderOutcome.UNKNOWN,
        ):
            now = asyncio.get_running_loop().time()
            self.pending_load_by_id[target.id] = _PendingLoad(
                model, version, now, now + FIRST_REPORT_DELAY_MS / 1000
            )

    def _make_order(
        self, service: str, load: orders.VersionLoad, report: orders.Report
    ) -> orders.VersionOrder:
        return orders.VersionOrder(
            model=load.model,
            version=load.version,
            finish_runs_first=self.needs_single_version(load.model),
            holder=self.incarnation,
            fence=self._get_leadership(service).row.fence,
            expected_count=report.order_count,
        )

    def _get_interval_ms(self, endpoint_id: str, usual_ms: float) -> float:
        if self.is_limited(endpoint_id):
            return max(LIMITED_INTERVAL_MS, usual_ms)
        return usual_ms

    async def _poll_loads(self) -> None:
        now = asyncio.get_running_loop().time()
        for endpoint_id, load in list(self.pending_load_by_id.items()):
            state = self.registry.state_by_id.get(endpoint_id)
            if state is None:
                del self.pending_load_by_id[endpoint_id]
                continue
            if state.get_version(load.model) >= load.version:
                del self.pending_load_by_id[endpoint_id]
                continue
            if now < load.next_report_at:
                continue
            interval_ms = self._get_interval_ms(
                endpoint_id, REPORT_INTERVAL_MS
            )
            load.next_report_at = now + interval_ms / 1000
            report = await self.port.fetch_report(state.endpoint)
            if report is not None:
                reported_version = report.version_by_model.get(load.model, 0)
                endpoints.record_version(state, load.model, reported_version)
            busy = report is not None and report.busy
            is_overdue = (now - load.ordered_at) * 1000 > LOAD_TIMEOUT_MS
            if (report is not None and not busy) or is_overdue:
                del self.pending_load_by_id[endpoint_id]
