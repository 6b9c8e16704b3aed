"""Decide how many engines of each kind a service has in each zone.

The load pattern: trainers' steps come in waves, so that demand falls to
nothing between them; spot engines cost less and may be reclaimed, all of a
zone at once; engines differ in pace by zone; orders may be refused, lost or
executed late, which only the engines' entries show.
"""

import collections
from collections import abc
import dataclasses
import itertools

from ..leadership import outcome as outcomes
from . import order as orders

__all__ = ['Demand', 'Planner', 'Scaling', 'ZoneSupply']

# Multiples of the boot time for which a change is not reverted, and for which
# engines are kept for the highest demand.
HOLD_BOOTS = 4
# Multiples of the boot time until unavailable engines are ordered again.
UNAVAILABLE_BOOTS = 2
# Until an order whose engines are not seen is sent again, beyond their boot:
# a call without an answer may be executed 6 s later, and entries appear.
RESEND_DELAY_S = 8.0
# Until engines that another holder should order are not counted on, beyond
# two boots: a lost order is sent again, and its engines boot.
UNSERVED_DELAY_S = 10.0
# On-demand engines that ran at the start leave only after the demand was
# below this share of them for so many boots: pauses of trainers are shorter.
LOW_SHARE = 0.5
LOW_BOOTS = 15
# Engines that run are kept unless others are this much cheaper.
KEEP_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """Bounds and prices of the engines of a service."""

    # Of both kinds together, in each zone.
    min_count: int
    max_count: int
    boot_s: float
    # Share of the price of an on-demand engine.
    spot_price: float
    price_by_zone: abc.Mapping[str, float]

    @property
    def hold_s(self) -> float:
        """Return the time within which a change is not reverted."""
        return self.boot_s * HOLD_BOOTS


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Work of a service, in engines of the usual pace."""

    # For all work that waits or runs.
    wanted: float
    # For the accepted jobs alone, so that they are in time.
    committed: float


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSupply:
    """Engines that serve or boot in a zone, without those that leave."""

    on_demand: int
    spot: int
    # How many times as fast as usual they are.
    pace: float = 1.0
    # How many of them do not serve yet.
    booting: int = 0

    def count(self, is_spot: bool) -> int:
        """Return the engines of a kind."""
        return self.spot if is_spot else self.on_demand


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    zone: str
    is_spot: bool


@dataclasses.dataclass(slots=True)
class _Ordered:
    """Last order of a kind, and since when its direction may not revert."""

    count: int
    at: float = float('-inf')
    found_at: float = float('-inf')
    raised_at: float = float('-inf')
    lowered_at: float = float('-inf')
    unavailable_until: float = float('-inf')


class Planner:
    """Plan of one service; times are seconds of one clock."""

    def __init__(self, service: str, scaling: Scaling):
        self.service = service
        self.scaling = scaling
        self.ordered_by_kind: dict[_Kind, _Ordered] = {}
        # Times and demands, from the highest to the present one.
        self.peaks: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # On-demand engines that stay, by zone: those found at the start.
        self.floor_by_zone: dict[str, int] = {}
        # Since when the demand is low, and when floors were lowered last.
        self.low_since: float | None = None
        self.floors_lowered_at = float('-inf')
        # Zones whose orders another instance gives.
        self.zones_elsewhere: set[str] = set()
        # Since when engines of these are missing, and their numbers when
        # they were missing for too long to be counted on.
        self.missing_since_by_kind: dict[_Kind, float] = {}
        self.unserved_by_kind: dict[_Kind, int] = {}

    def set_zones_elsewhere(self, zones: abc.Iterable[str]) -> None:
        """Set the zones whose orders another instance gives."""
        # What runs when this instance takes a zone over counts as ordered.
        for zone in self.zones_elsewhere.union(zones):
            self._forget_zone(zone)
        self.zones_elsewhere = set(zones)

    def _forget_zone(self, zone: str) -> None:
        for is_spot in (False, True):
            self.ordered_by_kind.pop(_Kind(zone, is_spot), None)
        self.floor_by_zone.pop(zone, None)

    def explain(self, order: orders.EngineOrder) -> str:
        """Return why an order is due, as a value in the log."""
        rise = self._get_rise(order)
        if rise == 0:
            return 'not-seen'
        return 'more-needed' if rise > 0 else 'fewer-needed'

    def plan(
        self,
        now: float,
        demand: Demand,
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> list[orders.EngineOrder]:
        """Return the orders to send now, those of fewer engines first."""
        for kind in _list_kinds(supply_by_zone):
            present = supply_by_zone[kind.zone].count(kind.is_spot)
            # A new planner assumes that the present engines were ordered.
            ordered = self.ordered_by_kind.setdefault(
                kind, _Ordered(present, raised_at=now, found_at=now)
            )
            self._record_found(now, kind, ordered, present)
        needed = max(demand.wanted, demand.committed)
        self._lower_floors(now, needed, supply_by_zone)
        wanted = self._get_peak(now, needed)
        target = self._choose(now, wanted, demand.committed, supply_by_zone)
        self._record_unserved(now, target, supply_by_zone)
        target = self._hold(now, target, demand, supply_by_zone)
        due = [
            orders.EngineOrder(self.service, kind.zone, count, kind.is_spot)
            for kind, count in target.items()
            if self._is_due(now, kind, count, supply_by_zone)
        ]
        return sorted(due, key=self._get_rise)

    def record(
        self,
        order: orders.EngineOrder,
        outcome: outcomes.DutyOutcome,
        now: float,
    ) -> None:
        """Record the answer to an order."""
        ordered = self.ordered_by_kind[
            _Kind(order.availability_zone, order.is_spot)
        ]
        if outcome is outcomes.DutyOutcome.UNAVAILABLE:
            ordered.unavailable_until = (
                now + UNAVAILABLE_BOOTS * self.scaling.boot_s
            )
        if outcome not in (
            outcomes.DutyOutcome.ACCEPTED,
            outcomes.DutyOutcome.UNKNOWN,
        ):
            return
        if order.count > ordered.count:
            ordered.raised_at = now
        if order.count < ordered.count:
            ordered.lowered_at = now
        ordered.count = order.count
        ordered.at = now

    def _record_found(
        self, now: float, kind: _Kind, ordered: _Ordered, present: int
    ) -> None:
        """Keep what an earlier holder ordered and what boots meanwhile."""
        if not kind.is_spot:
            self.floor_by_zone.setdefault(kind.zone, present)
        since_s = now - ordered.found_at
        if (
            present <= ordered.count
            or ordered.at > float('-inf')
            or since_s >= self.scaling.boot_s + RESEND_DELAY_S
        ):
            return
        ordered.count = present
        ordered.raised_at = now
        if not kind.is_spot:
            self.floor_by_zone[kind.zone] = max(
                self.floor_by_zone[kind.zone], present
            )

    def _record_unserved(
        self,
        now: float,
        target: dict[_Kind, int],
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> None:
        """Record the zones of others in which no more engines appear.

        Only the holder of a zone hears that none are available there. A zone
        counts again once it has more.
        """
        for kind, count in target.items():
            present = supply_by_zone[kind.zone].count(kind.is_spot)
            if kind.zone not in self.zones_elsewhere:
                self.missing_since_by_kind.pop(kind, None)
                self.unserved_by_kind.pop(kind, None)
                continue
            if present > self.unserved_by_kind.get(kind, present):
                del self.unserved_by_kind[kind]
            if count <= present:
                self.missing_since_by_kind.pop(kind, None)
                continue
            since = self.missing_since_by_kind.setdefault(kind, now)
            if now - since >= 2 * self.scaling.boot_s + UNSERVED_DELAY_S:
                self.unserved_by_kind[kind] = present

    def _lower_floors(
        self,
        now: float,
        needed: float,
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> None:
        """Lower each floor by an engine after a long time of low demand."""
        capacity = sum(
            self.floor_by_zone[zone] * supply.pace
            for zone, supply in supply_by_zone.items()
        )
        if needed >= LOW_SHARE * capacity:
            self.low_since = None
            return
        if self.low_since is None:
            self.low_since = now
        if (
            now - self.low_since < LOW_BOOTS * self.scaling.boot_s
            or now - self.floors_lowered_at < self.scaling.hold_s
        ):
            return
        self.floors_lowered_at = now
        for zone in supply_by_zone:
            self.floor_by_zone[zone] = max(self.floor_by_zone[zone] - 1, 0)

    def _get_floor(self, zone: str) -> int:
        return min(self.floor_by_zone[zone], self.scaling.max_count)

    def _get_peak(self, now: float, wanted: float) -> float:
        while self.peaks and self.peaks[-1][1] <= wanted:
            self.peaks.pop()
        self.peaks.append((now, wanted))
        while now - self.peaks[0][0] > self.scaling.hold_s:
            self.peaks.popleft()
        return self.peaks[0][1]

    def _choose(
        self,
        now: float,
        wanted: float,
        committed: float,
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> dict[_Kind, int]:
        """Return the cheapest numbers that serve the demand."""
        target = dict.fromkeys(_list_kinds(supply_by_zone), 0)
        for zone in supply_by_zone:
            kind = _Kind(zone, is_spot=False)
            # Others carry the work of those that are not available.
            while target[kind] < self._get_floor(zone) and self._is_available(
                now, kind, target, supply_by_zone
            ):
                target[kind] += 1

        for zone in supply_by_zone:
            while _count_zone(target, zone) < self.scaling.min_count:
                in_zone = [kind for kind in target if kind.zone == zone]
                kind = self._find_cheapest(
                    now, in_zone, target, supply_by_zone
                )
                if kind is None:
                    break
                target[kind] += 1
        while _get_capacity(target, supply_by_zone) < wanted:
            kind = self._find_cheapest(now, target, target, supply_by_zone)
            if kind is None:
                break
            target[kind] += 1
        for zone in supply_by_zone:
            self._cover_loss(now, zone, target, committed, supply_by_zone)
        dearest_first = sorted(
            supply_by_zone,
            key=lambda zone: self._get_cost(
                _Kind(zone, is_spot=True), target, supply_by_zone
            ),
            reverse=True,
        )
        for zone in dearest_first:
            self._trim(zone, target, wanted, committed, supply_by_zone)
        return target

    def _find_cheapest(
        self,
        now: float,
        kinds: abc.Iterable[_Kind],
        target: dict[_Kind, int],
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> _Kind | None:
        """Return the kind of which one more engine costs least, or None."""
        available = [
            kind
            for kind in kinds
            if _count_zone(target, kind.zone) < self.scaling.max_count
            and self._is_available(now, kind, target, supply_by_zone)
        ]
        return min(
            available,
            key=lambda kind: self._get_cost(kind, target, supply_by_zone),
            default=None,
        )

    def _cover_loss(
        self,
        now: float,
        zone: str,
        target: dict[_Kind, int],
        committed: float,
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> None:
        """Add engines so that jobs are in time without a zone's spot engines.

        If there is no room for more, on-demand engines of the zone replace
        its spot engines.
        """
        on_demand = _Kind(zone, is_spot=False)
        spot = _Kind(zone, is_spot=True)
        while _get_capacity_without(target, supply_by_zone, zone) < committed:
            others = [kind for kind in target if kind != spot]
            kind = self._find_cheapest(now, others, target, supply_by_zone)
            if kind is None:
                if not target[spot] or not self._is_available(
                    now, on_demand, target, supply_by_zone
                ):
                    return
                target[spot] -= 1
                kind = on_demand
            target[kind] += 1

    def _trim(
        self,
        zone: str,
        target: dict[_Kind, int],
        wanted: float,
        committed: float,
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> None:
        """Remove spot engines that others made needless."""
        spot = _Kind(zone, is_spot=True)
        while target[spot] and (
            _count_zone(target, zone) > self.scaling.min_count
        ):
            target[spot] -= 1
            left = min(
                _get_capacity_without(target, supply_by_zone, other)
                for other in supply_by_zone
            )
            if left < committed or (
                _get_capacity(target, supply_by_zone) < wanted
            ):
                target[spot] += 1
                return

    def _is_available(
        self,
        now: float,
        kind: _Kind,
        target: dict[_Kind, int],
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> bool:
        if (
            self.ordered_by_kind[kind].unavailable_until <= now
            and kind not in self.unserved_by_kind
        ):
            return True
        present = supply_by_zone[kind.zone].count(kind.is_spot)
        return target[kind] < present

    def _get_cost(
        self,
        kind: _Kind,
        target: dict[_Kind, int],
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> float:
        """Return the price of one more engine for the usual pace."""
        price = self.scaling.price_by_zone.get(kind.zone, 1.0)
        if kind.is_spot:
            price *= self.scaling.spot_price
        if target[kind] < self.ordered_by_kind[kind].count:
            price *= KEEP_SHARE
        return price / supply_by_zone[kind.zone].pace

    def _hold(
        self,
        now: float,
        target: dict[_Kind, int],
        demand: Demand,
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> dict[_Kind, int]:
        """Return the target without changes that revert recent ones."""
        present = {
            kind: supply_by_zone[kind.zone].count(kind.is_spot)
            for kind in target
        }
        is_urgent = _get_capacity(present, supply_by_zone) < demand.committed
        held = dict(target)
        for kind, count in target.items():
            ordered = self.ordered_by_kind[kind]
            reverts_rise = now - ordered.raised_at < self.scaling.hold_s
            reverts_fall = now - ordered.lowered_at < self.scaling.hold_s
            if (count < ordered.count and reverts_rise) or (
                count > ordered.count and reverts_fall and not is_urgent
            ):
                held[kind] = ordered.count
        kept = {kind: min(held[kind], present[kind]) for kind in held}
        booting = sum(
            supply.booting * supply.pace for supply in supply_by_zone.values()
        )
        if _get_capacity(kept, supply_by_zone) - booting < demand.committed:
            # Engines leave once those that replace them serve.
            for kind, count in held.items():
                held[kind] = max(count, self.ordered_by_kind[kind].count)
        for zone in supply_by_zone:
            kind = _Kind(zone, is_spot=False)
            held[kind] = max(held[kind], self._get_floor(zone))
        for kind in held:
            # What is held may leave no room for a rise of the other kind.
            excess = _count_zone(held, kind.zone) - self.scaling.max_count
            rise = held[kind] - self.ordered_by_kind[kind].count
            if excess > 0 and rise > 0:
                held[kind] -= min(excess, rise)
        return held

    def _is_due(
        self,
        now: float,
        kind: _Kind,
        count: int,
        supply_by_zone: abc.Mapping[str, ZoneSupply],
    ) -> bool:
        ordered = self.ordered_by_kind[kind]
        if count != ordered.count:
            return True
        if ordered.unavailable_until > now:
            return False
        # The order was lost, an older one was executed after it, or engines
        # were reclaimed.
        resend_s = self.scaling.boot_s + RESEND_DELAY_S
        present = supply_by_zone[kind.zone].count(kind.is_spot)
        return present != count and now - ordered.at >= resend_s

    def _get_rise(self, order: orders.EngineOrder) -> int:
        kind = _Kind(order.availability_zone, order.is_spot)
        return order.count - self.ordered_by_kind[kind].count


def _list_kinds(zones: abc.Iterable[str]) -> list[_Kind]:
    return [
        _Kind(zone, is_spot)
        for zone, is_spot in itertools.product(sorted(zones), (True, False))
    ]


def _count_zone(count_by_kind: dict[_Kind, int], zone: str) -> int:
    return sum(
        count for kind, count in count_by_kind.items() if kind.zone == zone
    )


def _get_capacity(
    count_by_kind: dict[_Kind, int],
    supply_by_zone: abc.Mapping[str, ZoneSupply],
) -> float:
    return sum(
        count * supply_by_zone[kind.zone].pace
        for kind, count in count_by_kind.items()
    )


def _get_capacity_without(
    count_by_kind: dict[_Kind, int],
    supply_by_zone: abc.Mapping[str, ZoneSupply],
    zone: str,
) -> float:
    """Return the capacity once the spot engines of a zone are reclaimed."""
    spot = count_by_kind[_Kind(zone, is_spot=True)]
    lost = spot * supply_by_zone[zone].pace
    return _get_capacity(count_by_kind, supply_by_zone) - lost
