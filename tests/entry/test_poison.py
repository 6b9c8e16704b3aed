"""Test requests and items that crash the endpoints that run them."""

import asyncio
import dataclasses

from pomelopass import message
from standins import modelengines
from tests import entrybuilders


async def send_request(cluster, name, request_id, body):
    request = message.Request(
        'POST',
        '/scores/1',
        (('host', entrybuilders.HOST), ('attempt-id', request_id)),
        body,
    )
    return await cluster.entry_by_name[name].node.ingress.handle(request)


def test_request_that_crashes_endpoints_is_refused_everywhere():
    async def scenario(cluster):
        for number in range(12):
            name = f'entry-{number % 3}'
            await send_request(
                cluster, name, f'bad-{number}', modelengines.POISON
            )
            await asyncio.sleep(1.5)
        runs = sum(
            request_id.startswith('bad')
            for endpoint in cluster.pool.endpoint_by_id.values()
            for request_id in endpoint.ran
        )
        assert 3 <= runs <= 5
        reply = await send_request(
            cluster, 'entry-0', 'bad-x', modelengines.POISON
        )
        assert reply.status == 503
        assert message.find_header(reply.headers, 'retry-after')
        reply = await send_request(cluster, 'entry-0', 'good', b'harmless')
        assert reply.status == 200

    entrybuilders.run_cluster(scenario)


def test_item_that_crashes_engines_runs_three_times():
    async def scenario(cluster):
        harmless = entrybuilders.make_submission(groups=1, size=2)
        crashing_item = dataclasses.replace(
            harmless.items[0], body=modelengines.POISON
        )
        submission = dataclasses.replace(
            harmless, items=(crashing_item, harmless.items[1])
        )
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(20)
        runs = sum(
            endpoint.ran.count(crashing_item.id)
            for endpoint in cluster.pool.endpoint_by_id.values()
        )
        assert runs == 3
        results = await cluster.read_all('job-1', 30)
        assert {result.item_id: result.completed for result in results} == {
            crashing_item.id: False,
            harmless.items[1].id: True,
        }

    entrybuilders.run_cluster(scenario)
