"""Test routes, refusals and replies to operators."""

import json

import pytest

from pomelopass import message
from pomelopass import route
from standins import virtualloop
from tests import builders


async def get(
    sim_cluster, target: str, method: str = 'GET'
) -> tuple[int, dict]:
    """Send a request as a caller; return status and body."""
    reply = await sim_cluster.send_request('entry-0', method, target)
    return reply.status, json.loads(reply.body)


@pytest.mark.parametrize(
    ('method', 'target', 'status', 'code'),
    [
        ('GET', '/nothing', 404, 'not-found'),
        ('DELETE', '/entries', 405, 'method-not-allowed'),
        ('GET', '/services/stocks/x', 404, 'unknown-service'),
        ('GET', '/trainers/nobody/batches/1', 404, 'unknown-trainer'),
        ('POST', '/services/orders/orders', 400, 'key-required'),
        ('POST', '/v1/completions', 400, 'bad-request'),
    ],
)
def test_invalid_request_is_refused_as_not_run(method, target, status, code):
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=1, services=1)
        reply = await get(sim_cluster, target, method)
        assert (reply[0], reply[1]['code']) == (status, code)
        assert reply[1]['verdict'] == 'not-run'

    virtualloop.run(main())


def test_call_may_restrict_repeatability_but_not_extend_it():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        reply = await sim_cluster.send_request(
            'entry-0',
            'GET',
            '/services/stock/stock',
            None,
            (('x-repeatable', 'false'),),
        )
        assert json.loads(reply.body)['code'] == 'key-required'
        reply = await sim_cluster.send_request(
            'entry-0',
            'POST',
            '/services/orders/orders',
            {'order': 'a'},
            (('x-repeatable', 'true'),),
        )
        assert json.loads(reply.body)['code'] == 'key-required'

    virtualloop.run(main())


def test_operator_needs_the_token():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=1, services=1)
        context = sim_cluster.member_by_name['entry-0'].context
        request = message.Request('GET', '/status')
        reply = await route.handle_operator(context, request)
        assert reply.status == 401
        request = message.Request('GET', '/metrics')
        reply = await route.handle_operator(context, request)
        assert reply.status == 200

    virtualloop.run(main())


def test_explain_timeline_and_metrics_show_a_request():
    async def main() -> None:
        sim_cluster = await builders.start_cluster()
        reply = await sim_cluster.send_request(
            'entry-0', 'GET', '/services/stock/stock'
        )
        request_id = message.find_header(reply.headers, 'x-request-id')
        explanation = await sim_cluster.send_operator_request(
            'entry-0', 'GET', f'/explain/{request_id}'
        )
        kinds = [
            event['kind'] for event in json.loads(explanation.body)['events']
        ]
        assert kinds == ['request-began', 'dispatched', 'request-ended']
        timeline = await sim_cluster.send_operator_request(
            'entry-0', 'GET', '/timeline'
        )
        subjects = [
            event['subject'] for event in json.loads(timeline.body)['events']
        ]
        assert request_id in subjects
        text = (
            await sim_cluster.send_operator_request(
                'entry-0', 'GET', '/metrics'
            )
        ).body
        assert b'pomelopass_requests_total{' in text
        assert b'pomelopass_request_seconds_bucket{' in text

    virtualloop.run(main())


def test_operator_token_is_never_in_a_reply():
    async def main() -> None:
        sim_cluster = await builders.start_cluster(engines=1, services=1)
        for target in ('/status', '/timeline', '/config', '/metrics'):
            reply = await sim_cluster.send_operator_request(
                'entry-0', 'GET', target
            )
            assert b'"token"' not in reply.body
            assert b'Bearer' not in reply.body

    virtualloop.run(main())
