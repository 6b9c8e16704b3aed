"""Replay demand and supply of engines without a network."""

import math

import pytest

from pomelopass.leadership import outcome as outcomes
from pomelopass.scaling import plan

ZONES = ('north', 'middle', 'south')
BOOT_S = 4.0
STEP_S = 0.5
SCALING = plan.Scaling(
    min_count=1,
    max_count=6,
    boot_s=BOOT_S,
    spot_price=0.22,
    price_by_zone={'north': 1.0, 'middle': 1.1, 'south': 1.3},
)
HOLD_S = SCALING.hold_s


class Cloud:
    """Engines by zone and kind, which come up after their boot."""

    def __init__(self, planner, pace_by_zone=None):
        self.planner = planner
        self.pace_by_zone = pace_by_zone or {}
        self.now = 0.0
        # Times from which each engine serves.
        self.engines = {(zone, s): [0.0] for zone in ZONES for s in (False,)}
        self.engines |= {(zone, True): [] for zone in ZONES}
        self.unavailable = set()
        # What happens to the next orders: 'lost' or 'late'.
        self.faults = []
        self.late = []
        self.orders = []

    def get_supply(self):
        return {
            zone: plan.ZoneSupply(
                len(self.engines[zone, False]),
                len(self.engines[zone, True]),
                self.pace_by_zone.get(zone, 1.0),
                sum(
                    at > self.now
                    for is_spot in (False, True)
                    for at in self.engines[zone, is_spot]
                ),
            )
            for zone in ZONES
        }

    def get_capacity(self):
        return sum(
            self.pace_by_zone.get(zone, 1.0)
            for (zone, _), engines in self.engines.items()
            for at in engines
            if at <= self.now
        )

    def get_count(self, is_spot):
        return sum(len(self.engines[zone, is_spot]) for zone in ZONES)

    def execute(self, order):
        key = (order.availability_zone, order.is_spot)
        engines = self.engines[key]
        if order.count > len(engines) and key in self.unavailable:
            return outcomes.DutyOutcome.UNAVAILABLE
        added = order.count - len(engines)
        engines.extend([self.now + BOOT_S] * added)
        del engines[order.count :]
        zone_count = sum(
            len(self.engines[order.availability_zone, is_spot])
            for is_spot in (False, True)
        )
        assert zone_count <= SCALING.max_count
        return outcomes.DutyOutcome.ACCEPTED

    def send(self, order):
        self.orders.append((self.now, order))
        if not self.faults:
            return self.execute(order)
        if self.faults.pop(0) == 'late':
            self.late.append((self.now + 6.0, order))
        return outcomes.DutyOutcome.UNKNOWN

    def run(self, seconds, get_demand):
        """Plan twice a second; check each moment after the first boot."""
        end = self.now + seconds
        while self.now < end:
            for at, order in list(self.late):
                if at <= self.now:
                    self.late.remove((at, order))
                    self.execute(order)
            demand = get_demand(self.now)
            for order in self.planner.plan(
                self.now, demand, self.get_supply()
            ):
                self.planner.record(order, self.send(order), self.now)
            self.now += STEP_S

    def check_no_flapping(self):
        """Check that no change was reverted before it stood for a while."""
        changes = {}
        count_by_key = {}
        for at, order in self.orders:
            key = (order.availability_zone, order.is_spot)
            change = order.count - count_by_key.get(key, order.count)
            count_by_key[key] = order.count
            if not change:
                continue
            before = changes.get(key)
            changes[key] = (at, change > 0)
            if before is not None and before[1] != (change > 0):
                assert at - before[0] >= HOLD_S


def make_cloud(**fields):
    return Cloud(plan.Planner('engines', SCALING), **fields)


def demand(wanted, committed=0.0):
    return lambda now: plan.Demand(wanted, committed)


def test_step_up_is_served_after_one_boot_and_kept_without_orders():
    cloud = make_cloud()
    cloud.run(10, demand(2))
    cloud.run(BOOT_S + 2 * STEP_S, demand(9, committed=4))
    assert cloud.get_capacity() >= 9
    count = len(cloud.orders)
    cloud.run(60, demand(9, committed=4))
    assert len(cloud.orders) == count
    # No more than is needed, with the least price.
    assert cloud.get_count(True) + cloud.get_count(False) == 9


# Engines were released between the steps of a trainer and ordered again.
def test_wave_of_steps_keeps_the_engines_of_its_peaks():
    cloud = make_cloud()
    cloud.run(
        200,
        lambda now: plan.Demand(5 + 5 * math.sin(now * math.tau / 12), 1),
    )
    cloud.check_no_flapping()
    late = [order for at, order in cloud.orders if at > 40]
    assert late == []


def test_demand_that_ends_releases_engines_down_to_the_minimum():
    cloud = make_cloud()
    cloud.run(30, demand(12, committed=6))
    cloud.run(3 * HOLD_S, demand(0))
    for supply in cloud.get_supply().values():
        assert supply.on_demand + supply.spot == SCALING.min_count
    cloud.check_no_flapping()


# All spot engines of a zone left at once, and accepted jobs were late.
@pytest.mark.parametrize('zone', ZONES)
def test_jobs_are_in_time_when_all_spot_engines_of_a_zone_are_reclaimed(zone):
    cloud = make_cloud()
    cloud.run(40, demand(10, committed=6))
    cloud.engines[zone, True].clear()
    cloud.unavailable.add((zone, True))
    assert cloud.get_capacity() >= 6
    cloud.run(BOOT_S + 3 * STEP_S, demand(10, committed=6))
    assert cloud.get_capacity() >= 10
    count = len(cloud.orders)
    cloud.run(60, demand(10, committed=6))
    # Unavailable engines are ordered again, but not in each round.
    assert len(cloud.orders) - count <= 60 / BOOT_S


@pytest.mark.parametrize('fault', ['lost', 'late'])
def test_order_without_an_answer_is_repeated_until_its_engines_come(fault):
    cloud = make_cloud()
    cloud.run(10, demand(2))
    cloud.faults = [fault] * 2
    cloud.run(40, demand(9, committed=4))
    assert cloud.get_capacity() >= 9
    count = len(cloud.orders)
    cloud.run(20, demand(9, committed=4))
    assert len(cloud.orders) == count


# An old order for more engines came after the newer one for fewer.
def test_order_that_is_executed_late_is_corrected():
    cloud = make_cloud()
    cloud.run(40, demand(3))
    zone = ZONES[0]
    cloud.engines[zone, True].extend([cloud.now] * 2)
    cloud.run(HOLD_S, demand(3))
    assert cloud.get_count(True) + cloud.get_count(False) == 3


def test_fast_zones_need_fewer_engines_for_their_price():
    cloud = make_cloud(pace_by_zone={'north': 0.7, 'south': 1.7})
    # More committed work would need spare engines in other zones.
    cloud.run(60, demand(12, committed=2))
    supply = cloud.get_supply()
    assert (
        supply['south'].spot == SCALING.max_count - supply['south'].on_demand
    )
    assert supply['north'].spot + supply['north'].on_demand == 1
    assert cloud.get_capacity() >= 12


# Engines were released while those that replace them still booted.
def test_replaced_engines_serve_until_the_others_do():
    cloud = make_cloud()
    for zone in ZONES:
        cloud.engines[zone, False] = [0.0] * 3
    lowest = [math.inf]

    def get_demand(now):
        lowest[0] = min(lowest[0], cloud.get_capacity())
        return plan.Demand(9, 8)

    cloud.run(60, get_demand)
    assert lowest[0] >= 8
