"""Test the placement of whole instances in several zones."""

import asyncio
import json

from bench import zonedata
from bench import zonefleet
from pomelopass.commands import where
from pomelopass.entry import placementparts
from pomelopass.entry import telemetry
from pomelopass.requests import call as calls
from pomelopass.requests import routes
from standins import virtualloop
from tests import entrybuilders

HOST = 'trainer.bench'
PRICE = 1000.0


def make_pattern(**changes):
    return zonedata.ZonePattern(
        **{
            'name': 'small',
            'zones': [
                {'name': 'east', 'instances': 1, 'pace': 0.5},
                {'name': 'west', 'instances': 1, 'pace': 2.0},
            ],
            'one_way_ms': 2.0,
            'jitter': 0.0,
            'work': [{'route': 'score', 'work_ms': 60}],
            **changes,
        }
    )


def run_fleet(scenario, has_price=True, **changes):
    async def run():
        cluster = zonefleet.make_cluster(make_pattern(**changes), 3, has_price)
        await asyncio.sleep(entrybuilders.START_S)
        await scenario(cluster)
        await cluster.stop()

    virtualloop.run(run())


async def send(cluster, name, count, pause_s=0.02):
    node = cluster.entry_by_name[name].node
    for number in range(count):
        loop = asyncio.get_running_loop()
        call = calls.Call(
            f'{name}.{loop.time()}.{number}',
            *(HOST, 'POST', '/score/x', (), b'x' * 1000, None),
        )
        route = routes.find_route(
            node.view.configuration, call.host, call.target
        )
        outcome = await node.forwarder.forward(call, route)
        assert outcome.status == 200
        await asyncio.sleep(pause_s)
    return [
        event['endpoints'][0].split('-')[0]
        for event in cluster.get_events('request-ended')[-count:]
    ]


def test_instance_measures_the_way_and_leaves_for_a_fast_zone():
    async def scenario(cluster):
        zones = await send(cluster, 'east-0', 40)
        assert zones.count('west') > 20
        assert zones[-1] == 'west'
        latencies = cluster.entry_by_name['east-0'].node.placer.latencies
        way = latencies.get_way('west')
        assert round(way.round_trip_ms, 3) == 4.0

    run_fleet(scenario)


def test_operator_sees_how_much_left_and_why_in_few_lines():
    async def scenario(cluster):
        await send(cluster, 'east-0', 60)
        await asyncio.sleep(12)
        events = cluster.get_events('zone-left')
        assert {event['why'] for event in events} <= {'pace', 'scout'}
        assert len(events) <= 4
        left = sum(event['left'] for event in events)
        assert left > 30
        assert sum(event['bytes'] for event in events) == left * 5000

    run_fleet(scenario)


def test_metrics_count_what_left():
    async def scenario(cluster):
        metrics = telemetry.Telemetry('east-0')
        placer = cluster.entry_by_name['east-0'].node.placer
        await send(cluster, 'east-0', 30)
        for event in placer.traffic.take_events():
            metrics.count_event(event)
        pair = {'service': 'desk', 'zone': 'west'}
        left = metrics.zone_left.get({**pair, 'reason': 'pace'})
        assert left > 10
        assert metrics.zone_bytes.get(pair) >= left * 5000

    run_fleet(scenario)


def test_setting_takes_effect_without_a_restart():
    async def scenario(cluster):
        node = cluster.entry_by_name['east-0'].node
        await send(cluster, 'east-0', 10)
        assert not node.placer.by_service
        changed = node.settings.model_copy(
            update={'zone_transfer_ms_per_mb': PRICE}
        )
        node.apply_settings(changed)
        await send(cluster, 'east-0', 20)
        assert node.placer.by_service['desk'].is_away
        node.apply_settings(
            changed.model_copy(update={'zone_transfer_ms_per_mb': None})
        )
        assert not node.placer.is_enabled

    run_fleet(scenario, has_price=False)


# The peer's zone is known only from its heartbeat.
def test_calls_over_a_peer_are_charged_for_its_zone():
    async def scenario(cluster):
        entry = cluster.entry_by_name['east-0']
        entry.links.lost_zones = {'east'}
        placer = entry.node.placer
        state = entry.node.registry.state_by_id['east-server-0']
        assert placer.get_way(state).crossings == 0
        await send(cluster, 'east-0', 3)
        assert entry.node.paths.endpoints.get_carrier(state.endpoint.id)
        assert placer.get_way(state).crossings == 2

    run_fleet(
        scenario,
        zones=[
            {'name': 'east', 'instances': 1},
            {'name': 'west', 'instances': 1, 'endpoints': 0},
        ],
    )


def test_items_of_a_step_are_placed():
    async def scenario(cluster):
        # The job's owner may be either instance.
        submission = entrybuilders.make_submission(groups=2, size=3)
        items = [
            item.__class__(
                item.id,
                *(item.path, (('model', 'a'),), item.body, item.group, 'a'),
            )
            for item in submission.items
        ]
        submission = submission.__class__(
            submission.id,
            HOST,
            *('/jobs/submit', 'a', 0, 1, 2, tuple(items)),
        )
        await cluster.submit('east-0', submission)
        results = await cluster.read_all(submission.id, 20.0)
        assert all(result.completed for result in results)
        owner = next(
            entry.node
            for entry in cluster.entry_by_name.values()
            if entry.node.placer.sizes.text_by_model
        )
        assert owner.placer.sizes.text_by_model['a'].event_bytes > 0
        assert not owner.scheduler.waiting

    run_fleet(
        scenario, work=[], steps={'count': 1, 'groups': 1, 'group_size': 1}
    )


def test_command_explains_the_saved_state_of_an_instance(tmp_path, capsys):
    path = tmp_path / 'state.json'

    async def scenario(cluster):
        zones = await send(cluster, 'east-0', 40)
        assert zones[-1] == 'west'
        node = cluster.entry_by_name['east-0'].node
        reply = placementparts.make_state_reply(node.take_placement())
        path.write_bytes(reply.body)

    run_fleet(scenario)
    where.Where('score', state=str(path), json=True).run(None)
    explained = json.loads(capsys.readouterr().out)
    assert explained['endpoint'] == 'west-server-0'
    assert explained['rows'][0]['parts_ms']['way'] == 4.0
