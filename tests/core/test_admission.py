"""Check limits, deadlines and the order of the queue."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import admission
from pomelopass.core import refusal


def make_state(queue: int = 4, caller: int = 9) -> admission.AdmissionState:
    """Return an empty queue."""
    return admission.AdmissionState(admission.Limits(queue, caller, 9))


def make_item(name: str = 'r', **changes: object) -> admission.WaitingRequest:
    """Return a request that waits."""
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
    assert admission.enqueue(state, make_item('a'), 0) is None
    refused = admission.enqueue(state, make_item('b'), 0)
    assert refused.code == refusal.Code.QUEUE_FULL
    assert refused.verdict == 0
    state = make_state(caller=1)
    admission.enqueue(state, make_item('a'), 0)
    refused = admission.enqueue(state, make_item('b'), 0)
    assert refused.code == refusal.Code.CALLER_LIMIT


def test_request_that_would_wait_past_its_deadline_is_refused_early():
    state = make_state()
    state.drain_ms_per_request = 500.0
    admission.enqueue(state, make_item('a', deadline_ms=300.0), 0)
    late = make_item('b', deadline_ms=400.0)
    refused = admission.enqueue(state, late, 0)
    assert refused.code == refusal.Code.DEADLINE_TOO_SHORT


def test_urgent_first_and_old_before_long():
    state = make_state()
    for item in (
        make_item('low', priority=5),
        make_item('high', priority=1),
        make_item('aged', priority=5, arrived_at_ms=-20_000.0),
    ):
        admission.enqueue(state, item, 0)
    order = [admission.pop_next(state, 0).id for _ in range(3)]
    assert order == ['aged', 'high', 'low']


def test_long_request_waits_while_long_places_are_taken():
    state = make_state()
    admission.enqueue(state, make_item('long', is_long=True), 0)
    assert admission.pop_next(state, 0, long_allowed=False) is None
    assert admission.pop_next(state, 0).id == 'long'


@given(st.lists(st.sampled_from('abc'), max_size=30))
def test_counts_return_to_nothing(callers):
    state = make_state(queue=100)
    items = [
        make_item(str(index), caller=caller)
        for index, caller in enumerate(callers)
    ]
    admitted = [
        one for one in items if admission.enqueue(state, one, 0) is None
    ]
    for one in admitted:
        admission.withdraw(state, one.id)
        admission.release(state, one)
    assert not state.admitted_by_caller
    assert not state.by_id
