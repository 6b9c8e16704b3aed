"""Test the checks of the soak on orders."""

import random

import pytest

from soak import checks
from soak import clients


def check_order(status, ran, is_cut=False):
    failures = []
    callers = clients.Clients(
        {}, 'host', 'model', random.Random(1), failures.append, None
    )
    callers.status_by_order['order-1'] = status
    if is_cut:
        callers.cut_orders.append('order-1')
    records = {'desk-0': {'ran': ran}, 'events': {}}
    checks.check_orders(callers, records, failures.append)
    return failures


@pytest.mark.parametrize(
    ('status', 'ran', 'is_cut'),
    [
        (0, ['order-1'], True),
        (503, ['order-1'], False),
        (200, ['order-1', 'order-1'], False),
    ],
)
def test_order_that_ran_against_a_promise_is_a_failure(status, ran, is_cut):
    assert len(check_order(status, ran, is_cut)) == 1


# It crossed the close of its connection.
def test_order_that_was_cut_and_did_not_run_is_no_failure():
    assert check_order(0, [], is_cut=True) == []
