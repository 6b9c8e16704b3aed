"""Order engines by demand while this instance holds the duty of a zone."""

import asyncio
from collections import abc
import dataclasses
from typing import Protocol

from ..fleet import member
from ..leadership import duty
from ..leadership import outcome as outcomes
from . import observation
from . import order as orders
from . import plan
from ..registry import registry as registries
from ..reporting import logevents
from ..requests import routes
from ..table import rows

__all__ = ['EnginePort', 'ScalingManager', 'ScalingViews']

CHECK_INTERVAL_MS = 500.0
# Pause after a call that was not run.
RETRY_INTERVAL_MS = 1000.0
# Another instance may reach the platform's API when this one does not.
GIVE_UP_UNREACHABLE_MS = 2500.0
# Engines write their entries every 1.2 s; before the first order after a
# start or an outage, those of all must have been seen.
SETTLE_MS = 4000.0


class EnginePort(Protocol):
    """Client for the platform's API for orders of engines."""

    def set_subject_count(self, count: int) -> None:
        """Set among how many subjects of all duties the rate is shared."""

    async def order_engines(
        self,
        order: orders.EngineOrder,
        holder: str,
        fence: int,
        may_send: abc.Callable[[], bool],
    ) -> outcomes.DutyOutcome:
        """Order a number of engines.

        may_send is called last before the first byte is sent; without its
        consent the order is withdrawn.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingViews:
    """What an instance knows of demand and supply."""

    registry: registries.Registry
    membership: member.Membership
    get_configuration: abc.Callable[[], routes.Configuration | None]
    # Open items of recent jobs for these models.
    count_open_items: abc.Callable[[abc.Container[str]], int]
    # Whether the copies of entries, jobs and heartbeats are up to date.
    is_fresh: abc.Callable[[], bool]


@dataclasses.dataclass(slots=True)
class _Holding:
    """State of a subject that this instance holds; times in seconds."""

    fence: int
    retry_at: float = float('-inf')
    # Start of the calls in a row for which no connection opened.
    unreachable_since: float | None = None
    # When a call last ended without an answer.
    unanswered_at: float = float('-inf')


class ScalingManager:
    """Observes, plans and orders for the zones whose duty it holds."""

    def __init__(
        self,
        views: ScalingViews,
        port: EnginePort,
        scaling_duty: duty.Duty,
        other_subjects: int,
        write_event: logevents.WriteEvent,
    ):
        self.views = views
        self.port = port
        self.duty = scaling_duty
        # Subjects of other duties that share the rate of calls.
        self.other_subjects = other_subjects
        self.write_event = write_event
        self.planner_by_service: dict[str, plan.Planner] = {}
        self.holding_by_subject: dict[str, _Holding] = {}
        self.fresh_since: float | None = None
        # Whether the last call of the table failed.
        self.is_delayed = False
        self.stopping = False

    async def run(self) -> None:
        """Order engines at intervals while this instance holds a duty."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            try:
                if self.stopping:
                    await self._hand_over(set(), 'stopping')
                else:
                    await self._check()
            except rows.TableError as error:
                if not self.is_delayed:
                    self.write_event(
                        logevents.ScalingDelayed(detail=error.detail)
                    )
                self.is_delayed = True

    async def _check(self) -> None:
        configuration = self.views.get_configuration()
        if configuration is None:
            return
        targets = [
            target
            for target in configuration.service_by_name.values()
            if target.scaling is not None
        ]
        zones_by_service = {
            target.name: observation.list_zones(
                target.scaling,
                self.views.registry.get_all_by_service(target.name),
            )
            for target in targets
        }
        subjects = {
            f'{service}/{zone}'
            for service, zones in zones_by_service.items()
            for zone in zones
        }
        self.port.set_subject_count(len(subjects) + self.other_subjects)
        await self._hand_over(subjects, 'not-configured')
        if not self._is_settled():
            return
        for target in targets:
            await self._check_service(target, zones_by_service[target.name])

    def _is_settled(self) -> bool:
        now = asyncio.get_running_loop().time()
        if not self.views.is_fresh():
            self.fresh_since = None
            # What ran may have changed meanwhile.
            self.planner_by_service.clear()
            return False
        if self.fresh_since is None:
            self.fresh_since = now
        return (now - self.fresh_since) * 1000 >= SETTLE_MS

    async def _check_service(
        self, target: routes.ServiceTarget, zones: list[str]
    ) -> None:
        held = [
            zone for zone in zones if await self._hold(f'{target.name}/{zone}')
        ]
        if not held:
            self.planner_by_service.pop(target.name, None)
            return
        planner = self.planner_by_service.get(target.name)
        if planner is None or planner.scaling != target.scaling:
            planner = plan.Planner(target.name, target.scaling)
            self.planner_by_service[target.name] = planner
        planner.set_zones_elsewhere(set(zones) - set(held))
        observed = observation.observe(
            self.views.registry.get_all_by_service(target.name),
            zones,
            self.views.count_open_items(target.models),
        )
        now = asyncio.get_running_loop().time()
        for order in planner.plan(
            now, observed.demand, observed.supply_by_zone
        ):
            holding = self.holding_by_subject.get(order.subject)
            if holding is not None and holding.retry_at <= now:
                await self._order(planner, order, holding, observed)

    async def _hold(self, subject: str) -> bool:
        """Take the duty if it is free; return whether it is held."""
        if not self.duty.may_lead(subject):
            self._record_end(subject, 'lost')
            return False
        holding = self.holding_by_subject.get(subject)
        now = asyncio.get_running_loop().time()
        if holding is not None and self._is_unreachable(holding, now):
            await self._give_up(subject, 'unreachable')
            return False
        if not self.duty.is_own(subject):
            # Calls are not allowed before the wait of a new holder.
            await self.duty.confirm(subject)
            self.is_delayed = False
        if not self.duty.is_own(subject):
            self._record_end(subject, 'lost')
            return False
        if subject not in self.holding_by_subject:
            fence = self.duty.get_fence(subject)
            self.holding_by_subject[subject] = _Holding(fence)
            self.write_event(
                logevents.DutyTaken(
                    duty='scaling', subject=subject, fence=fence
                )
            )
        return True

    def _is_unreachable(self, holding: _Holding, now: float) -> bool:
        since = holding.unreachable_since
        return (
            since is not None
            and (now - since) * 1000 >= GIVE_UP_UNREACHABLE_MS
            and len(self.views.membership.get_alive(now)) > 1
        )

    async def _order(
        self,
        planner: plan.Planner,
        order: orders.EngineOrder,
        holding: _Holding,
        observed: observation.Observation,
    ) -> None:
        loop = asyncio.get_running_loop()
        grant = await self.duty.confirm(order.subject)
        self.is_delayed = False
        if grant is None:
            if not self.duty.is_own(order.subject):
                self._record_end(order.subject, 'lost')
            return
        reason = planner.explain(order)
        sent_at = loop.time()
        outcome = await self.port.order_engines(
            order,
            self.duty.name,
            grant.fence,
            lambda: not self.stopping and self.duty.is_valid(grant),
        )
        supply = observed.supply_by_zone[order.availability_zone]
        self.write_event(
            logevents.ScalingOrdered(
                service=order.service,
                availability_zone=order.availability_zone,
                spot=order.is_spot,
                engines=order.count,
                reason=reason,
                outcome=outcome.value,
                fence=grant.fence,
                seen_on_demand=supply.on_demand,
                seen_spot=supply.spot,
                open_items=observed.open_items,
                runs=observed.runs,
                wanted=round(observed.demand.wanted, 2),
                committed=round(observed.demand.committed, 2),
                took_ms=round((loop.time() - sent_at) * 1000, 1),
            )
        )
        planner.record(order, outcome, loop.time())
        self._record_outcome(holding, outcome, sent_at)
        if outcome is outcomes.DutyOutcome.FENCED:
            self.duty.refuse(grant)
            # The next holder has a new token.
            await self._give_up(order.subject, 'refused')

    def _record_outcome(
        self, holding: _Holding, outcome: outcomes.DutyOutcome, sent_at: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        if outcome is outcomes.DutyOutcome.UNREACHABLE:
            holding.unreachable_since = holding.unreachable_since or sent_at
        elif outcome is not outcomes.DutyOutcome.WITHDRAWN:
            holding.unreachable_since = None
        if outcome is outcomes.DutyOutcome.UNKNOWN:
            holding.unanswered_at = now
        if outcome in (
            outcomes.DutyOutcome.BUSY,
            outcomes.DutyOutcome.UNREACHABLE,
        ):
            holding.retry_at = now + RETRY_INTERVAL_MS / 1000

    async def _hand_over(self, kept: abc.Set[str], why: str) -> None:
        """Give up the duties of all subjects but those that are kept."""
        for subject in set(self.holding_by_subject) - kept:
            await self._give_up(subject, why)

    async def _give_up(self, subject: str, why: str) -> None:
        """Give a duty up once no call of this instance may still run."""
        if not self.duty.is_own(subject):
            self._record_end(subject, 'lost')
            return
        now = asyncio.get_running_loop().time()
        settings = self.duty.settings
        unanswered_at = self.holding_by_subject[subject].unanswered_at
        is_open = (now - unanswered_at) * 1000 < settings.lease_ms
        if is_open and not settings.fences_are_checked:
            # The next holder waits as for one that died.
            return
        if await self.duty.release(subject):
            self._record_end(subject, why)

    def _record_end(self, subject: str, why: str) -> None:
        holding = self.holding_by_subject.pop(subject, None)
        if holding is not None:
            self.write_event(
                logevents.DutyEnded(
                    duty='scaling',
                    subject=subject,
                    fence=holding.fence,
                    why=why,
                )
            )
