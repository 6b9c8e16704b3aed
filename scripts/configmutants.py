"""Mutants of how configurations come into force."""

from scripts import mutant

__all__ = ['MUTANTS']

LAG = 'tests/entry/test_configuration_lag.py'
ROW_CLIENT = 'tests/platform/test_rowclient.py'
STALE = 'tests/entry/test_stale_configuration.py'
ODD_ROWS = 'tests/entry/test_odd_entries.py'
DECODERS = 'tests/decoders/test_odd_values.py'

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
        'routes.APPLY_LIMIT_MS - fallback.HEDGE_DELAY_MS - RECOVERY_MS\n',
        'routes.APPLY_LIMIT_MS\n',
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
    mutant.Mutant(
        'unknown-routes-are-refused-by-any-copy',
        'pomelopass/requests/routes.py',
        '    return age_ms <= APPLY_LIMIT_MS\n',
        '    return True\n',
        (STALE,),
    ),
    mutant.Mutant(
        'jobs-start-under-an-older-configuration',
        'pomelopass/entry/itemcontexts.py',
        'if not self.is_configuration_newer(stored.version):',
        'if False:',
        (STALE,),
    ),
    mutant.Mutant(
        'older-reads-are-merged',
        'pomelopass/table/follower.py',
        'if page.version < self.version:',
        'if False:',
        ('tests/table/test_follower.py',),
    ),
    mutant.Mutant(
        'failed-row-ends-its-follower',
        'pomelopass/entry/tablewatch.py',
        '            except Exception as error:\n',
        '            except ZeroDivisionError as error:\n',
        (ODD_ROWS,),
    ),
    mutant.Mutant(
        'log-lines-fail-for-large-numbers',
        'pomelopass/entry/eventlog.py',
        '    except TypeError:\n',
        '    except ZeroDivisionError:\n',
        ('tests/entry/test_eventlog.py',),
    ),
    mutant.Mutant(
        'numbers-of-any-size-are-decoded',
        'pomelopass/decoding.py',
        'Int64 = Annotated[int, pydantic.Field(ge=-(2**63), lt=2**63)]\n',
        'Int64 = int\n',
        (DECODERS,),
    ),
    mutant.Mutant(
        'digits-of-any-length-are-parsed',
        'pomelopass/decoding.py',
        'MAX_COUNT_DIGITS = 18\n',
        'MAX_COUNT_DIGITS = 10**6\n',
        (DECODERS,),
    ),
    mutant.Mutant(
        'ports-out-of-range-are-connected',
        'pomelopass/edges/addresses.py',
        'if number is None or not 0 < number <= decoding.MAX_PORT:',
        'if number is None:',
        (DECODERS,),
    ),
    mutant.Mutant(
        'answers-without-their-fields-are-decoded',
        'pomelopass/table/relaycodec.py',
        '    if not isinstance(value, expected_type):\n',
        '    if False:\n',
        (DECODERS,),
    ),
    mutant.Mutant(
        'odd-replies-of-the-table-end-its-reader',
        'pomelopass/platform/rowclient.py',
        '    except (AttributeError, LookupError, TypeError, ValueError) '
        'as error:\n',
        '    except ZeroDivisionError as error:\n',
        (DECODERS,),
    ),
)
