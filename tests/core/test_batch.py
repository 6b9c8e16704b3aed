"""Check groups, races, staleness and hand-over."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.core import batch
from pomelopass.core import handover
from pomelopass.core import sample
from pomelopass.core import straggler


def make_batch(groups: int = 2, size: int = 2) -> batch.BatchState:
    """Return a batch whose samples all wait."""
    built = batch.BatchState('t', 1, groups)
    for index in range(groups):
        batch.add_group(built, f't/1/{index}', 'p', 'asks/x', size)
    return built


def make_sample(name: str, version: int = 1) -> sample.Sample:
    """Return a finished sample."""
    segments = [sample.Segment(version, 4)]
    return sample.Sample(name, f'r-{name}', 'text', segments, 0.5, ['e'])


def find(built: batch.BatchState, name: str = 't/1/0/0') -> batch.SampleState:
    """Return a sample of a batch."""
    group = built.by_group[name.rpartition('/')[0]]
    return group.samples[int(name.rpartition('/')[2])]


def get_names(built: batch.BatchState) -> list[str]:
    """Return the names of all samples."""
    return [
        one.id for group in built.by_group.values() for one in group.samples
    ]


def finish(
    built: batch.BatchState, name: str, now_ms: float = 10.0, version: int = 1
) -> list[str]:
    """Start and finish one sample."""
    one = find(built, name)
    batch.record_started(one, f'try-{name}', 'e', 0.0)
    done = make_sample(name, version)
    return batch.record_done(one, f'try-{name}', done, now_ms)


def test_second_result_of_a_raced_sample_is_dropped():
    built = make_batch()
    batch.record_started(find(built), 'one', 'e1', 0.0)
    batch.record_started(find(built), 'two', 'e2', 5.0)
    first = make_sample('t/1/0/0')
    assert batch.record_done(find(built), 'two', first, 9.0) == ['one']
    late = make_sample('t/1/0/0')
    assert batch.record_done(find(built), 'one', late, 9.5) == []
    assert find(built).result is first


def test_failed_attempt_waits_again_unless_another_runs():
    built = make_batch()
    batch.record_started(find(built), 'one', 'e1', 0.0)
    batch.record_started(find(built), 'two', 'e2', 0.0)
    batch.record_failed(find(built), 'one')
    assert find(built).phase == batch.Phase.RUNNING
    batch.record_failed(find(built), 'two')
    assert find(built).phase == batch.Phase.WAITING


def test_share_of_the_groups_is_enough_and_the_rest_is_carried():
    built = make_batch(groups=2)
    assert handover.select(built, 0, 50) is None
    finish(built, 't/1/0/0')
    finish(built, 't/1/0/1')
    assert handover.select(built, 0, 100) is None
    chosen = handover.select(built, 0, 50)
    assert [one.id for one in chosen.groups] == ['t/1/0']
    assert [one.id for one in chosen.carried] == ['t/1/1']


@given(st.lists(st.integers(1, 6), min_size=4, max_size=4), st.integers(1, 6))
def test_no_stale_sample_is_ever_selected(versions, oldest):
    built = make_batch()
    for one, version in zip(get_names(built), versions, strict=True):
        finish(built, one, version=version)
    chosen = handover.select(built, oldest, 50)
    for group in chosen.groups if chosen else []:
        for one in group.samples:
            assert sample.get_oldest_version(one.result) >= oldest


def test_transaction_requires_fence_ask_absence_and_published_version():
    built = make_batch()
    rows = handover.Rows('fence/d', 3, 1, 0, 7)
    found = handover.make_transaction(built, rows, '{}', None)
    required = {one.key: one.version for one in found.conditions}
    assert required == {
        'fence/d': 3,
        'ask/t/1': 1,
        'batch/t/1': 0,
        'carry/t': 0,
        'published/t': 7,
    }


def test_races_start_near_the_end_and_stay_within_budget():
    built = make_batch(groups=1, size=16)
    names = get_names(built)
    for one in names[:14]:
        finish(built, one)
    for one in names[14:]:
        batch.record_started(find(built, one), f'try-{one}', 'slow', 0.0)
    assert straggler.find_sample_to_race(built, 10, 12.0) is None
    assert straggler.find_sample_to_race(built, 10, 40.0) is not None
    built.races = 2
    assert straggler.find_sample_to_race(built, 10, 40.0) is None


def test_failed_group_counts_as_settled():
    built = make_batch(groups=1)
    batch.fail_group(built, 't/1/0', 'quarantined')
    chosen = handover.select(built, 0, 100)
    assert chosen.groups == []
    assert [one.id for one in chosen.failed] == ['t/1/0']


def test_carried_group_goes_on_in_the_next_batch():
    old, new = make_batch(groups=1), batch.BatchState('t', 2, 0)
    finish(old, 't/1/0/0')
    one = find(old, 't/1/0/1')
    batch.record_started(one, 'late', 'e', 0.0)
    batch.adopt_group(new, old.by_group['t/1/0'])
    batch.record_done(one, 'late', make_sample('t/1/0/1'), 9.0)
    assert [group.id for group in batch.find_complete_groups(new)] == ['t/1/0']
