"""Mutants of limits, software versions and endless answers."""

from scripts import mutant

__all__ = ['MUTANTS']

LIMITS = 'tests/entry/test_limits.py'
SHARING = 'tests/limits/test_sharing.py'
ALLOCATOR = 'tests/limits/test_allocator.py'
SOFTWARE = 'tests/entry/test_software.py'
STREAMS = 'tests/entry/test_resumed_streams.py'
RECORDER = 'tests/origins/test_recorder.py'
COPIES = 'tests/origins/test_copies.py'
OUT_OF_STEP = 'tests/entry/test_out_of_step.py'
CURRENT_ROWS = 'tests/table/test_currentrows.py'
BASES = 'tests/origins/test_bases.py'
POISON = 'tests/entry/test_poison.py'
ENDLESS = 'tests/entry/test_endless.py'

MUTANTS = (
    mutant.Mutant(
        'runs-take-no-permit',
        'pomelopass/jobs/schedule.py',
        'self.permits.take(state.endpoint.id)',
        'pass',
        (LIMITS,),
    ),
    mutant.Mutant(
        'requests-take-no-permit',
        'pomelopass/requests/callstate.py',
        'permits.take(endpoint_state.endpoint.id)',
        'pass',
        (LIMITS,),
    ),
    mutant.Mutant(
        'every-instance-allots-to-itself',
        'pomelopass/limits/sharing.py',
        'if name == self.membership.own_name:',
        'if True:',
        (SHARING, LIMITS),
    ),
    mutant.Mutant(
        'the-second-allots-the-whole-limit',
        'pomelopass/limits/sharing.py',
        'per_s *= SECONDARY_SHARE',
        'pass',
        (SHARING,),
    ),
    mutant.Mutant(
        'isolated-instance-has-the-whole-limit',
        'pomelopass/limits/sharing.py',
        'own_per_s = per_s * SECONDARY_SHARE / max(len(ranked), 1)',
        'own_per_s = per_s',
        (SHARING,),
    ),
    mutant.Mutant(
        'a-pause-saves-up-requests',
        'pomelopass/limits/allocator.py',
        'BURST_REQUESTS = 2',
        'BURST_REQUESTS = 20',
        (ALLOCATOR,),
    ),
    mutant.Mutant(
        'permits-do-not-lapse',
        'pomelopass/limits/permits.py',
        'return self.count if now < self.lapse_at else 0',
        'return self.count',
        ('tests/limits/test_permits.py',),
    ),
    mutant.Mutant(
        'limits-are-not-learned-from-rows',
        'pomelopass/entry/tablewatch.py',
        'self.listeners.limits.merge(limits)',
        'pass',
        (LIMITS,),
    ),
    mutant.Mutant(
        'older-limits-win',
        'pomelopass/limits/book.py',
        'known.observed_ms < limit.observed_ms',
        'known.observed_ms > limit.observed_ms',
        ('tests/limits/test_book.py',),
    ),
    mutant.Mutant(
        'lifted-limits-stay',
        'pomelopass/limits/book.py',
        'if per_s is not None or endpoint_id in self.limit_by_endpoint:',
        'if per_s is not None:',
        (LIMITS,),
    ),
    mutant.Mutant(
        'texts-go-on-at-any-software',
        'pomelopass/jobs/progress.py',
        'return not self.texts or self.software == software',
        'return True',
        (SOFTWARE,),
    ),
    mutant.Mutant(
        'software-of-a-text-is-not-kept',
        'pomelopass/jobs/itemstream.py',
        'run.progress.software = software',
        'pass',
        (SOFTWARE, 'tests/entry/test_owners.py'),
    ),
    mutant.Mutant(
        'streams-go-on-at-any-software',
        'pomelopass/requests/callstate.py',
        'if state.software in (None, endpoint_state.endpoint.software)',
        'if True',
        (STREAMS,),
    ),
    mutant.Mutant(
        'stream-begins-without-its-row',
        'pomelopass/origins/recorder.py',
        'if is_listed and is_stored:',
        'if True:',
        (STREAMS, RECORDER),
    ),
    mutant.Mutant(
        'lost-answer-of-a-row-is-a-failure',
        'pomelopass/origins/writer.py',
        'row.value is not None and is_stored(row.value)',
        'False',
        (RECORDER, STREAMS),
    ),
    mutant.Mutant(
        'resumed-streams-are-taken-for-the-base',
        'pomelopass/origins/recorder.py',
        'if row is not None:',
        'if False:',
        (STREAMS, RECORDER),
    ),
    mutant.Mutant(
        'base-follows-the-majority',
        'pomelopass/origins/bases.py',
        'if current.software in count_by_software:',
        'if False:',
        (BASES,),
    ),
    mutant.Mutant(
        'base-changes-at-once',
        'pomelopass/origins/bases.py',
        'elif now_ms - current.absent_since_ms < BASE_TTL_MS:',
        'elif False:',
        (BASES,),
    ),
    mutant.Mutant(
        'missing-rows-are-never-written',
        'pomelopass/origins/recorder.py',
        'await self._write_missing()',
        'pass',
        (STREAMS,),
    ),
    mutant.Mutant(
        'streams-begin-at-a-version-that-is-not-listed',
        'pomelopass/origins/recorder.py',
        'if is_listed and is_stored:',
        'if is_stored:',
        (COPIES,),
    ),
    mutant.Mutant(
        'stream-without-an-id-is-taken-for-the-base',
        'pomelopass/origins/recorder.py',
        'if first_id is None and base.absent_since_ms_by_other:',
        'if False:',
        (COPIES, OUT_OF_STEP),
    ),
    mutant.Mutant(
        'missing-row-is-never-ambiguous',
        'pomelopass/origins/recorder.py',
        'if base.is_ambiguous(self.get_table_ms()):',
        'if False:',
        (COPIES,),
    ),
    mutant.Mutant(
        'base-is-absent-by-a-copy-of-any-age',
        'pomelopass/origins/bases.py',
        'and self.ages.get_endpoints_ms() <= MAX_ABSENCE_AGE_MS',
        'and True',
        (COPIES,),
    ),
    mutant.Mutant(
        'old-copies-list-versions',
        'pomelopass/origins/bases.py',
        'self.ages.get_bases_ms() > MAX_LISTING_AGE_MS',
        'False',
        (COPIES,),
    ),
    mutant.Mutant(
        'old-copies-name-the-base',
        'pomelopass/origins/bases.py',
        'and self.ages.get_bases_ms() <= MAX_BASE_AGE_MS',
        'and True',
        (COPIES,),
    ),
    mutant.Mutant(
        'callers-share-reads-that-began-before',
        'pomelopass/table/currentrows.py',
        'self.next_by_key.pop(key)',
        'self.next_by_key[key]',
        (CURRENT_ROWS,),
    ),
    mutant.Mutant(
        'suspended-time-does-not-count',
        'pomelopass/edges/suspendclock.py',
        'time.CLOCK_BOOTTIME',
        'time.CLOCK_MONOTONIC',
        ('tests/edges/test_suspension.py',),
    ),
    mutant.Mutant(
        'peers-are-tried-one-after-the-other',
        'pomelopass/edges/staggeredconnect.py',
        'timeout=STAGGER_MS / 1000 if remaining else None',
        'timeout=None',
        (
            'tests/edges/test_staggeredconnect.py',
            'tests/entry/test_configuration_lag.py',
        ),
    ),
    mutant.Mutant(
        'reward-calls-are-quarantined',
        'pomelopass/jobs/reward.py',
        'may_quarantine=False',
        'may_quarantine=True',
        (POISON,),
    ),
    mutant.Mutant(
        'success-clears-the-own-count-only',
        'pomelopass/requests/quarantine.py',
        'if count == 0 and known.get(fingerprint) != 0:',
        'if False:',
        (POISON,),
    ),
    mutant.Mutant(
        'events-may-have-no-end',
        'pomelopass/jobs/events.py',
        'if len(self.unread) > MAX_EVENT_BYTES:',
        'if False:',
        (ENDLESS,),
    ),
    mutant.Mutant(
        'bytes-count-as-progress-of-an-item',
        'pomelopass/jobs/itemstream.py',
        'elif now >= stall_at:',
        'elif False:',
        (ENDLESS,),
    ),
    mutant.Mutant(
        'bytes-count-as-progress-of-a-stream',
        'pomelopass/requests/stream.py',
        'elif loop.time() >= stall_at:',
        'elif False:',
        (ENDLESS,),
    ),
    mutant.Mutant(
        'event-ids-may-repeat',
        'pomelopass/jobs/events.py',
        'if not event.id or not is_rising:',
        'if False:',
        (ENDLESS, 'tests/jobs/test_events.py'),
    ),
    mutant.Mutant(
        'refusals-are-read-to-their-end',
        'pomelopass/message.py',
        'async with asyncio.timeout(timeout_ms / 1000):',
        'async with asyncio.timeout(None):',
        (ENDLESS,),
    ),
    mutant.Mutant(
        'jobs-run-under-the-record-of-another',
        'pomelopass/jobs/manager.py',
        'if stored.record.owner == self.incarnation and self._is_owned(',
        'if True or self._is_owned(',
        ('tests/entry/test_owners.py',),
    ),
    mutant.Mutant(
        'missing-endpoints-get-work',
        'pomelopass/registry/registry.py',
        'return registered if 2 * len(registered) > len(states) else states',
        'return states',
        ('tests/registry/test_registry.py',),
    ),
    mutant.Mutant(
        'poll-waits-for-a-peer-that-hangs',
        'pomelopass/table/fallback.py',
        '        self.direct_again.set()\n',
        '',
        ('tests/table/test_fallback.py',),
    ),
)
