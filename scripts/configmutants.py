"""Mutants of how configurations come into force."""

from scripts import mutant

__all__ = ['MUTANTS']

LAG = 'tests/entry/test_configuration_lag.py'
ROW_CLIENT = 'tests/platform/test_rowclient.py'

MUTANTS = (
    mutant.Mutant(
        'idle-connections-outlive-a-failure',
        'pomelopass/platform/rowclient.py',
        '            self.http.pool.drop_idle(self.address)\n',
        '',
        (ROW_CLIENT,),
    ),
    mutant.Mutant(
        'late-polls-are-not-repeated',
        'pomelopass/table/fallback.py',
        'HEDGE_DELAY_MS = 400\n',
        'HEDGE_DELAY_MS = 4000\n',
        (LAG,),
    ),
    mutant.Mutant(
        'late-polls-are-repeated-over-one-peer-only',
        'pomelopass/table/fallback.py',
        '                self._overtake('
        'send_again(self.paths.second_relayed)),\n',
        '',
        (LAG,),
    ),
    mutant.Mutant(
        'polls-last-as-long-as-the-bound',
        'pomelopass/entry/tablewatch.py',
        'APPLY_WAIT_MS = APPLY_LIMIT_MS - fallback.HEDGE_DELAY_MS '
        '- RECOVERY_MS\n',
        'APPLY_WAIT_MS = APPLY_LIMIT_MS\n',
        (LAG,),
    ),
    mutant.Mutant(
        'peer-that-was-overtaken-is-asked-again',
        'pomelopass/table/relay.py',
        '            # Another path was faster.\n'
        '            self._back_off(address)\n',
        '',
        (LAG,),
    ),
)
