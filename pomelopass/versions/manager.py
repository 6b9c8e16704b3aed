"""Roll out the target version of each model to its engines."""

import asyncio
from collections import abc
import dataclasses
from typing import Protocol

from . import assignment
from ..leadership import duty
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
# Each call to an engine takes a small instance some 2.5 ms, mostly on a new
# connection: hundreds at once would all be late, and their orders withdrawn.
MAX_ORDERS_AT_ONCE = 64
# Most finished loads are seen in the entries of engines, without a call.
MAX_REPORTS_AT_ONCE = 8


class OrderPort(Protocol):
    """Client for the weight reports and version orders of engines."""

    async def fetch_report(
        self, target: endpoints.Endpoint
    ) -> orders.Report | None:
        """Return the report of an engine, or None if it gave none."""

    async def order_version(
        self,
        target: endpoints.Endpoint,
        order: orders.VersionOrder,
        may_send: abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order an engine to load a weight version.

        may_send is called last before the first byte is sent; without its
        consent the order is withdrawn.
        """


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
        registry: registries.Registry,
        port: OrderPort,
        order_duty: duty.Duty,
        needs_single_version: abc.Callable[[str], bool],
        is_limited: abc.Callable[[str], bool],
        get_demand: abc.Callable[[], dict[str, assignment.Demand]],
        write_event: logevents.WriteEvent,
    ):
        self.registry = registry
        self.port = port
        self.duty = order_duty
        self.needs_single_version = needs_single_version
        self.is_limited = is_limited
        self.get_demand = get_demand
        self.write_event = write_event
        self.target_version_by_model: dict[str, int] = {}
        self.pending_load_by_id: dict[str, _PendingLoad] = {}
        self.retry_at_by_id: dict[str, float] = {}
        self.stopping = False

    def set_target_version(self, model: str, version: int) -> None:
        """Set the version that a trainer published, if it is newer."""
        if version > self.target_version_by_model.get(model, 0):
            self.target_version_by_model[model] = version
            self.write_event(
                logevents.VersionNamed(model=model, version=version)
            )

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

    async def _check(self, service: str) -> None:
        if await self.duty.release_if_cut_off(service):
            return
        if not self.duty.may_lead(service):
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
        if not due_loads:
            return
        grant = await self.duty.confirm(service)
        if grant is None:
            return
        await asyncio.gather(
            *(
                self._order(grant, load)
                for load in due_loads[:MAX_ORDERS_AT_ONCE]
            )
        )

    async def _order(
        self, grant: duty.Grant, load: orders.VersionLoad
    ) -> None:
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
        if not self.duty.is_valid(grant):
            return
        order = self._make_order(grant, load, report)
        outcome = await self.port.order_version(
            target, order, lambda: self.duty.is_valid(grant)
        )
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
        self,
        grant: duty.Grant,
        load: orders.VersionLoad,
        report: orders.Report,
    ) -> orders.VersionOrder:
        return orders.VersionOrder(
            model=load.model,
            version=load.version,
            finish_runs_first=self.needs_single_version(load.model),
            holder=self.duty.incarnation,
            fence=grant.fence,
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
            is_loaded = (
                state is not None
                and state.get_version(load.model) >= load.version
            )
            if state is None or is_loaded:
                del self.pending_load_by_id[endpoint_id]
        due_ids = [
            endpoint_id
            for endpoint_id, load in self.pending_load_by_id.items()
            if load.next_report_at <= now
        ]
        # The longest due come first, so that none is starved.
        due_ids.sort(key=self._get_report_time)
        for endpoint_id in due_ids[:MAX_REPORTS_AT_ONCE]:
            await self._poll_load(endpoint_id, now)

    async def _poll_load(self, endpoint_id: str, now: float) -> None:
        load = self.pending_load_by_id[endpoint_id]
        state = self.registry.state_by_id.get(endpoint_id)
        if state is None:
            del self.pending_load_by_id[endpoint_id]
            return
        interval_ms = self._get_interval_ms(endpoint_id, REPORT_INTERVAL_MS)
        load.next_report_at = now + interval_ms / 1000
        report = await self.port.fetch_report(state.endpoint)
        if report is not None:
            reported_version = report.version_by_model.get(load.model, 0)
            endpoints.record_version(state, load.model, reported_version)
        busy = report is not None and report.busy
        is_overdue = (now - load.ordered_at) * 1000 > LOAD_TIMEOUT_MS
        if (report is not None and not busy) or is_overdue:
            del self.pending_load_by_id[endpoint_id]

    def _get_report_time(self, endpoint_id: str) -> float:
        return self.pending_load_by_id[endpoint_id].next_report_at
