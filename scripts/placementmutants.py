"""Mutants of the placement across availability zones."""

from scripts import mutant

__all__ = ['MUTANTS']

PLACEMENT = 'pomelopass/placement'
PLACER = 'tests/placement/test_placer.py'
RUNS = 'tests/placement/test_runs.py'
EXPLAIN = 'tests/placement/test_explain.py'
LATENCY = 'tests/placement/test_latency.py'
UNCHANGED = 'tests/placement/test_unchanged.py'
ZONES = 'tests/entry/test_zones.py'

MUTANTS = (
    mutant.Mutant(
        'placement-without-a-price-is-used',
        f'{PLACEMENT}/placer.py',
        '        if not self.is_enabled:\n'
        '            return choice.choose_for_call(',
        '        if False:\n            return choice.choose_for_call(',
        (UNCHANGED,),
    ),
    mutant.Mutant(
        'other-zone-has-no-penalty-without-a-price',
        'pomelopass/registry/choice.py',
        'penalty = OTHER_ZONE_PENALTY',
        'penalty = 1.0',
        (UNCHANGED,),
    ),
    mutant.Mutant(
        'runs-without-a-price-ignore-load',
        'pomelopass/registry/choice.py',
        'return pace_ms * (1.0 + RUN_LOAD_WEIGHT * load) * penalty',
        'return pace_ms * penalty',
        (UNCHANGED,),
    ),
    mutant.Mutant(
        'work-is-learned-without-a-price',
        f'{PLACEMENT}/placer.py',
        '        if not self.is_enabled:\n            return\n'
        '        if took_ms',
        '        if False:\n            return\n        if took_ms',
        (UNCHANGED,),
    ),
    mutant.Mutant(
        'own-delay-counts-as-way',
        f'{PLACEMENT}/latency.py',
        'max(0.0, other.round_trip_ms - own.round_trip_ms)',
        'max(0.0, other.round_trip_ms)',
        (LATENCY,),
    ),
    mutant.Mutant(
        'lost-packets-count-in-full',
        f'{PLACEMENT}/latency.py',
        'change_ms = max(-limit_ms, min(limit_ms, change_ms))',
        'pass',
        (LATENCY,),
    ),
    mutant.Mutant(
        'bytes-are-free',
        f'{PLACEMENT}/cost.py',
        'bytes_ms=bytes_ms * way.crossings',
        'bytes_ms=0.0',
        (PLACER,),
    ),
    mutant.Mutant(
        'leaving-has-no-band',
        f'{PLACEMENT}/spill.py',
        '    if not was_away:\n'
        '        band_ms = latency.get_band_ms(other.way.latency)',
        '    if False:\n'
        '        band_ms = latency.get_band_ms(other.way.latency)',
        (PLACER,),
    ),
    mutant.Mutant(
        'leaving-never-begins-to-last',
        f'{PLACEMENT}/placer.py',
        '                service.is_away = True',
        '                service.is_away = False',
        (PLACER,),
    ),
    mutant.Mutant(
        'failed-zones-cost-nothing',
        f'{PLACEMENT}/cost.py',
        'risk_ms=FAILED_CONNECT_MS if state.consecutive_failures else 0.0',
        'risk_ms=0.0',
        (PLACER,),
    ),
    mutant.Mutant(
        'failed-zones-are-never-tried-again',
        f'{PLACEMENT}/placer.py',
        '(has_failed or age_ms >= PACE_TTL_MS)',
        'age_ms >= PACE_TTL_MS',
        (PLACER,),
    ),
    mutant.Mutant(
        'own-zone-is-not-probed',
        f'{PLACEMENT}/placer.py',
        '        return spill.Decision(best, spill.Reason.PROBE)',
        '        return decision',
        (PLACER,),
    ),
    mutant.Mutant(
        'unknown-zones-are-not-scouted',
        f'{PLACEMENT}/placer.py',
        '            return spill.Decision(best, spill.Reason.SCOUT)',
        '            return decision',
        (PLACER,),
    ),
    mutant.Mutant(
        'hedges-leave-at-any-cost',
        f'{PLACEMENT}/placer.py',
        'if candidate.cost.total_ms >= work.hedged_ms:',
        'if False:',
        (PLACER,),
    ),
    mutant.Mutant(
        'peers-of-other-zones-carry-for-free',
        f'{PLACEMENT}/placer.py',
        'return costs.Way(both, 2)',
        'return costs.Way(both, 0)',
        (PLACER, ZONES),
    ),
    mutant.Mutant(
        'one-pace-for-all-work',
        f'{PLACEMENT}/cost.py',
        'pace_ms = _get_pace_ms(state, kind, typical_ms, now)',
        'pace_ms = state.pace_ms or typical_ms',
        (PLACER,),
    ),
    mutant.Mutant(
        'silent-zones-count-as-idle',
        'pomelopass/registry/endpoint.py',
        '    usual = state.usual_load_elsewhere\n',
        '    usual = 0.0\n',
        (PLACER,),
    ),
    mutant.Mutant(
        'resumed-requests-leave-their-cache',
        f'{PLACEMENT}/placer.py',
        'cost = dataclasses.replace(cost, prompt_ms=work.prompt_ms)',
        'pass',
        (PLACER,),
    ),
    mutant.Mutant(
        'traffic-counts-without-bound',
        f'{PLACEMENT}/traffic.py',
        'or len(pairs) < MAX_PAIRS',
        'or True',
        (PLACER,),
    ),
    mutant.Mutant(
        'items-do-not-wait-for-their-zone',
        f'{PLACEMENT}/runs.py',
        'if expected_ms > saved_ms or wait_ms <= 0.0:',
        'if True:',
        (RUNS,),
    ),
    mutant.Mutant(
        'items-wait-without-end',
        f'{PLACEMENT}/runs.py',
        'if expected_ms > saved_ms or wait_ms <= 0.0:',
        'if expected_ms > saved_ms:',
        (RUNS,),
    ),
    mutant.Mutant(
        'items-ahead-do-not-count',
        f'{PLACEMENT}/runs.py',
        'best.cost.total_ms * (work.ahead + 1)',
        'best.cost.total_ms',
        (RUNS,),
    ),
    mutant.Mutant(
        'resumed-texts-leave-their-cache',
        f'{PLACEMENT}/runs.py',
        'prompt_ms=0.0 if is_cached else work.prompt_ms',
        'prompt_ms=0.0',
        (RUNS,),
    ),
    mutant.Mutant(
        'long-texts-are-taken-for-done',
        f'{PLACEMENT}/sizes.py',
        'max(total - done, done * OVERDUE_SHARE, 1.0)',
        'max(total - done, 1.0)',
        (RUNS,),
    ),
    mutant.Mutant(
        'ways-are-not-measured',
        'pomelopass/entry/placementparts.py',
        '    times.on_connected = record_connected',
        '    pass',
        (ZONES,),
    ),
    mutant.Mutant(
        'changed-price-needs-a-restart',
        'pomelopass/entry/node.py',
        '        self.placer.transfer_ms_per_mb = '
        'settings.zone_transfer_ms_per_mb\n',
        '',
        (ZONES,),
    ),
    mutant.Mutant(
        'metrics-count-lines-not-requests',
        'pomelopass/entry/telemetry.py',
        "self.zone_left.add({**pair, 'reason': event.why}, event.left)",
        "self.zone_left.add({**pair, 'reason': event.why}, 1)",
        (ZONES,),
    ),
    mutant.Mutant(
        'items-ignore-the-price',
        'pomelopass/jobs/schedule.py',
        'if self.placer.is_enabled:',
        'if False:',
        ('tests/jobs/test_schedule.py',),
    ),
    mutant.Mutant(
        'items-that-wait-for-their-zone-are-not-looked-at-again',
        'pomelopass/jobs/schedule.py',
        'if holds.wait_ms is not None:',
        'if False:',
        ('tests/jobs/test_schedule.py',),
    ),
    mutant.Mutant(
        'slow-runs-move-between-zones-at-any-cost',
        'pomelopass/jobs/schedule.py',
        'return self.placer.pays_to_move(state, best, work, now)',
        'return True',
        ('tests/jobs/test_schedule.py',),
    ),
    mutant.Mutant(
        'explanations-forget-that-work-leaves',
        f'{PLACEMENT}/snapshot.py',
        '        placer.set_away(service)',
        '        pass',
        (EXPLAIN,),
    ),
    mutant.Mutant(
        'explanations-forget-the-way',
        f'{PLACEMENT}/snapshot.py',
        'dict(snapshot.latency_by_zone)',
        '{}',
        (EXPLAIN,),
    ),
    mutant.Mutant(
        'state-holds-addresses',
        f'{PLACEMENT}/snapshot.py',
        "dataclasses.replace(state.endpoint, address='')",
        'state.endpoint',
        (EXPLAIN,),
    ),
    mutant.Mutant(
        'full-engines-are-shown-as-open',
        f'{PLACEMENT}/explain.py',
        "'full' if is_full else 'open'",
        "'open'",
        (EXPLAIN,),
    ),
)
