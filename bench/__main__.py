"""Run all benchmarks; exit with status 1 if a target is missed."""

import sys
import time

from bench import latency
from bench import logcost
from bench import outages
from bench import processes
from bench import recovery
from bench import report
from bench import sharing
from bench import steps
from bench import training
from bench import zones

SEED = 1
VIRTUAL_CLOCK_MEASURES = (
    latency.measure_slow_endpoint,
    latency.measure_short_behind_long,
    training.measure_idle_time,
    training.measure_staleness,
    steps.measure_steps,
    recovery.measure_recovery,
    logcost.measure_log_cost,
    sharing.measure_shares,
    outages.measure_overload,
    outages.measure_retries,
    outages.measure_poison,
    zones.measure_zones,
)


def main() -> int:
    """Run the virtual-clock measures, then those with processes."""
    outcomes = []
    for measure in VIRTUAL_CLOCK_MEASURES:
        started_s = time.monotonic()
        outcomes += _print_outcomes(measure(SEED))
        print(f'       took {time.monotonic() - started_s:.0f} s', flush=True)
    report.write_results(outcomes, 'policies')
    process_outcomes = _print_outcomes(processes.measure_processes())
    report.write_results(process_outcomes, 'processes')
    missed = [
        outcome
        for outcome in (*outcomes, *process_outcomes)
        if not outcome.met
    ]
    print(f'{len(missed)} targets missed')
    return 1 if missed else 0


def _print_outcomes(outcomes):
    for outcome in outcomes:
        print(report.format_outcome(outcome), flush=True)
    return outcomes


if __name__ == '__main__':
    sys.exit(main())
