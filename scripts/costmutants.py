"""Mutants of what keeps the work for large fleets small."""

from scripts import mutant

__all__ = ['MUTANTS']

PACING = 'tests/table/test_pacing.py'

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
)
