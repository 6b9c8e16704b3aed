"""Test groups, races, staleness and hand-over."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import batch
from pomelopass.core import handover
from pomelopass.core import sample
from pomelopass.core import straggler


def make_batch(groups: int = 2, size: int = 2) -> batch.BatchState:
    """Return a batch in which all samples are waiting."""
    state = batch.BatchState('t', 1, groups)
    for index in range(groups):
        batch.add_group(state, f't/1/{index}', 'p', 'asks/x', size)
    return state


def make_sample(name: str, version: int = 1) -> sample.Sample:
    """Return a finished sample."""
    segments = [sample.Segment(version, 4)]
    return sample.Sample(name, f'r-{name}', 'text', segments, 0.5, ['e'])


def find(state: batch.BatchState, name: str = 't/1/0/0') -> batch.SampleState:
    """Return a sample of a batch."""
    group = state.by_group[name.rpartition('/')[0]]
    return group.samples[int(name.rpartition('/')[2])]


def get_names(state: batch.BatchState) -> list[str]:
    """Return the IDs of all samples."""
    return [
        sample_state.id
        for group in state.by_group.values()
        for sample_state in group.samples
    ]


def finish(
    state: batch.BatchState, name: str, now_ms: float = 10.0, version: int = 1
) -> list[str]:
    """Start and finish one sample."""
    sample_state = find(state, name)
    batch.record_started(sample_state, f'try-{name}', 'e', 0.0)
    done = make_sample(name, version)
    return batch.record_done(sample_state, f'try-{name}', done, now_ms)


def test_second_result_of_a_raced_sample_is_dropped():
    state = make_batch()
    batch.record_started(find(state), 'one', 'e1', 0.0)
    batch.record_started(find(state), 'two', 'e2', 5.0)
    first = make_sample('t/1/0/0')
    assert batch.record_done(find(state), 'two', first, 9.0) == ['one']
    late = make_sample('t/1/0/0')
    assert batch.record_done(find(state), 'one', late, 9.5) == []
    assert find(state).result is first


def test_failed_sample_waits_unless_another_attempt_runs():
    state = make_batch()
    batch.record_started(find(state), 'one', 'e1', 0.0)
    batch.record_started(find(state), 'two', 'e2', 0.0)
    batch.record_failed(find(state), 'one')
    assert find(state).phase == batch.Phase.RUNNING
    batch.record_failed(find(state), 'two')
    assert find(state).phase == batch.Phase.WAITING


def test_hand_over_at_the_share_carries_the_other_groups():
    state = make_batch(groups=2)
    assert handover.select(state, 0, 50) is None
    finish(state, 't/1/0/0')
    finish(state, 't/1/0/1')
    assert handover.select(state, 0, 100) is None
    hand_over = handover.select(state, 0, 50)
    assert [group.id for group in hand_over.groups] == ['t/1/0']
    assert [group.id for group in hand_over.carried] == ['t/1/1']


@given(st.lists(st.integers(1, 6), min_size=4, max_size=4), st.integers(1, 6))
def test_no_stale_sample_is_selected(versions, oldest):
    state = make_batch()
    for name, version in zip(get_names(state), versions, strict=True):
        finish(state, name, version=version)
    hand_over = handover.select(state, oldest, 50)
    for group in hand_over.groups if hand_over else []:
        for sample_state in group.samples:
            assert sample.get_oldest_version(sample_state.result) >= oldest


def test_transaction_requires_fence_ask_absence_and_published_version():
    state = make_batch()
    rows = handover.Rows('fence/d', 3, 1, 0, 7)
    transaction = handover.make_transaction(state, rows, '{}', None)
    required = {
        condition.key: condition.version
        for condition in transaction.conditions
    }
    assert required == {
        'fence/d': 3,
        'ask/t/1': 1,
        'batch/t/1': 0,
        'carry/t': 0,
        'published/t': 7,
    }


def test_races_start_near_the_end_and_stay_within_budget():
    state = make_batch(groups=1, size=16)
    names = get_names(state)
    for name in names[:14]:
        finish(state, name)
    for name in names[14:]:
        batch.record_started(find(state, name), f'try-{name}', 'slow', 0.0)
    assert straggler.find_sample_to_race(state, 10, 12.0) is None
    assert straggler.find_sample_to_race(state, 10, 40.0) is not None
    state.races = 2
    assert straggler.find_sample_to_race(state, 10, 40.0) is None


def test_failed_group_counts_as_settled():
    state = make_batch(groups=1)
    batch.fail_group(state, 't/1/0', 'quarantined')
    hand_over = handover.select(state, 0, 100)
    assert hand_over.groups == []
    assert [group.id for group in hand_over.failed] == ['t/1/0']


def test_carried_group_completes_in_the_next_batch():
    old, new = make_batch(groups=1), batch.BatchState('t', 2, 0)
    finish(old, 't/1/0/0')
    sample_state = find(old, 't/1/0/1')
    batch.record_started(sample_state, 'late', 'e', 0.0)
    batch.adopt_group(new, old.by_group['t/1/0'])
    batch.record_done(sample_state, 'late', make_sample('t/1/0/1'), 9.0)
    assert [group.id for group in batch.find_complete_groups(new)] == ['t/1/0']
