"""Mutants of what keeps the work for large fleets small."""

from scripts import mutant

__all__ = ['MUTANTS']

PACING = 'tests/table/test_pacing.py'
ROW_HANDLERS = 'tests/platform/test_rowhandlers.py'

MUTANTS = (
    mutant.Mutant(
        'busy-feed-is-polled-without-a-pause',
        'pomelopass/table/pacing.py',
        'return self.max_pause_ms * min(1.0, surplus_per_s / range_per_s)',
        'return 0.0',
        (PACING,),
    ),
    mutant.Mutant(
        'feed-of-few-endpoints-is-paced',
        'pomelopass/table/pacing.py',
        'UNPACED_ROWS_PER_S = 100.0',
        'UNPACED_ROWS_PER_S = 0.0',
        (PACING,),
    ),
    mutant.Mutant(
        'pause-after-answers-that-are-cut-off',
        'pomelopass/table/pacing.py',
        'self.is_cut_off = row_count == self.row_count',
        'self.is_cut_off = False',
        (PACING,),
    ),
    mutant.Mutant(
        'entries-with-any-end-count-as-unchanged',
        'pomelopass/table/memo.py',
        'if not (value.startswith(before) and value.endswith(after)):',
        'if not value.startswith(before):',
        (ROW_HANDLERS,),
    ),
    mutant.Mutant(
        'any-count-counts-as-unchanged',
        'pomelopass/table/memo.py',
        'return None if found is None else decoded',
        'return decoded',
        (ROW_HANDLERS,),
    ),
    mutant.Mutant(
        'unchanged-entries-are-decoded-again',
        'pomelopass/platform/rowhandlers.py',
        'known.put(key, row.value, entry)',
        'pass',
        (ROW_HANDLERS,),
    ),
    mutant.Mutant(
        'missing-endpoint-stays-missing',
        'pomelopass/registry/registry.py',
        'state.endpoint is entry and not was_missing:',
        'state.endpoint is entry:',
        (ROW_HANDLERS,),
    ),
)
