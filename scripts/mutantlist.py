"""List one-line breaks of the mechanisms and the tests that catch them."""

import dataclasses

__all__ = ['MUTANTS', 'Mutant']

ANSWERS = 'tests/scenarios/test_answers.py'
BATCHES = 'tests/scenarios/test_batches.py'
CONFIGURATIONS = 'tests/scenarios/test_configurations.py'
LEAVING = 'tests/scenarios/test_leaving.py'
ORDERS = 'tests/scenarios/test_orders.py'
POISON = 'tests/scenarios/test_poison.py'
STOPPING = 'tests/scenarios/test_stopping.py'
CORE = 'pomelopass/core'


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """Replace a text that stands once in a file and name its tests."""

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTANTS = (
    Mutant(
        'verdict-of-the-last-attempt-only',
        f'{CORE}/verdict.py',
        'return max(verdicts, default=Verdict.NOT_RUN)',
        'return verdicts[-1] if verdicts else Verdict.NOT_RUN',
        ('tests/core/test_verdict.py',),
    ),
    Mutant(
        'reset-after-write-counts-as-not-run',
        f'{CORE}/verdict.py',
        'if bytes_written == 0:',
        'if not complete:',
        (ORDERS,),
    ),
    Mutant(
        'non-repeatable-is-retried',
        f'{CORE}/retry.py',
        'return attempt.repeatable',
        'return True',
        (ORDERS,),
    ),
    Mutant(
        'owned-key-is-given-up',
        f'{CORE}/claims.py',
        'elif claim.phase in (Phase.UNSURE, Phase.IDLE):',
        'elif claim.phase != Phase.DONE:',
        (ORDERS,),
    ),
    Mutant(
        'dispatch-without-owning-the-key',
        f'{CORE}/claims.py',
        'if claim is None or claim.phase != Phase.OWNED:',
        'if claim is None:',
        (ORDERS, 'tests/core/test_claims.py'),
    ),
    Mutant(
        'unknown-key-of-a-peer-counts-as-never-sent',
        f'{CORE}/claims.py',
        'return Claim(fingerprint, Phase.FAILED, now_ms)',
        'return Claim(fingerprint, Phase.RELEASED, now_ms)',
        ('tests/core/test_claims.py',),
    ),
    Mutant(
        'lost-owner-counts-as-never-sent',
        'pomelopass/claimflow.py',
        'return _refuse(refusal.Code.KEY_OWNER_LOST, _may_have_run())',
        'return await _take_over(context, item, owner)',
        (ORDERS,),
    ),
    Mutant(
        'expired-key-runs-again',
        f'{CORE}/claims.py',
        'if now_ms >= issued.expires_at_ms:',
        'if False:',
        ('tests/core/test_claims.py',),
    ),
    Mutant(
        'claim-row-of-another-token-is-taken',
        f'{CORE}/claims.py',
        'if row_token == claim.token:',
        'if row_token:',
        (ORDERS,),
    ),
    Mutant(
        'hand-over-ignores-the-published-version',
        f'{CORE}/handover.py',
        'tablerow.Condition(keys.published, rows.published_version),',
        '',
        (BATCHES, 'tests/core/test_batch.py'),
    ),
    Mutant(
        'hand-over-ignores-the-fence',
        f'{CORE}/handover.py',
        'tablerow.Condition(rows.fence_key, rows.fence_version),',
        '',
        (BATCHES, 'tests/core/test_batch.py'),
    ),
    Mutant(
        'stale-samples-are-kept',
        f'{CORE}/batch.py',
        'if sample.get_oldest_version(one.result) >= oldest_allowed:',
        'if True:',
        (BATCHES,),
    ),
    Mutant(
        'newest-version-stands-for-all',
        f'{CORE}/sample.py',
        'return min(part.version for part in one.segments)',
        'return max(part.version for part in one.segments)',
        (BATCHES, 'tests/core/test_batch.py'),
    ),
    Mutant(
        'ordered-version-is-named',
        'pomelopass/generation.py',
        "value.get('weight_version', UNKNOWN_VERSION)",
        '1',
        (BATCHES,),
    ),
    Mutant(
        'lost-answer-of-a-hand-over-is-a-failure',
        'pomelopass/delivery.py',
        "json.loads(row.value)['token'] == token",
        'False',
        ('tests/test_delivery.py',),
    ),
    Mutant(
        'second-result-of-a-race-counts',
        f'{CORE}/batch.py',
        'if one.phase == Phase.DONE or started_ms is None:',
        'if False:',
        ('tests/core/test_batch.py',),
    ),
    Mutant(
        'carried-groups-are-forgotten',
        'pomelopass/delivery.py',
        'if not chosen.carried:',
        'if True:',
        (BATCHES,),
    ),
    Mutant(
        'any-other-version-is-adopted',
        f'{CORE}/adoption.py',
        'return state.head is None or head.version > state.head.version\n\n\n'
        'def note_adopted',
        'return True\n\n\ndef note_adopted',
        (CONFIGURATIONS, 'tests/core/test_adoption.py'),
    ),
    Mutant(
        'configuration-without-a-marker',
        'pomelopass/configstore.py',
        'if not adoption.may_adopt(context.adoption, head, kept):',
        'if not adoption.may_adopt(context.adoption, head, True):',
        (CONFIGURATIONS,),
    ),
    Mutant(
        'oldest-marker-at-the-start',
        f'{CORE}/adoption.py',
        'return max(marker_heads, default=None)',
        'return min(marker_heads, default=None)',
        (CONFIGURATIONS,),
    ),
    Mutant(
        'proposal-on-any-base',
        'pomelopass/configstore.py',
        "if known['version'] != proposal.base_version:",
        'if False:',
        (CONFIGURATIONS,),
    ),
    Mutant(
        'leaving-endpoint-stays-usable',
        f'{CORE}/membership.py',
        'if one.pool == pool and not is_leaving(state, one.key)',
        'if one.pool == pool',
        (LEAVING,),
    ),
    Mutant(
        'leaving-by-itself-is-not-seen',
        'pomelopass/loops.py',
        "if not value.get('leaving'):",
        'if True:',
        (LEAVING,),
    ),
    Mutant(
        'news-of-leaving-is-dropped',
        'pomelopass/gossip.py',
        'if one.kind == LEAVING_KIND:',
        'if False:',
        (LEAVING,),
    ),
    Mutant(
        'three-crashes-to-quarantine',
        f'{CORE}/quarantine.py',
        'CRASHES_TO_QUARANTINE = 2',
        'CRASHES_TO_QUARANTINE = 3',
        (POISON,),
    ),
    Mutant(
        'crash-is-not-told',
        'pomelopass/crash.py',
        '    await context.tell_peers()\n',
        '',
        (POISON,),
    ),
    Mutant(
        'quarantine-never-ends',
        f'{CORE}/quarantine.py',
        'if suspect is None or now_ms >= suspect.expires_at_ms:\n'
        '        return None\n    remaining_ms',
        'if suspect is None:\n        return None\n    remaining_ms',
        (POISON,),
    ),
    Mutant(
        'truncated-stream-counts-as-whole',
        'pomelopass/generation.py',
        'if not whole or rest:',
        'if False:',
        (ANSWERS,),
    ),
    Mutant(
        'event-of-another-request-is-passed-on',
        'pomelopass/generation.py',
        "if value.get('id') != attempt_id:",
        'if False:',
        (ANSWERS,),
    ),
    Mutant(
        'reply-to-another-request-is-passed-on',
        'pomelopass/dispatch.py',
        'if missing or echoed not in (None, item.attempt_id):',
        'if False:',
        (ANSWERS,),
    ),
    Mutant(
        'connection-is-kept-after-a-cut-reply',
        'pomelopass/edges/httpclient.py',
        'done = connection.state.their_state is h11.DONE',
        'done = True',
        ('tests/edges/test_httpclient.py',),
    ),
    Mutant(
        'surplus-bytes-are-kept',
        'pomelopass/edges/httpclient.py',
        'if not done or leftover or',
        'if not done or',
        ('tests/edges/test_httpclient.py',),
    ),
    Mutant(
        'stop-before-addresses-lapse',
        f'{CORE}/stopping.py',
        'grace_ms = ENTRIES_TTL_MS + LATE_CALLER_MARGIN_MS',
        'grace_ms = 0',
        (STOPPING,),
    ),
    Mutant(
        'stop-with-work-in-flight',
        f'{CORE}/stopping.py',
        'if state.phase == Phase.CLOSING and in_flight == 0:',
        'if state.phase == Phase.CLOSING:',
        (STOPPING,),
    ),
    Mutant(
        'duties-are-not-released',
        'pomelopass/instance.py',
        '    await duty.release_leases(context)\n',
        '',
        (STOPPING,),
    ),
    Mutant(
        'paused-holder-acts',
        f'{CORE}/lease.py',
        'return now_ms < state.valid_until_ms - ACT_MARGIN_MS',
        'return True',
        ('tests/core/test_lease.py',),
    ),
    Mutant(
        'lease-is-taken-too-early',
        f'{CORE}/lease.py',
        'wait_ms += TTL_MS',
        'wait_ms += 0',
        ('tests/core/test_lease.py',),
    ),
    Mutant(
        'orders-count-as-reports',
        f'{CORE}/rollout.py',
        'return now_ms - at_ms >= ORDER_TIMEOUT_MS\n\n\ndef _is_loading',
        'return False\n\n\ndef _is_loading',
        ('tests/core/test_rollout.py',),
    ),
    Mutant(
        'no-cap-on-ejection',
        f'{CORE}/ejection.py',
        'return out + 1 <= max(1, int(MAX_EJECTED_SHARE * len(by_key)))',
        'return True',
        ('tests/core/test_ejection.py',),
    ),
)
