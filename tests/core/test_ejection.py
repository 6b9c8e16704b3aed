"""Test ejection of slow endpoints, its cap and its end."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import ejection
from pomelopass.core import health


def make_health(pace: float) -> health.EndpointHealth:
    """Return the health of an endpoint with a known pace."""
    state = health.EndpointHealth(samples=10, ms_per_unit=pace)
    state.recent_paces.extend([pace] * health.RECENT_PACES)
    return state


def test_slow_endpoint_is_ejected_then_probed_once():
    by_key = {str(n): make_health(10.0) for n in range(5)}
    by_key['0'] = make_health(100.0)
    assert ejection.review(by_key, 0) == ['0']
    assert not ejection.is_in_rotation(by_key['0'], 100)
    late_ms = ejection.EJECT_MS + 1
    assert ejection.is_in_rotation(by_key['0'], late_ms)
    ejection.record_probe_sent(by_key['0'])
    assert not ejection.is_in_rotation(by_key['0'], late_ms)
    ejection.record_probe_result(by_key['0'], True, late_ms)
    assert ejection.is_in_rotation(by_key['0'], late_ms)


def test_old_evidence_does_not_prolong_an_ejection():
    by_key = {str(n): make_health(10.0) for n in range(4)}
    by_key['0'] = make_health(100.0)
    assert ejection.review(by_key, 0) == ['0']
    assert ejection.review(by_key, ejection.EJECT_MS + 1) == []
    assert by_key['0'].ejections_in_row == 1


def test_failed_probe_ejects_for_longer():
    by_key = {str(n): make_health(10.0) for n in range(4)}
    by_key['0'] = make_health(100.0)
    ejection.review(by_key, 0)
    now_ms = ejection.EJECT_MS + 1
    ejection.record_probe_sent(by_key['0'])
    ejection.record_probe_result(by_key['0'], False, now_ms)
    until_ms = by_key['0'].ejected_until_ms
    assert until_ms == now_ms + 2 * ejection.EJECT_MS


def test_running_requests_are_evidence_before_they_end():
    by_key = {str(n): make_health(10.0) for n in range(4)}
    for name in range(health.RECENT_PACES + 1):
        health.record_started(by_key['1'], str(name), 1.0, 0.0)
    assert ejection.review(by_key, 5.0) == []
    assert ejection.review(by_key, 100.0) == ['1']


def test_few_slow_requests_do_not_eject_their_endpoint():
    by_key = {str(n): make_health(10.0) for n in range(4)}
    for name in range(3):
        health.record_started(by_key['1'], str(name), 1.0, 0.0)
    assert ejection.review(by_key, 1000.0) == []


def test_no_endpoint_is_ejected_when_all_are_slow():
    by_key = {str(n): make_health(1000.0) for n in range(5)}
    assert ejection.review(by_key, 0) == []


@given(st.lists(st.floats(0.1, 1e6), min_size=1, max_size=20))
def test_cap_holds_for_any_paces(paces):
    by_key = {str(n): make_health(pace) for n, pace in enumerate(paces)}
    ejected = ejection.review(by_key, 0)
    assert len(ejected) <= max(1, len(paces) * 0.34)


def test_unreachable_endpoint_is_skipped_for_a_second():
    state = make_health(1.0)
    ejection.mark_unreachable(state, 0)
    assert not ejection.is_in_rotation(state, 999)
    assert ejection.is_in_rotation(state, 1000)
