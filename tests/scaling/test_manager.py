"""Test the orders of engines of whole clusters, with each fault forced."""

import asyncio
import random

import orjson
import pytest

from standins import dutyapi
from standins import modelengines
from standins import virtualloop
from tests import entrybuilders

ZONES = ('north', 'south')
BOOT_S = 4.0
# Instances have seen all entries, and hold the duties, by then.
SETTLE_S = 12.0
SCALING = {
    'min': 1,
    'max': 4,
    'boot_s': BOOT_S,
    'spot_price': 0.22,
    'zone_prices': {'north': 1.0, 'south': 1.3},
}


def make_configuration(scaling=SCALING, version=1):
    value = entrybuilders.make_configuration(version)
    if scaling is not None:
        value['services'][0]['scaling'] = scaling
    return value


class Fleet:
    """Engines of a cluster, which come and go as they are ordered."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.number = 0

    def add(self, zone, is_spot=False):
        self.number += 1
        self.cluster.pool.add(
            modelengines.FakeEndpoint(
                f'ordered-{self.number}',
                'engines',
                version_by_model={entrybuilders.MODEL: 1},
                availability_zone=zone,
                is_spot=is_spot,
            )
        )

    def list(self, zone, is_spot):
        return [
            engine.id
            for engine in self.cluster.pool.endpoint_by_id.values()
            if engine.alive
            and not engine.draining
            and engine.service == 'engines'
            and (engine.availability_zone, engine.is_spot) == (zone, is_spot)
        ]

    def apply(self, zone, is_spot, count):
        loop = asyncio.get_running_loop()
        present = self.list(zone, is_spot)
        for _ in range(count - len(present)):
            loop.call_later(BOOT_S, self.add, zone, is_spot)
        for engine_id in present[count:]:
            self.cluster.pool.crash(engine_id)


def get_orders(api):
    """Return zone, kind and number of each executed order."""
    bodies = [
        orjson.loads(call.body) for call in api.calls if not call.is_refused
    ]
    return [
        (body['zone'], body.get('spot', False), body['target_groups'])
        for body in bodies
    ]


def get_holder(cluster, zone):
    for name, entry in cluster.entry_by_name.items():
        manager = entry.node.scaling.manager
        if entry.alive and f'engines/{zone}' in manager.holding_by_subject:
            return name
    return None


def run(
    scenario,
    configuration=None,
    duties=('autoscale',),
    engines=1,
    **api_fields,
):
    """Run a scenario with so many on-demand engines in each zone."""

    async def start():
        api = dutyapi.DutyApi(duties=duties, **api_fields)
        cluster = entrybuilders.make_cluster(
            instances=0, engines=0, duty_api=api
        )
        cluster.put_configuration(configuration or make_configuration())
        fleet = Fleet(cluster)
        for zone in ZONES * engines:
            fleet.add(zone)
        api.on_order = fleet.apply
        for number in range(3):
            cluster.start(f'entry-{number}')
        await asyncio.sleep(SETTLE_S)
        await scenario(cluster, api, fleet)
        await cluster.stop()
        assert api.find_violations() == []
        assert not cluster.get_events('task-failed')

    virtualloop.run(start())


def demand_more(cluster, items=24):
    """Show each instance a steady demand of three engines in all."""
    for entry in cluster.entry_by_name.values():
        manager = entry.node.scaling.manager
        object.__setattr__(
            manager.views, 'count_open_items', lambda models: items
        )


@pytest.mark.parametrize('checks_fences', [True, False])
def test_more_demand_is_ordered_once_as_spot_engine_of_cheapest_zone(
    checks_fences,
):
    async def scenario(cluster, api, fleet):
        assert get_orders(api) == []
        demand_more(cluster)
        await asyncio.sleep(8 * BOOT_S)
        assert get_orders(api) == [('north', True, 1)]
        (event,) = cluster.get_events('scaling-ordered')
        assert event['reason'] == 'more-needed'
        assert event['open_items'] == 24

    run(scenario, checks_fences=checks_fences)


# A service that is not scaled, or a deployment without the duty, must see
# neither calls nor rows.
@pytest.mark.parametrize(
    ('scaling', 'duties'), [(None, ('autoscale',)), (SCALING, ())]
)
def test_nothing_happens_without_configuration(scaling, duties):
    async def scenario(cluster, api, fleet):
        await asyncio.sleep(4 * BOOT_S)
        assert api.calls == []
        assert not [
            name
            for name in cluster.service.row_by_name
            if name.key.startswith('scaling/')
        ]
        for entry in cluster.entry_by_name.values():
            assert bool(entry.node.scaling.get_tasks()) == bool(duties)

    run(scenario, make_configuration(scaling), duties)


# A new holder that did not take over what was ordered would order again, and
# one that knows no earlier demand would end engines at once.
@pytest.mark.parametrize('checks_fences', [True, False])
def test_killed_holder_is_replaced_and_changes_nothing(checks_fences):
    async def scenario(cluster, api, fleet):
        demand_more(cluster)
        await asyncio.sleep(3 * BOOT_S)
        first = get_holder(cluster, 'north')
        cluster.kill(first)
        await asyncio.sleep(6 * BOOT_S)
        assert get_holder(cluster, 'north') not in (None, first)
        assert get_orders(api) == [('north', True, 1)]
        demand_more(cluster, items=32)
        await asyncio.sleep(3 * BOOT_S)
        assert get_orders(api)[1:] == [('north', True, 2)]

    run(scenario, checks_fences=checks_fences)


def test_holder_that_stops_releases_the_duty():
    async def scenario(cluster, api, fleet):
        name = get_holder(cluster, 'north')
        node = cluster.entry_by_name[name].node
        node.begin_stop(asyncio.get_running_loop().time() + 5)
        await asyncio.sleep(1.5)
        assert not node.scaling.manager.holding_by_subject
        assert get_holder(cluster, 'north') not in (None, name)
        reasons = {e['why'] for e in cluster.get_events('duty-ended')}
        assert reasons == {'stopping'}

    run(scenario)


# The zone without engines must not be asked every round, and another one
# must get the order.
def test_zone_without_engines_is_left_alone_for_some_boots():
    async def scenario(cluster, api, fleet):
        api.unavailable.add(('north', True))
        demand_more(cluster)
        await asyncio.sleep(2 * BOOT_S + 12)
        orders = get_orders(api)
        assert orders.count(('south', True, 1)) == 1
        assert 1 <= orders.count(('north', True, 1)) <= 3
        assert len(set(orders)) == 2
        # Stays while the cheaper zone has none.
        await asyncio.sleep(10 * BOOT_S)
        assert get_orders(api).count(('south', True, 1)) == 1
        assert ('south', True, 0) not in get_orders(api)

    run(scenario, checks_fences=False)


# The order may have run: a repeat at once would be redundant, and none at
# all would leave the demand unserved.
def test_order_that_is_lost_is_repeated_after_boot_and_delay():
    async def scenario(cluster, api, fleet):
        api.on_order = lambda zone, is_spot, count: None
        api.lost_answers = 1
        demand_more(cluster)
        await asyncio.sleep(BOOT_S + 8)
        assert len(api.calls) == 1
        api.on_order = fleet.apply
        await asyncio.sleep(BOOT_S)
        assert get_orders(api) == [('north', True, 1)] * 2
        await asyncio.sleep(4 * BOOT_S)
        assert len(api.calls) == 2

    run(scenario)


# Executed after a newer order, the old one leaves fewer engines than ordered.
def test_old_order_that_is_executed_late_is_corrected():
    async def scenario(cluster, api, fleet):
        demand_more(cluster, items=32)
        await asyncio.sleep(3 * BOOT_S)
        assert len(fleet.list('north', True)) == 2
        fleet.apply('north', True, 1)
        await asyncio.sleep(5 * BOOT_S)
        assert len(fleet.list('north', True)) == 2
        assert get_orders(api) == [('north', True, 2)] * 2

    run(scenario)


# Pauses of trainers must not end on-demand engines that ran at the start.
def test_on_demand_engines_stay_until_demand_was_low_for_long():
    async def scenario(cluster, api, fleet):
        demand_more(cluster, items=32)
        await asyncio.sleep(3 * BOOT_S)
        demand_more(cluster, items=0)
        await asyncio.sleep(10 * BOOT_S)
        assert [order for order in get_orders(api) if not order[1]] == []
        await asyncio.sleep(7 * BOOT_S)
        ended = [order for order in get_orders(api) if not order[1]]
        assert sorted(ended) == [('north', False, 1), ('south', False, 1)]

    run(scenario, engines=2)


# The floor counted as capacity, so that nothing replaced the lost engine.
def test_spot_engine_replaces_lost_one_that_is_not_available():
    async def scenario(cluster, api, fleet):
        api.unavailable.add(('north', False))
        demand_more(cluster, items=16)
        await asyncio.sleep(2)
        (lost,) = fleet.list('north', False)
        cluster.pool.crash(lost)
        await asyncio.sleep(4 * BOOT_S)
        assert fleet.list('north', True)
        assert ('north', False, 0) not in get_orders(api)
        asked = get_orders(api).count(('north', False, 1))
        assert 1 <= asked <= 3

    run(scenario, checks_fences=False)


# Takeovers, lost answers and outages in any order must neither break the
# rules of duties nor end engines that the demand needs.
@pytest.mark.parametrize('checks_fences', [True, False])
@pytest.mark.parametrize('seed', range(3))
def test_random_faults_end_in_the_engines_that_are_needed(seed, checks_fences):
    async def scenario(cluster, api, fleet):
        rng = random.Random(seed)
        for _ in range(8):
            demand_more(cluster, items=rng.choice([16, 24, 40]))
            kind = rng.choice(['kill', 'lost', 'late', 'api', 'table'])
            name = get_holder(cluster, rng.choice(ZONES))
            if kind == 'kill' and name is not None:
                cluster.kill(name)
                await asyncio.sleep(rng.uniform(0.1, 5))
                cluster.start(name)
            api.lost_answers += kind == 'lost'
            api.late_calls, api.late_s = int(kind == 'late'), 1.5
            api.down = kind == 'api'
            cluster.service.down = kind == 'table'
            await asyncio.sleep(rng.uniform(0.5, 6))
            api.down = cluster.service.down = False
            await asyncio.sleep(rng.uniform(0.5, 6))
        api.late_calls = api.lost_answers = 0
        demand_more(cluster, items=40)
        await asyncio.sleep(15 * BOOT_S)
        for zone in ZONES:
            assert fleet.list(zone, False)
        assert not [o for o in get_orders(api) if o[1:] == (False, 0)]
        count = sum(len(fleet.list(z, s)) for z in ZONES for s in (0, 1))
        assert 5 <= count <= 6
        settled = len(api.calls)
        await asyncio.sleep(15 * BOOT_S)
        assert len(api.calls) == settled

    run(scenario, checks_fences=checks_fences)
