"""Mutants of claims, verdicts, batches and hand-over."""

from scripts import mutant

__all__ = ['MUTANTS']

BATCHES = 'tests/scenarios/test_batches.py'
ORDERS = 'tests/scenarios/test_orders.py'
CORE = 'pomelopass/core'

MUTANTS = (
    mutant.Mutant(
        'verdict-of-the-last-attempt-only',
        f'{CORE}/verdict.py',
        'return max(verdicts, default=Verdict.NOT_RUN)',
        'return verdicts[-1] if verdicts else Verdict.NOT_RUN',
        ('tests/core/test_verdict.py',),
    ),
    mutant.Mutant(
        'reset-after-write-counts-as-not-run',
        f'{CORE}/verdict.py',
        'if bytes_written == 0:',
        'if not complete:',
        (ORDERS,),
    ),
    mutant.Mutant(
        'non-repeatable-is-retried',
        f'{CORE}/retry.py',
        'return attempt.repeatable',
        'return True',
        (ORDERS,),
    ),
    mutant.Mutant(
        'owned-key-is-given-up',
        f'{CORE}/claims.py',
        'elif claim.phase in (claimbook.Phase.UNSURE, claimbook.Phase.IDLE):',
        'elif claim.phase != claimbook.Phase.DONE:',
        (ORDERS,),
    ),
    mutant.Mutant(
        'dispatch-without-owning-the-key',
        f'{CORE}/claims.py',
        'if claim is None or claim.phase != claimbook.Phase.OWNED:',
        'if claim is None:',
        (ORDERS, 'tests/core/test_claims.py'),
    ),
    mutant.Mutant(
        'unknown-key-of-a-peer-counts-as-never-sent',
        f'{CORE}/claims.py',
        'claimbook.Phase.FAILED, now_ms)',
        'claimbook.Phase.RELEASED, now_ms)',
        ('tests/core/test_claims.py',),
    ),
    mutant.Mutant(
        'lost-owner-counts-as-never-sent',
        'pomelopass/callers/claimflow.py',
        'return _refuse(refusal.Code.KEY_OWNER_LOST, _may_have_run())',
        'return await _take_over(context, item, owner)',
        (ORDERS,),
    ),
    mutant.Mutant(
        'expired-key-runs-again',
        f'{CORE}/claims.py',
        'if now_ms >= issued.expires_at_ms:',
        'if False:',
        ('tests/core/test_claims.py',),
    ),
    mutant.Mutant(
        'claim-row-of-another-token-is-taken',
        f'{CORE}/claims.py',
        'if row_token == claim.token:',
        'if row_token:',
        (ORDERS,),
    ),
    mutant.Mutant(
        'hand-over-ignores-the-published-version',
        f'{CORE}/handover.py',
        'tablerow.Condition(keys.published, rows.published_version),',
        '',
        (BATCHES, 'tests/core/test_batch.py'),
    ),
    mutant.Mutant(
        'hand-over-ignores-the-fence',
        f'{CORE}/handover.py',
        'tablerow.Condition(rows.fence_key, rows.fence_version),',
        '',
        (BATCHES, 'tests/core/test_batch.py'),
    ),
    mutant.Mutant(
        'stale-samples-are-kept',
        f'{CORE}/batch.py',
        'if sample.get_oldest_version(sample_state.result) < oldest_allowed',
        'if False',
        (BATCHES,),
    ),
    mutant.Mutant(
        'newest-version-stands-for-all',
        f'{CORE}/sample.py',
        'return min(segment.version for segment in sample.segments)',
        'return max(segment.version for segment in sample.segments)',
        (BATCHES, 'tests/core/test_batch.py'),
    ),
    mutant.Mutant(
        'ordered-version-is-named',
        'pomelopass/callers/generation.py',
        "value.get('weight_version', UNKNOWN_VERSION)",
        '1',
        (BATCHES,),
    ),
    mutant.Mutant(
        'lost-answer-of-a-hand-over-is-a-failure',
        'pomelopass/training/delivery.py',
        "json.loads(row.value)['token'] == token",
        'False',
        ('tests/test_delivery.py',),
    ),
    mutant.Mutant(
        'second-result-of-a-race-counts',
        f'{CORE}/batch.py',
        'if sample_state.phase == Phase.DONE or started_ms is None:',
        'if False:',
        ('tests/core/test_batch.py',),
    ),
    mutant.Mutant(
        'carried-groups-are-forgotten',
        'pomelopass/training/delivery.py',
        'if not selection.carried:',
        'if True:',
        (BATCHES,),
    ),
)
