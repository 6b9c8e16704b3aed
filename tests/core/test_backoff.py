"""Test backoffs after very many failures in a row."""

import asyncio
import random
import types

import pytest

from pomelopass.core import backoff
from pomelopass.jobs import itemrun
from pomelopass.registry import endpoint as endpoints
from standins import virtualloop

MANY_FAILURES = 2000


def make_state(failures):
    entry = endpoints.Endpoint(
        'e', 'desk', '10.0.0.1:1', 'north', 8, False, {}, 1
    )
    return endpoints.EndpointState(
        entry, consecutive_failures=failures, consecutive_refusals=failures
    )


# The power of two overflowed the float after 1,015 failures.
@pytest.mark.parametrize(
    ('record', 'limit_ms'),
    [
        (endpoints.record_failure, endpoints.MAX_FAILURE_BACKOFF_MS),
        (endpoints.record_refusal, endpoints.MAX_REFUSAL_BACKOFF_MS),
    ],
)
def test_endpoint_with_very_many_failures_backs_off_for_the_limit(
    record, limit_ms
):
    state = make_state(MANY_FAILURES)
    record(state, 5.0)
    assert state.backoff_until == 5.0 + limit_ms / 1000


def test_item_with_very_many_failed_runs_pauses_for_the_limit():
    async def run():
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await itemrun._pause(
            types.SimpleNamespace(rng=random.Random(1)),
            types.SimpleNamespace(
                failed_runs=MANY_FAILURES, avoid=set(), unfit_ids=set()
            ),
            make_state(0),
            'reset',
            False,
        )
        assert loop.time() - started_at == itemrun.MAX_PAUSE_MS / 1000

    virtualloop.run(run())


def test_backoff_doubles_up_to_the_limit():
    values = [backoff.get_backoff_ms(100.0, n, 400.0) for n in range(4)]
    assert values == [100.0, 200.0, 400.0, 400.0]
