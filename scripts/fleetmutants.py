"""Mutants of configuration, membership, answers and leases."""

from scripts import mutant

__all__ = ['MUTANTS']

ANSWERS = 'tests/scenarios/test_answers.py'
CONFIGURATIONS = 'tests/scenarios/test_configurations.py'
LEAVING = 'tests/scenarios/test_leaving.py'
POISON = 'tests/scenarios/test_poison.py'
STOPPING = 'tests/scenarios/test_stopping.py'
CORE = 'pomelopass/core'

MUTANTS = (
    mutant.Mutant(
        'any-other-version-is-adopted',
        f'{CORE}/adoption.py',
        'return state.head is None or head.version > state.head.version\n\n\n'
        'def record_adopted',
        'return True\n\n\ndef record_adopted',
        (CONFIGURATIONS, 'tests/core/test_adoption.py'),
    ),
    mutant.Mutant(
        'configuration-without-a-marker',
        'pomelopass/configuring/configadoption.py',
        'if not adoption.may_adopt(context.adoption, head, marker_stored):',
        'if not adoption.may_adopt(context.adoption, head, True):',
        (CONFIGURATIONS,),
    ),
    mutant.Mutant(
        'oldest-marker-at-the-start',
        f'{CORE}/adoption.py',
        'return max(marker_heads, default=None)',
        'return min(marker_heads, default=None)',
        (CONFIGURATIONS,),
    ),
    mutant.Mutant(
        'proposal-on-any-base',
        'pomelopass/configuring/configstore.py',
        "if current['version'] != proposal.base_version:",
        'if False:',
        (CONFIGURATIONS,),
    ),
    mutant.Mutant(
        'leaving-endpoint-stays-usable',
        f'{CORE}/membership.py',
        'if entry.pool == pool and not is_leaving(state, entry.key)',
        'if entry.pool == pool',
        (LEAVING,),
    ),
    mutant.Mutant(
        'leaving-by-itself-is-not-seen',
        'pomelopass/running/loops.py',
        "if not value.get('leaving'):",
        'if True:',
        (LEAVING,),
    ),
    mutant.Mutant(
        'news-of-leaving-is-dropped',
        'pomelopass/running/gossip.py',
        'if news_item.kind == LEAVING_KIND:',
        'if False:',
        (LEAVING,),
    ),
    mutant.Mutant(
        'three-crashes-to-quarantine',
        f'{CORE}/quarantine.py',
        'CRASHES_TO_QUARANTINE = 2',
        'CRASHES_TO_QUARANTINE = 3',
        (POISON,),
    ),
    mutant.Mutant(
        'crash-is-not-told',
        'pomelopass/callers/crash.py',
        '    await gossip.notify_peers(context)\n',
        '',
        (POISON,),
    ),
    mutant.Mutant(
        'quarantine-never-ends',
        f'{CORE}/quarantine.py',
        'if suspect is None or now_ms >= suspect.expires_at_ms:\n'
        '        return None\n    remaining_ms',
        'if suspect is None:\n        return None\n    remaining_ms',
        (POISON,),
    ),
    mutant.Mutant(
        'truncated-stream-counts-as-whole',
        'pomelopass/callers/generation.py',
        'if not is_complete or rest:',
        'if False:',
        (ANSWERS,),
    ),
    mutant.Mutant(
        'event-of-another-request-is-passed-on',
        'pomelopass/callers/generation.py',
        "if value.get('id') != attempt_id:",
        'if False:',
        (ANSWERS,),
    ),
    mutant.Mutant(
        'reply-to-another-request-is-passed-on',
        'pomelopass/callers/dispatch.py',
        'if missing or echoed not in (None, item.attempt_id):',
        'if False:',
        (ANSWERS,),
    ),
    mutant.Mutant(
        'connection-is-kept-after-a-cut-reply',
        'pomelopass/edges/connectionpool.py',
        'done = connection.state.their_state is h11.DONE',
        'done = True',
        ('tests/edges/test_httpclient.py',),
    ),
    mutant.Mutant(
        'surplus-bytes-are-kept',
        'pomelopass/edges/connectionpool.py',
        'if not done or leftover or',
        'if not done or',
        ('tests/edges/test_httpclient.py',),
    ),
    mutant.Mutant(
        'stop-before-addresses-lapse',
        f'{CORE}/stopping.py',
        'grace_ms = ENTRIES_TTL_MS + LATE_CALLER_MARGIN_MS',
        'grace_ms = 0',
        (STOPPING,),
    ),
    mutant.Mutant(
        'stop-with-work-in-flight',
        f'{CORE}/stopping.py',
        'if state.phase == Phase.CLOSING and in_flight == 0:',
        'if state.phase == Phase.CLOSING:',
        (STOPPING,),
    ),
    mutant.Mutant(
        'duties-are-not-released',
        'pomelopass/running/instance.py',
        '    await duty.release_leases(context)\n',
        '',
        (STOPPING,),
    ),
    mutant.Mutant(
        'paused-holder-acts',
        f'{CORE}/lease.py',
        'return now_ms < state.valid_until_ms - ACT_MARGIN_MS',
        'return True',
        ('tests/core/test_lease.py',),
    ),
    mutant.Mutant(
        'lease-is-taken-too-early',
        f'{CORE}/lease.py',
        'wait_ms += TTL_MS',
        'wait_ms += 0',
        ('tests/core/test_lease.py',),
    ),
    mutant.Mutant(
        'orders-count-as-reports',
        f'{CORE}/rollout.py',
        'return now_ms - at_ms >= ORDER_TIMEOUT_MS\n\n\ndef _is_loading',
        'return False\n\n\ndef _is_loading',
        ('tests/core/test_rollout.py',),
    ),
    mutant.Mutant(
        'no-cap-on-ejection',
        f'{CORE}/ejection.py',
        'return ejected + 1 <= max(1, int(MAX_EJECTED_SHARE * len(by_key)))',
        'return True',
        ('tests/core/test_ejection.py',),
    ),
    mutant.Mutant(
        'old-evidence-prolongs-a-spell',
        f'{CORE}/ejection.py',
        'return state.ejections_in_row > 0 and not state.probing',
        'return False',
        ('tests/core/test_ejection.py', 'tests/scenarios/test_pools.py'),
    ),
    mutant.Mutant(
        'empty-pool-waits',
        'pomelopass/callers/slots.py',
        '    _check_pool(context, item)\n',
        '',
        ('tests/scenarios/test_pools.py',),
    ),
)
