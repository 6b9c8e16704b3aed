"""Test requests that crash the endpoints that run them."""

import asyncio
import dataclasses

from pomelopass import message
from standins import modelengines
from tests import entrybuilders


async def ask(cluster, name, request_id, body):
    request = message.Request(
        'POST',
        '/scores/1',
        (('host', entrybuilders.HOST), ('attempt-id', request_id)),
        body,
    )
    return await cluster.entry_by_name[name].node.ingress.handle(request)


def test_a_request_that_crashes_endpoints_is_stopped_everywhere():
    async def scenario(cluster):
        for number in range(12):
            name = f'entry-{number % 3}'
            await ask(cluster, name, f'bad-{number}', modelengines.POISON)
            await asyncio.sleep(1.5)
        runs = sum(
            one.startswith('bad')
            for endpoint in cluster.pool.endpoint_by_id.values()
            for one in endpoint.ran
        )
        assert 3 <= runs <= 5
        reply = await ask(cluster, 'entry-0', 'bad-x', modelengines.POISON)
        assert reply.status == 503
        assert message.find_header(reply.headers, 'retry-after')
        reply = await ask(cluster, 'entry-0', 'good', b'harmless')
        assert reply.status == 200

    entrybuilders.run_cluster(scenario)


def test_an_item_that_crashes_engines_stops_after_three():
    async def scenario(cluster):
        good = entrybuilders.make_submission(groups=1, size=2)
        bad = dataclasses.replace(good.items[0], body=modelengines.POISON)
        submission = dataclasses.replace(good, items=(bad, good.items[1]))
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(20)
        runs = sum(
            endpoint.ran.count(bad.id)
            for endpoint in cluster.pool.endpoint_by_id.values()
        )
        assert runs == 3
        results = await cluster.read_all('job-1', 30)
        assert {one.item_id: one.completed for one in results} == {
            bad.id: False,
            good.items[1].id: True,
        }

    entrybuilders.run_cluster(scenario)
