"""Run all measurements; end with status 1 when a bound is broken."""

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

SEED = 1
VIRTUAL = (
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
)


def main() -> int:
    """Measure on the virtual clock, then with processes."""
    outcomes = []
    for measure in VIRTUAL:
        began = time.monotonic()
        outcomes += _show(measure(SEED))
        print(f'       took {time.monotonic() - began:.0f} s', flush=True)
    report.write_results(outcomes, 'policies')
    measured = _show(processes.measure_processes())
    report.write_results(measured, 'processes')
    missed = [one for one in (*outcomes, *measured) if not one.met]
    print(f'{len(missed)} targets missed')
    return 1 if missed else 0


def _show(outcomes):
    for one in outcomes:
        print(report.format_outcome(one), flush=True)
    return outcomes


if __name__ == '__main__':
    sys.exit(main())
