"""Bring all engines of each model to its named version."""

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

CHECK_EVERY_MS = 120.0
# An engine is asked for its state this long after it took an order.
FIRST_REPORT_MS = 850.0
NEXT_REPORT_MS = 250.0
# A load that takes longer counts as failed.
LOAD_LIMIT_MS = 6000.0
RETRY_MS = 400.0
# No order goes out later than this after the duty was confirmed.
CONFIRMED_FOR_MS = 800.0


class OrderPort(Protocol):
    """Send orders to engines."""

    async def fetch_report(
        self, target: endpoints.Endpoint
    ) -> orders.Report | None:
        """Return what an engine says of its weights, or None."""

    async def order_version(
        self, target: endpoints.Endpoint, order: orders.VersionOrder
    ) -> orders.OrderOutcome:
        """Order an engine to a weight version."""


@dataclasses.dataclass(slots=True)
class _Load:
    model: str
    version: int
    ordered_at: float
    next_report_at: float


class VersionManager:
    """Hold the named versions and the loads that this instance ordered."""

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
        get_demand: abc.Callable[[], dict[str, assignment.Demand]],
        write_event: logevents.WriteEvent,
        get_lease_now: abc.Callable[[], float],
    ):
        self.name = name
        self.incarnation = incarnation
        self.table = table
        self.registry = registry
        self.membership = membership
        self.port = port
        self.takeover_wait_ms = takeover_wait_ms
        self.needs_single_version = needs_single_version
        self.get_demand = get_demand
        self.write_event = write_event
        # Counts the time for which the machine is suspended.
        self.get_lease_now = get_lease_now
        self.version_by_model: dict[str, int] = {}
        self.leadership_by_service: dict[str, leader.Leadership] = {}
        self.load_by_id: dict[str, _Load] = {}
        self.retry_at_by_id: dict[str, float] = {}
        self.confirmed_at = float('-inf')
        self.stopping = False

    def set_target_version(self, model: str, version: int) -> None:
        """Take in the version that a trainer named."""
        if version > self.version_by_model.get(model, 0):
            self.version_by_model[model] = version
            self.write_event(
                logevents.VersionNamed(model=model, version=version)
            )

    def apply_leader_row(self, row: rows.Row) -> None:
        """Take in a change of who orders."""
        service = row.name.key.removeprefix(leader.LEADER_KEY_PREFIX)
        leadership = self._get_leadership(service)
        if row.version > leadership.version:
            leadership.put(row)

    async def run(self) -> None:
        """Order engines while this instance holds the duty."""
        while True:
            await asyncio.sleep(CHECK_EVERY_MS / 1000)
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
        if row is not None and self.membership.is_incarnation_alive(
            row.holder_name, row.holder, now
        ):
            return False
        names = [one.name for one in self.membership.get_alive(now)]
        if self.name not in names:
            return False
        return rendezvous.rank(leadership.key.key, names)[0] == self.name

    async def _check(self, service: str) -> None:
        if not self._may_lead(service):
            return
        await self._follow_loads()
        now = asyncio.get_running_loop().time()
        engines = [
            one
            for one in self.registry.get_all_by_service(service)
            if one.endpoint.version_by_model
        ]
        assigned = assignment.assign_engines(
            engines,
            self.version_by_model,
            self.get_demand(),
            [
                assignment.Load(endpoint_id, one.model, one.version)
                for endpoint_id, one in self.load_by_id.items()
            ],
        )
        chosen = [
            one
            for one in orders.choose_to_order(
                engines,
                self.version_by_model,
                assigned,
                set(self.load_by_id),
            )
            if self.retry_at_by_id.get(one.state.endpoint.id, now) <= now
        ]
        if not chosen or not await self._confirm(service):
            return
        await asyncio.gather(*(self._order(service, one) for one in chosen))

    async def _confirm(self, service: str) -> bool:
        leadership = self._get_leadership(service)
        asked_at = self.get_lease_now()
        held = await leader.confirm(
            self.table, leadership, self.incarnation, self.name, asked_at
        )
        if not held:
            self.write_event(logevents.DutyLost(service=service))
            return False
        self.confirmed_at = asked_at
        waited_ms = (asked_at - leadership.held_since) * 1000
        return not (leadership.took_over and waited_ms < self.takeover_wait_ms)

    async def _order(self, service: str, move: orders.Move) -> None:
        state = move.state
        model = move.model
        version = move.version
        target = state.endpoint
        now = asyncio.get_running_loop().time()
        self.retry_at_by_id[target.id] = now + RETRY_MS / 1000
        report = await self.port.fetch_report(target)
        if report is None:
            return
        known = report.version_by_model.get(model, 0)
        endpoints.record_version(state, model, known)
        if known >= version or report.busy:
            return
        age_ms = (self.get_lease_now() - self.confirmed_at) * 1000
        if age_ms > CONFIRMED_FOR_MS:
            return
        order = self._make_order(service, move, report)
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
            self.load_by_id[target.id] = _Load(
                model, version, now, now + FIRST_REPORT_MS / 1000
            )

    def _make_order(
        self, service: str, move: orders.Move, report: orders.Report
    ) -> orders.VersionOrder:
        return orders.VersionOrder(
            model=move.model,
            version=move.version,
            finish_runs_first=self.needs_single_version(move.model),
            holder=self.incarnation,
            fence=self._get_leadership(service).row.fence,
            expected_count=report.order_count,
        )

    async def _follow_loads(self) -> None:
        now = asyncio.get_running_loop().time()
        for endpoint_id, load in list(self.load_by_id.items()):
            state = self.registry.state_by_id.get(endpoint_id)
            if state is None:
                del self.load_by_id[endpoint_id]
                continue
            if state.get_version(load.model) >= load.version:
                del self.load_by_id[endpoint_id]
                continue
            if now < load.next_report_at:
                continue
            load.next_report_at = now + NEXT_REPORT_MS / 1000
            report = await self.port.fetch_report(state.endpoint)
            if report is not None:
                known = report.version_by_model.get(load.model, 0)
                endpoints.record_version(state, load.model, known)
            busy = report is not None and report.busy
            too_long = (now - load.ordered_at) * 1000 > LOAD_LIMIT_MS
            if (report is not None and not busy) or too_long:
                del self.load_by_id[endpoint_id]
