"""Mutants of the bounds on what is kept of endpoints' answers."""

from scripts import mutant

__all__ = ['MUTANTS']

ACCOUNT = 'tests/test_answermemory.py'
PROGRESS = 'tests/jobs/test_progress.py'
DISCARDED = 'tests/entry/test_discarded_texts.py'
CACHES = 'tests/jobs/test_caches.py'

MUTANTS = (
    mutant.Mutant(
        'no-answer-is-discarded',
        'pomelopass/answermemory.py',
        'while self.total > self.max_bytes:',
        'while False:',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'small-answers-are-discarded',
        'pomelopass/answermemory.py',
        'share.discard is not None and share.size > MIN_DISCARDED_BYTES',
        'share.discard is not None',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'discarded-body-counts-as-complete',
        'pomelopass/requests/answerbody.py',
        '        share.check()\n',
        '',
        (ACCOUNT,),
    ),
    mutant.Mutant(
        'text-without-a-bound-in-bytes',
        'pomelopass/jobs/progress.py',
        'or self.stored_bytes + size > MAX_STORED_BYTES',
        '',
        (PROGRESS,),
    ),
    mutant.Mutant(
        'discarded-text-is-whole',
        'pomelopass/jobs/itemrun.py',
        'if run.progress.whole and not run.kept.is_discarded:',
        'if True:',
        (DISCARDED,),
    ),
    mutant.Mutant(
        'texts-for-later-jobs-without-a-bound-in-bytes',
        'pomelopass/jobs/textcache.py',
        ' or size > self.max_bytes',
        '',
        (CACHES,),
    ),
    mutant.Mutant(
        'results-that-were-read-are-kept',
        'pomelopass/jobs/resultcache.py',
        'while self.bytes_by_id and self._count_bytes() > self.max_bytes:',
        'while False:',
        (CACHES,),
    ),
    mutant.Mutant(
        'large-body-is-buffered-whole',
        'pomelopass/edges/httpserver.py',
        'if len(reply.body) > WRITE_BUFFER_BYTES:',
        'if False:',
        ('tests/edges/test_httpserver.py',),
    ),
    mutant.Mutant(
        'unfit-engine-is-chosen-again',
        'pomelopass/jobs/itemrun.py',
        '_record_unfit(run, state.endpoint.id)',
        'pass',
        (DISCARDED,),
    ),
)
