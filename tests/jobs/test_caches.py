"""Test that cached texts and results are bounded in bytes."""

from pomelopass.jobs import job as jobs
from pomelopass.jobs import progress as progresses
from pomelopass.jobs import resultcache
from pomelopass.jobs import textcache
from tests import entrybuilders

TEXT = 'x' * 100_000
MAX_BYTES = 1_000_000


def make_snapshot(text=TEXT):
    return progresses.Snapshot((text,), (1,), '1')


# Every result that was ever read was kept.
def test_results_of_jobs_that_were_read_are_bounded_in_bytes():
    cache = resultcache.ResultCache(MAX_BYTES)
    for number in range(50):
        cache.put(f'job-{number}', {0: jobs.Result('i', True, TEXT)})
    kept = [name for name in cache.results_by_id if cache.get(name)]
    assert kept == [f'job-{number}' for number in range(41, 50)]


def test_results_of_one_job_are_bounded_in_bytes():
    cache = resultcache.ResultCache(MAX_BYTES)
    for position in range(50):
        cache.put('job', {position: jobs.Result('i', True, TEXT)})
        assert len(cache.get('job')) <= MAX_BYTES // len(TEXT)


# Their number alone was bounded.
def test_texts_of_finished_runs_are_bounded_in_bytes():
    cache = textcache.TextCache(MAX_BYTES)
    submission = entrybuilders.make_submission(groups=5, size=4)
    for item in submission.items:
        cache.put({item.id: make_snapshot()})
    reusable = cache.find_reusable(submission)
    assert list(reusable) == [item.id for item in submission.items[-9:]]
    # A text that is put again counts once.
    for _ in range(5):
        cache.put({submission.items[-1].id: make_snapshot('short')})
    assert len(cache.find_reusable(submission)) == 9
