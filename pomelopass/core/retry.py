"""Limit retries by a budget, the deadline and earlier attempts."""

import dataclasses

from . import verdict

__all__ = ['Attempt', 'RetryBudget', 'record_request', 'take_retry']

MAX_RUNNING_ATTEMPTS = 2
MAX_ATTEMPTS = 5
BUDGET_CAP_RETRIES = 10.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Remaining retries of a service."""

    percent: float
    retries: float = BUDGET_CAP_RETRIES / 2


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt and the state of its request."""

    number: int
    earlier_runs: int
    verdict: verdict.Verdict
    repeatable: bool
    is_retry: bool
    first_byte_sent: bool
    remaining_ms: float
    expected_ms: float


def record_request(budget: RetryBudget) -> None:
    """Add the share of a retry that each first attempt earns."""
    earned = budget.retries + budget.percent / 100
    budget.retries = min(BUDGET_CAP_RETRIES, earned)


def take_retry(budget: RetryBudget, attempt: Attempt) -> bool:
    """Return whether the attempt may be retried; charge the budget."""
    if not _is_safe(attempt):
        return False
    if attempt.number >= MAX_ATTEMPTS or attempt.is_retry:
        return False
    if attempt.remaining_ms <= attempt.expected_ms:
        return False
    # An attempt that sent no byte caused no load on any endpoint.
    if attempt.verdict == verdict.Verdict.NOT_RUN:
        return True
    if attempt.earlier_runs + 1 >= MAX_RUNNING_ATTEMPTS or budget.retries < 1:
        return False
    budget.retries -= 1
    return True


def _is_safe(attempt: Attempt) -> bool:
    if attempt.first_byte_sent:
        return False
    if attempt.verdict == verdict.Verdict.NOT_RUN:
        return True
    return attempt.repeatable
