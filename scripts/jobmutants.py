"""Mutants of the jobs, versions and requests of entry instances."""

from scripts import mutant

__all__ = ['MUTANTS']

JOBS = 'tests/entry/test_jobs.py'
OWNERS = 'tests/entry/test_owners.py'
VERSIONS = 'tests/entry/test_versions.py'
POISON = 'tests/entry/test_poison.py'
FORWARD = 'tests/requests/test_forward.py'
STREAM = 'tests/requests/test_stream.py'
STREAM_ERRORS = 'tests/requests/test_stream_errors.py'
RESTARTED = 'tests/platform/test_restarted_endpoint.py'
QUARANTINE = 'tests/requests/test_quarantine.py'
DUTY = 'tests/leadership/test_duty.py'
ASSIGNMENT = 'tests/versions/test_assignment.py'
ADOPTION = 'tests/jobs/test_adoption.py'

MUTANTS = (
    mutant.Mutant(
        'job-commit-without-a-condition',
        'pomelopass/jobs/jobtable.py',
        'expected=((key, version),),\n            puts=((key, '
        'rowcodec.encode_record(record)), *puts),',
        'puts=((key, rowcodec.encode_record(record)), *puts),',
        (OWNERS,),
    ),
    mutant.Mutant(
        'listed-items-run-again-after-adoption',
        'pomelopass/jobs/jobrun.py',
        '            if item.id in self.listed:\n                continue\n',
        '',
        (JOBS,),
    ),
    mutant.Mutant(
        'broken-stream-counts-as-whole',
        'pomelopass/jobs/itemstream.py',
        "        raise message.ExchangeError('truncated', 1)",
        '        pass',
        (OWNERS,),
    ),
    mutant.Mutant(
        'resume-without-the-last-event',
        'pomelopass/jobs/itemstream.py',
        'last_event_id=run.progress.last_event_id,',
        'last_event_id=None,',
        (JOBS,),
    ),
    mutant.Mutant(
        'too-old-versions-are-used',
        'pomelopass/jobs/textcache.py',
        'if min(snapshot.versions) >= submission.min_version:',
        'if True:',
        (JOBS,),
    ),
    mutant.Mutant(
        'end-of-a-job-is-not-heard',
        'pomelopass/jobs/manager.py',
        'if job_id in self.task_by_id and not is_owned:',
        'if False:',
        (OWNERS,),
    ),
    mutant.Mutant(
        'dead-owner-counts-as-alive',
        'pomelopass/fleet/member.py',
        '        if member.incarnation != incarnation:\n'
        '            return False\n',
        '',
        (JOBS, VERSIONS),
    ),
    mutant.Mutant(
        'fence-does-not-grow',
        'pomelopass/leadership/leader.py',
        'previous.fence if already_held else previous.fence + 1,',
        'previous.fence,',
        (VERSIONS,),
    ),
    mutant.Mutant(
        'text-resumes-at-any-start-of-an-engine',
        'pomelopass/platform/endpointclient.py',
        'if report.born != target.started_at_ms:',
        'if False:',
        (RESTARTED,),
    ),
    mutant.Mutant(
        'text-resumes-on-any-connection',
        'pomelopass/edges/connectionpool.py',
        'if started_at_ms in (None, connection.peer_started_at_ms)',
        'if True',
        ('tests/edges/test_httpclient.py',),
    ),
    mutant.Mutant(
        'blocks-that-are-over-are-forgotten',
        'pomelopass/requests/quarantine.py',
        'if block is None:\n            if self._count',
        'if True:\n            if self._count',
        (QUARANTINE,),
    ),
    mutant.Mutant(
        'grant-outlives-its-duty',
        'pomelopass/leadership/duty.py',
        'leadership.is_own\n            '
        'and leadership.row.fence == grant.fence',
        'True',
        (DUTY,),
    ),
    mutant.Mutant(
        'order-is-not-checked-once-its-connection-is-open',
        'pomelopass/edges/httpclient.py',
        'if not may_send():',
        'if False:',
        ('tests/platform/test_endpointclient.py',),
    ),
    mutant.Mutant(
        'late-answer-hides-the-next-leader',
        'pomelopass/leadership/leader.py',
        'if outcome.version > leadership.version:\n'
        '        leadership.set_row(row, outcome.version, get_now())\n'
        '    return row',
        'leadership.set_row(row, outcome.version, get_now())\n    return row',
        (DUTY,),
    ),
    mutant.Mutant(
        'new-leader-waits-for-no-grant',
        'pomelopass/leadership/duty.py',
        'wait_ms = self.settings.lease_ms + GRANT_MS',
        'wait_ms = self.settings.lease_ms',
        (DUTY,),
    ),
    mutant.Mutant(
        'takeover-by-a-lost-answer-needs-no-wait',
        'pomelopass/leadership/leader.py',
        'if self.is_own and not was_own and row.fence > 1:',
        'if False:',
        (DUTY,),
    ),
    mutant.Mutant(
        'every-engine-follows-every-model',
        'pomelopass/versions/orders.py',
        'if state.endpoint.id in assigned_by_model.get(model, ())\n'
        '        and state',
        'if state',
        ('tests/versions/test_assignment.py',),
    ),
    mutant.Mutant(
        'non-idempotent-request-is-sent-again',
        'pomelopass/requests/callstate.py',
        'return state.may_have_run == 0',
        'return True',
        (FORWARD,),
    ),
    mutant.Mutant(
        'refusal-costs-an-attempt',
        'pomelopass/requests/forward.py',
        'callstate.record_refusal(state, attempt.endpoint_id)\n'
        '                continue',
        'callstate.record_refusal(state, attempt.endpoint_id)',
        (FORWARD,),
    ),
    mutant.Mutant(
        'success-needs-no-signature',
        'pomelopass/requests/attempt.py',
        'if 200 <= answer.status < 300 and answer.signature is None:',
        'if False:',
        (FORWARD,),
    ),
    mutant.Mutant(
        'crashes-are-not-shared',
        'pomelopass/entry/tablewatch.py',
        'if instance.name != listeners.name:',
        'if False:',
        (POISON,),
    ),
    mutant.Mutant(
        'jobs-stay-for-ever',
        'pomelopass/jobs/cleanup.py',
        'return age_ms > retention_ms\n',
        'return False\n',
        ('tests/jobs/test_cleanup.py',),
    ),
    mutant.Mutant(
        'weak-instances-own-jobs',
        'pomelopass/jobs/adoption.py',
        '            capacity_by_name[name] < WEAK_SHARE * max_capacity,\n',
        '',
        ('tests/jobs/test_adoption.py',),
    ),
    mutant.Mutant(
        'weights-that-serve-load-first',
        'pomelopass/versions/assignment.py',
        '    chosen_ids.extend(unusable_ids)\n',
        '    chosen_ids.extend(usable_ids)\n',
        (ASSIGNMENT,),
    ),
    mutant.Mutant(
        'lag-from-news-alone',
        'pomelopass/jobs/api.py',
        'newest = max(target_version, submission.step)',
        'newest = target_version',
        (VERSIONS,),
    ),
    mutant.Mutant(
        'instances-behind-a-peer-own-jobs',
        'pomelopass/jobs/adoption.py',
        '            name in relayed,\n',
        '',
        (ADOPTION,),
    ),
    mutant.Mutant(
        'callers-sent-to-instances-behind-a-peer',
        'pomelopass/fleet/member.py',
        'direct = [member for member in recent if member.is_direct]',
        'direct = recent',
        (ADOPTION,),
    ),
    mutant.Mutant(
        'streams-never-suspected',
        'pomelopass/requests/streamopen.py',
        'if self.forwarder.quarantine.is_quarantined(\n'
        '                state.fingerprint, loop.time()\n'
        '            ):',
        'if False:',
        (STREAM,),
    ),
    mutant.Mutant(
        'streams-joined-with-errors',
        'pomelopass/requests/streamopen.py',
        'if stream.status and answer.status != stream.status:',
        'if False:',
        (STREAM, STREAM_ERRORS),
    ),
    mutant.Mutant(
        'resumable-streams-take-errors',
        'pomelopass/requests/streamopen.py',
        '            if answer.status < 500:\n                break\n',
        '            break\n',
        (STREAM,),
    ),
    mutant.Mutant(
        'streams-wait-for-silent-engines',
        'pomelopass/requests/stream.py',
        'RESUME_PAUSE_SHARE if route.resumable else BREAK_PAUSE_SHARE',
        'BREAK_PAUSE_SHARE',
        (STREAM,),
    ),
    mutant.Mutant(
        'relay-forgets-who-answered',
        'pomelopass/table/relay.py',
        '        self.choice.preferred_address = address\n',
        '',
        ('tests/table/test_relay.py',),
    ),
)
