"""Test verdicts of attempts and requests."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import verdict

VERDICTS = st.lists(st.sampled_from(verdict.Verdict))


@given(VERDICTS)
def test_not_run_needs_every_attempt_not_run(verdicts):
    overall = verdict.get_overall_verdict(verdicts)
    not_run = verdict.Verdict.NOT_RUN
    assert (overall == not_run) == all(
        attempt_verdict == not_run for attempt_verdict in verdicts
    )


@given(st.integers(1, 1 << 30))
def test_any_byte_written_may_have_run(count):
    outcome = verdict.get_attempt_verdict(count, False)
    assert outcome == verdict.Verdict.MAY_HAVE_RUN
