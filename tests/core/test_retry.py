"""Test when a retry is allowed and what it costs."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import retry
from pomelopass.core import verdict

FAILED = retry.Attempt(
    number=1,
    earlier_runs=0,
    verdict=verdict.Verdict.MAY_HAVE_RUN,
    repeatable=True,
    is_retry=False,
    first_byte_sent=False,
    remaining_ms=1000.0,
    expected_ms=10.0,
)


def take(**changes: object) -> bool:
    """Request a retry of the attempt with fields changed."""
    budget = retry.RetryBudget(10.0)
    return retry.take_retry(budget, dataclasses.replace(FAILED, **changes))


def test_repeatable_request_is_retried_once():
    assert take()
    assert not take(earlier_runs=1, number=2)


def test_non_repeatable_request_is_retried_only_when_not_run():
    assert not take(repeatable=False)
    assert take(repeatable=False, verdict=verdict.Verdict.NOT_RUN)


def test_no_retry_of_a_retry_past_the_deadline_or_the_first_byte():
    assert not take(is_retry=True)
    assert not take(remaining_ms=5.0)
    assert not take(first_byte_sent=True)


@given(st.integers(1, 2000))
def test_retries_stay_within_budget_in_an_outage(requests):
    budget = retry.RetryBudget(10.0)
    retries = 0
    for _ in range(requests):
        retry.record_request(budget)
        retries += retry.take_retry(budget, FAILED)
    assert retries <= retry.BUDGET_CAP_RETRIES + 0.2 * requests
