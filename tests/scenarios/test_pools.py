"""Check empty pools, a lone endpoint, one zone alone and slow pools."""

import asyncio
import json

from standins import virtualloop
from tests import builders

ASK = {'model': 'matching', 'prompt': 'x', 'max_tokens': 8}


def test_empty_pool_is_refused_at_once():
    async def main() -> None:
        built = await builders.start_cluster(engines=0)
        began = asyncio.get_running_loop().time()
        reply = await built.send_request(
            'entry-0', 'POST', '/v1/completions', ASK
        )
        body = json.loads(reply.body)
        assert (body['code'], body['verdict']) == ('no-endpoint', 'not-run')
        assert asyncio.get_running_loop().time() - began < 1

    virtualloop.run(main())


def test_retry_goes_back_to_a_lone_endpoint():
    async def main() -> None:
        built = await builders.start_cluster(engines=1)
        engine = built.engine_by_name['engine-0']
        engine.app.faults['truncate'] = 1
        reply = await built.send_request(
            'entry-0', 'POST', '/v1/completions', ASK
        )
        assert reply.status == 200

    virtualloop.run(main())


def test_one_zone_alone_is_served():
    async def main() -> None:
        built = await builders.start_cluster()
        for name in ('engine-1', 'engine-2'):
            built.network.refused.add(f'{name}:1')
        for index in range(20):
            body = {**ASK, 'prompt': f'prompt {index}'}
            reply = await built.send_request(
                'entry-0', 'POST', '/v1/completions', body
            )
            assert reply.status == 200, reply.body

    virtualloop.run(main())


def test_all_endpoints_slow_at_once_is_no_storm():
    async def main() -> None:
        built = await builders.start_cluster(engines=4)
        context = built.member_by_name['entry-0'].context

        async def ask(index: int) -> int:
            body = {**ASK, 'prompt': f'prompt {index}'}
            reply = await built.send_request(
                'entry-0', 'POST', '/v1/completions', body
            )
            assert count_ejected(context) <= 1
            return reply.status

        await asyncio.gather(*(ask(index) for index in range(24)))
        for one in built.engine_by_name.values():
            one.app.faults['slow_factor'] = 10.0
        slow = await asyncio.gather(*(ask(index) for index in range(24, 48)))
        assert set(slow) == {200}
        await asyncio.sleep(10)
        assert count_ejected(context) == 0

    virtualloop.run(main())


def count_ejected(context) -> int:
    """Return how many engines get no work now."""
    now_ms = context.ports.clock.now_ms()
    known = context.pool_by_name['engines'].health_by_key.values()
    return sum(one.ejected_until_ms > now_ms for one in known)
