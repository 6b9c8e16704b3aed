"""Test limits, deadlines and the order of the queue."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import admission
from pomelopass.core import refusal


def make_state(queue: int = 4, caller: int = 9) -> admission.AdmissionState:
    """Return an empty queue."""
    return admission.AdmissionState(admission.Limits(queue, caller, 9))


def make_request(
    name: str = 'r', **changes: object
) -> admission.WaitingRequest:
    """Return a waiting request."""
    values = {
        'service': 's',
        'caller': 'c',
        'priority': 3,
        'units': 1.0,
        'arrived_at_ms': 0.0,
        'deadline_ms': 10_000.0,
        **changes,
    }
    return admission.WaitingRequest(name, **values)


def test_full_queue_and_caller_limit_refuse_with_not_run():
    state = make_state(queue=1)
    assert admission.enqueue(state, make_request('a'), 0) is None
    rejection = admission.enqueue(state, make_request('b'), 0)
    assert rejection.code == refusal.Code.QUEUE_FULL
    assert rejection.verdict == 0
    state = make_state(caller=1)
    admission.enqueue(state, make_request('a'), 0)
    rejection = admission.enqueue(state, make_request('b'), 0)
    assert rejection.code == refusal.Code.CALLER_LIMIT


def test_request_that_would_wait_past_its_deadline_is_refused_early():
    state = make_state()
    state.drain_ms_per_request = 500.0
    admission.enqueue(state, make_request('a', deadline_ms=300.0), 0)
    late = make_request('b', deadline_ms=400.0)
    rejection = admission.enqueue(state, late, 0)
    assert rejection.code == refusal.Code.DEADLINE_TOO_SHORT


def test_order_is_by_priority_and_age():
    state = make_state()
    for request in (
        make_request('low', priority=5),
        make_request('high', priority=1),
        make_request('aged', priority=5, arrived_at_ms=-20_000.0),
    ):
        admission.enqueue(state, request, 0)
    order = [admission.pop_next(state, 0).id for _ in range(3)]
    assert order == ['aged', 'high', 'low']


def test_long_request_waits_while_long_slots_are_taken():
    state = make_state()
    admission.enqueue(state, make_request('long', is_long=True), 0)
    assert admission.pop_next(state, 0, long_allowed=False) is None
    assert admission.pop_next(state, 0).id == 'long'


@given(st.lists(st.sampled_from('abc'), max_size=30))
def test_counts_return_to_zero(callers):
    state = make_state(queue=100)
    requests = [
        make_request(str(index), caller=caller)
        for index, caller in enumerate(callers)
    ]
    admitted = [
        request
        for request in requests
        if admission.enqueue(state, request, 0) is None
    ]
    for request in admitted:
        admission.withdraw(state, request.id)
        admission.release(state, request)
    assert not state.admitted_by_caller
    assert not state.by_id
