"""Mutants of singleton duties and usage reports."""

from scripts import mutant

__all__ = ['MUTANTS']

DUTY = 'pomelopass/leadership/duty.py'
CLIENT = 'pomelopass/platform/dutyclient.py'
MANAGER = 'pomelopass/usage/manager.py'
STORE = 'pomelopass/usage/store.py'
STARTS = 'pomelopass/usage/starts.py'
CLOCK = 'pomelopass/usage/clock.py'
REPORTS = 'tests/usage/test_reports.py'
WINDOWS = 'tests/usage/test_windows.py'
SEPARATION = 'tests/leadership/test_separation.py'
BEGINNINGS = 'tests/requests/test_starts.py'
CALLS = 'tests/platform/test_dutyclient.py'
KEPT_ROWS = 'tests/fleet/test_keptrows.py'
SETTINGS = 'tests/entry/test_duty_settings.py'
AUDIT = 'tests/test_dutyaudit.py'
PLAN = 'pomelopass/scaling/plan.py'
REPLAYS = 'tests/scaling/test_plan.py'

MUTANTS = (
    mutant.Mutant(
        'engines-follow-each-wave',
        PLAN,
        'return self.peaks[0][1]',
        'return wanted',
        (REPLAYS,),
    ),
    mutant.Mutant(
        'spot-engines-of-one-zone-carry-the-jobs',
        PLAN,
        '_get_capacity_without(target, supply_by_zone, zone) < committed:',
        'False:',
        (REPLAYS,),
    ),
    mutant.Mutant(
        'engines-that-are-not-available-are-ordered-at-once',
        PLAN,
        'UNAVAILABLE_BOOTS = 2',
        'UNAVAILABLE_BOOTS = 0',
        (REPLAYS,),
    ),
    mutant.Mutant(
        'lost-orders-are-not-repeated',
        PLAN,
        'return present != count and',
        'return False and',
        (REPLAYS,),
    ),
    mutant.Mutant(
        'replaced-engines-leave-at-once',
        PLAN,
        'if _get_capacity(kept, supply_by_zone) - booting < demand.committed:',
        'if False:',
        (REPLAYS,),
    ),
    mutant.Mutant(
        'pace-of-a-zone-has-no-effect-on-its-price',
        PLAN,
        'return price / supply_by_zone[kind.zone].pace',
        'return price',
        (REPLAYS,),
    ),
    mutant.Mutant(
        'audit-counts-reports-that-were-not-sent',
        'pomelopass/reporting/dutyaudit.py',
        "and line.fields['outcome'] not in UNSENT_OUTCOMES",
        'and True',
        (AUDIT,),
    ),
    mutant.Mutant(
        'audit-misses-who-sent-a-token',
        'pomelopass/reporting/dutyaudit.py',
        'elif not _was_sent(line):',
        'else:',
        (AUDIT,),
    ),
    mutant.Mutant(
        'holders-act-within-the-lease',
        DUTY,
        'if elapsed_s * 1000 < self.settings.lease_ms:',
        'if False:',
        (SEPARATION,),
    ),
    mutant.Mutant(
        'refused-token-stays-valid',
        DUTY,
        '            and grant.fence > leadership.refused_fence\n',
        '',
        (SEPARATION,),
    ),
    mutant.Mutant(
        'refused-holder-keeps-its-token',
        DUTY,
        'and leadership.row.fence <= leadership.refused_fence',
        'and False',
        (SEPARATION,),
    ),
    mutant.Mutant(
        'duty-returns-to-who-gave-it-up',
        DUTY,
        'if row is not None and not row.holder:',
        'if False:',
        (SEPARATION,),
    ),
    mutant.Mutant(
        'call-asks-for-no-consent',
        CLIENT,
        '                may_send=may_send,\n            )\n'
        '        except message.ExchangeError as error:',
        '            )\n        except message.ExchangeError as error:',
        (CALLS,),
    ),
    mutant.Mutant(
        'two-calls-on-one-subject',
        CLIENT,
        'if subject in self.subjects_in_flight:',
        'if False:',
        (CALLS,),
    ),
    mutant.Mutant(
        'each-subject-takes-the-whole-rate',
        CLIENT,
        'self.subject_count / (self.calls_per_s',
        '1 / (self.calls_per_s',
        (CALLS,),
    ),
    mutant.Mutant(
        'lost-answer-counts-as-not-sent',
        CLIENT,
        'if not error.bytes_written:',
        'if True:',
        (CALLS,),
    ),
    mutant.Mutant(
        'duty-without-its-fields-is-valid',
        'pomelopass/entry/settings.py',
        'if value is None and KNOWN_DUTIES',
        'if False and KNOWN_DUTIES',
        (SETTINGS,),
    ),
    mutant.Mutant(
        'report-is-sent-before-it-is-stored',
        MANAGER,
        '        await self.store.add(self.stored, added)\n',
        '        for report in added:\n'
        '            number = report.window\n'
        '            self.stored.body_by_window[number] = report.body\n',
        (REPORTS,),
    ),
    mutant.Mutant(
        'stored-report-is-overwritten',
        STORE,
        'expected=tuple((key, rows.ABSENT) for key in keys),',
        'expected=(),',
        (REPORTS,),
    ),
    mutant.Mutant(
        'stored-reports-are-not-read',
        STORE,
        'body_by_window[window] = row.value',
        'pass',
        (REPORTS,),
    ),
    mutant.Mutant(
        'report-is-sent-without-a-grant',
        MANAGER,
        'lambda: not self.stopping and self.duty.is_valid(grant),',
        'lambda: True,',
        (REPORTS,),
    ),
    mutant.Mutant(
        'windows-close-without-all-counts',
        'pomelopass/usage/windows.py',
        'if counted is None or counted >= closed:',
        'if True:',
        (REPORTS,),
    ),
    mutant.Mutant(
        'unreachable-holder-keeps-the-duty',
        MANAGER,
        'if await self._give_up_if_unanswered(now):',
        'if False:',
        (REPORTS,),
    ),
    mutant.Mutant(
        'stopping-holder-keeps-the-duty',
        MANAGER,
        "await self._hand_over('stopping')",
        'pass',
        (REPORTS,),
    ),
    mutant.Mutant(
        'refused-report-changes-nothing',
        MANAGER,
        'self.duty.refuse(grant)',
        'pass',
        (REPORTS,),
    ),
    mutant.Mutant(
        'counts-of-gone-instances-stay',
        MANAGER,
        'await self.store.remove_counts(outdated)',
        'pass',
        (REPORTS,),
    ),
    mutant.Mutant(
        'windows-are-those-of-the-wall-clock',
        CLOCK,
        'offset_ms = self.agreed_offset_ms\n',
        'offset_ms = self.get_own_offset_ms()\n',
        (REPORTS, WINDOWS),
    ),
    mutant.Mutant(
        'table-clock-that-begins-anew-is-not-noticed',
        CLOCK,
        'return abs(offset_ms - own_ms) <= MAX_ERROR_MS',
        'return True',
        (f'{REPORTS}::test_clock_of_the_table_that_begins_anew_is_noticed',),
    ),
    mutant.Mutant(
        'one-clock-decides-for-all',
        CLOCK,
        'middle_ms = statistics.median(offsets_ms)',
        'middle_ms = max(offsets_ms)',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'step-of-the-clocks-counts-at-once',
        CLOCK,
        'LASTING_ROUNDS = 3',
        'LASTING_ROUNDS = 1',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'slow-answers-set-the-clock',
        CLOCK,
        'or offset_ms > self.best_offset_ms',
        'or offset_ms < self.best_offset_ms',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'later-windows-wait-for-no-counts',
        'pomelopass/usage/windows.py',
        '        # Later windows have a wait of their own.\n'
        '        self.began_at = None\n',
        '',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'request-counts-twice-by-its-id',
        STARTS,
        'if self.start_by_id.get(start.call_id, start) is not start:',
        'if False:',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'refused-request-counts',
        STARTS,
        '        self._uncount(start)\n        start.at = None\n',
        '        start.at = None\n',
        (WINDOWS, REPORTS),
    ),
    mutant.Mutant(
        'late-start-moves-out-of-a-reported-window',
        STARTS,
        'if window == start.window or self._is_reported(start.window):',
        'if window == start.window:',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'counts-of-an-outage-have-no-bound',
        STARTS,
        'while len(self.counts_by_window) > MAX_WINDOWS:',
        'while False:',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'dropped-counts-are-not-logged',
        STARTS,
        'self.late_by_window[window] += counts.total()',
        'pass',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'start-leaves-a-window-that-was-dropped',
        STARTS,
        'counts = start.counts\n',
        'counts = self.counts_by_window.get(start.window)\n',
        (WINDOWS,),
    ),
    mutant.Mutant(
        'first-starts-are-lost',
        STARTS,
        'self.unplaced.append(start)',
        'pass',
        (WINDOWS, REPORTS),
    ),
    mutant.Mutant(
        'kept-row-is-written-once-even-if-it-failed',
        'pomelopass/fleet/heartbeat.py',
        '        sent_at = loop.time()\n',
        '        sent_at = loop.time()\n'
        '        self.kept_value_by_key.update(kept_value_by_key)\n',
        (KEPT_ROWS,),
    ),
    mutant.Mutant(
        'stopped-instance-keeps-its-last-counts',
        'pomelopass/entry/node.py',
        'await self.heartbeat.write_last(LAST_WRITE_TIMEOUT_MS)',
        'pass',
        (REPORTS,),
    ),
    mutant.Mutant(
        'start-is-the-time-of-the-answer',
        'pomelopass/requests/attempt.py',
        'began_at = starts.estimate_start(started_at,',
        'began_at = starts.estimate_start(loop.time(),',
        (BEGINNINGS,),
    ),
    mutant.Mutant(
        'running-requests-are-not-counted',
        'pomelopass/requests/forward.py',
        'state.start.place(now)',
        'pass',
        (BEGINNINGS,),
    ),
    mutant.Mutant(
        'refused-requests-have-begun',
        'pomelopass/requests/forward.py',
        'state.start.withdraw()',
        'pass',
        (BEGINNINGS,),
    ),
    mutant.Mutant(
        'stream-begins-again-after-a-break',
        'pomelopass/requests/stream.py',
        'stream.has_begun = True',
        'pass',
        (BEGINNINGS,),
    ),
)
