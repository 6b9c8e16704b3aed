"""Test pools that are empty, slow, or reduced to one endpoint or zone."""

import asyncio
import json

from standins import virtualloop
from tests import builders

COMPLETION = {'model': 'matching', 'prompt': 'x', 'max_tokens': 8}


def test_request_to_an_empty_pool_is_refused_immediately():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=0)
        started_at = asyncio.get_running_loop().time()
        reply = await sim_cluster.send_request(
            'entry-0', 'POST', '/v1/completions', COMPLETION
        )
        body = json.loads(reply.body)
        assert (body['code'], body['verdict']) == ('no-endpoint', 'not-run')
        assert asyncio.get_running_loop().time() - started_at < 1

    virtualloop.run(main())


def test_retry_reuses_the_only_endpoint():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=1)
        engine = sim_cluster.engine_by_name['engine-0']
        engine.app.faults['truncate'] = 1
        reply = await sim_cluster.send_request(
            'entry-0', 'POST', '/v1/completions', COMPLETION
        )
        assert reply.status == 200

    virtualloop.run(main())


def test_requests_succeed_with_one_remaining_zone():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        for name in ('engine-1', 'engine-2'):
            sim_cluster.network.refused.add(f'{name}:1')
        for index in range(20):
            body = {**COMPLETION, 'prompt': f'prompt {index}'}
            reply = await sim_cluster.send_request(
                'entry-0', 'POST', '/v1/completions', body
            )
            assert reply.status == 200, reply.body

    virtualloop.run(main())


def test_uniform_slowness_causes_no_ejection_storm():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=4)
        context = sim_cluster.member_by_name['entry-0'].context

        async def request_completion(index: int) -> int:
            body = {**COMPLETION, 'prompt': f'prompt {index}'}
            reply = await sim_cluster.send_request(
                'entry-0', 'POST', '/v1/completions', body
            )
            assert count_ejected(context) <= 1
            return reply.status

        await asyncio.gather(
            *(request_completion(index) for index in range(24))
        )
        for engine in sim_cluster.engine_by_name.values():
            engine.app.faults['slow_factor'] = 10.0
        statuses = await asyncio.gather(
            *(request_completion(index) for index in range(24, 48))
        )
        assert set(statuses) == {200}
        await asyncio.sleep(10)
        assert count_ejected(context) == 0

    virtualloop.run(main())


def count_ejected(context) -> int:
    """Return the number of engines that are ejected now."""
    now_ms = context.ports.clock.now_ms()
    health_states = context.pool_by_name['engines'].health_by_key.values()
    return sum(health.ejected_until_ms > now_ms for health in health_states)
