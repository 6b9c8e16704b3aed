"""Test how owners share engine places when their batches collide."""

from hypothesis import given
from hypothesis import strategies as st

from pomelopass.jobs import job as jobs
from pomelopass.jobs import share


def make_record(owner, total=64, accepted_ms=1000, **changes):
    return jobs.JobRecord(
        id=f'{owner}-{accepted_ms}',
        owner=owner,
        owner_name=owner,
        total=total,
        chunks=1,
        accepted_ms=accepted_ms,
        model='m',
        **changes,
    )


@given(
    st.lists(st.integers(1, 500), min_size=2, max_size=8), st.integers(8, 900)
)
def test_owners_of_batches_that_collide_do_not_overbook(totals, places):
    records = [
        make_record(f'owner-{number}', total)
        for number, total in enumerate(totals)
    ]
    if sum(totals) <= places:
        return
    limits = [
        share.get_run_limit(records, one.owner, {'m'}, places, 0, 1200)
        for one in records
    ]
    assert min(limits) >= 1
    # Each may round up once.
    assert sum(limits) <= places + len(limits)
    assert sum(limits) >= places - len(limits)


def test_half_of_what_others_leave_is_taken_once_their_runs_are_told():
    records = [make_record('a'), make_record('b')]
    assert share.get_run_limit(records, 'a', {'m'}, 108, 0, 1100) == 54
    assert share.get_run_limit(records, 'a', {'m'}, 108, 54, 1800) == 54
    assert share.get_run_limit(records, 'a', {'m'}, 108, 14, 1800) == 74


def test_no_bound_while_there_are_places_for_all():
    records = [make_record('a'), make_record('b')]
    assert share.get_run_limit(records, 'a', {'m'}, 128, 0, 1100) is None


def test_ended_batches_and_other_models_take_no_share():
    records = [make_record('a', 200), make_record('b', ended=True)]
    assert share.get_run_limit(records, 'a', {'m'}, 108, 0, 1100) == 108
    records = [make_record('a'), make_record('b')]
    assert share.get_run_limit(records, 'a', {'other'}, 108, 0, 1100) is None
