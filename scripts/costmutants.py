"""Mutants of what keeps the work for large fleets small."""

from scripts import mutant

__all__ = ['MUTANTS']

CHANGES = 'tests/registry/test_changelog.py'
HEARTBEATS = 'tests/entry/test_heartbeats.py'
PACING = 'tests/table/test_pacing.py'
ROLLOUT = 'tests/versions/test_large_rollout.py'
SERVICES = 'tests/registry/test_services.py'
VIEW = 'tests/entry/test_view.py'
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
    mutant.Mutant(
        'endpoint-stays-in-its-former-service',
        'pomelopass/registry/registry.py',
        'if state.endpoint.service != entry.service:\n'
        '            self._remove',
        'if False:\n            self._remove',
        (SERVICES,),
    ),
    mutant.Mutant(
        'removed-endpoint-stays-in-its-service',
        'pomelopass/registry/registry.py',
        '        self._remove_from_service(state.endpoint)\n'
        '        self.changes.record',
        '        self.changes.record',
        (SERVICES,),
    ),
    mutant.Mutant(
        'runs-that-ended-stay-counted',
        'pomelopass/registry/registry.py',
        'previous.keys() | count_by_id.keys()',
        'count_by_id',
        (SERVICES,),
    ),
    mutant.Mutant(
        'new-endpoint-has-no-runs-elsewhere',
        'pomelopass/registry/registry.py',
        'in_flight_elsewhere=self.runs_elsewhere_by_id.get(entry.id, 0),',
        '',
        (SERVICES,),
    ),
    mutant.Mutant(
        'runs-of-a-dead-instance-stay-counted',
        'pomelopass/fleet/member.py',
        'up to date."""\n        self.revision += 1',
        'up to date."""',
        (VIEW,),
    ),
    mutant.Mutant(
        'runs-of-a-heartbeat-are-not-counted',
        'pomelopass/fleet/member.py',
        'heartbeat."""\n        self.revision += 1\n        self.member',
        'heartbeat."""\n        self.member',
        (VIEW,),
    ),
    mutant.Mutant(
        'unchanged-heartbeats-are-decoded-again',
        'pomelopass/entry/tablewatch.py',
        'self.known_members.put(key, value, instance)',
        'pass',
        (HEARTBEATS,),
    ),
    mutant.Mutant(
        'heartbeats-with-any-beginning-count-as-unchanged',
        'pomelopass/table/memo.py',
        'if not (value.startswith(before) and value.endswith(after)):',
        'if not value.endswith(after):',
        (HEARTBEATS, ROW_HANDLERS),
    ),
    mutant.Mutant(
        'every-change-of-an-endpoint-is-logged',
        'pomelopass/registry/changelog.py',
        'if not self.lines_left:',
        'if False:',
        (CHANGES,),
    ),
    mutant.Mutant(
        'restarts-of-many-endpoints-are-omitted',
        'pomelopass/registry/changelog.py',
        "frozenset(('found', 'version'))",
        "frozenset(('found', 'version', 'restarted'))",
        (CHANGES,),
    ),
    mutant.Mutant(
        'lines-are-not-allowed-again',
        'pomelopass/registry/changelog.py',
        'REFILL_LINES = 5',
        'REFILL_LINES = 0',
        (CHANGES,),
    ),
    mutant.Mutant(
        'software-of-a-changed-entry-is-not-counted',
        'pomelopass/registry/registry.py',
        'self.software_counts_by_service.pop(entry.service, None)\n'
        '        restarted',
        'restarted',
        (SERVICES,),
    ),
    mutant.Mutant(
        'software-of-a-removed-endpoint-stays-counted',
        'pomelopass/registry/registry.py',
        'self.software_counts_by_service.pop(entry.service, None)\n'
        '        states',
        'states',
        (SERVICES,),
    ),
    mutant.Mutant(
        'all-engines-are-ordered-at-once',
        'pomelopass/versions/manager.py',
        'for load in due_loads[:MAX_ORDERS_AT_ONCE]',
        'for load in due_loads',
        (ROLLOUT,),
    ),
    mutant.Mutant(
        'all-loads-are-asked-for-at-once',
        'pomelopass/versions/manager.py',
        'for endpoint_id in due_ids[:MAX_REPORTS_AT_ONCE]:',
        'for endpoint_id in due_ids:',
        (ROLLOUT,),
    ),
)
