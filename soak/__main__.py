"""Run soak tests with consecutive seeds and print the failures."""

import argparse
import pathlib
import random
import sys
import tempfile

from soak import run

__all__ = ['main']


def main() -> int:
    """Return 1 if a run failed; keep and print the folder of its logs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int)
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--instances', type=int, default=4)
    parser.add_argument(
        '--from', dest='old_commit', help='build that runs beside this one'
    )
    arguments = parser.parse_args()
    first_seed = arguments.seed
    if first_seed is None:
        first_seed = random.SystemRandom().randrange(10**6)
    failed_runs = 0
    for seed in range(first_seed, first_seed + arguments.runs):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        failures, events = run.run_soak(
            folder,
            seed,
            arguments.seconds,
            arguments.instances,
            arguments.old_commit,
        )
        print(f'seed {seed}: {len(failures)} failures; {events[-1]}')
        for failure in failures:
            print(f'  {failure}')
        if failures:
            failed_runs += 1
            (folder / 'faults.txt').write_text('\n'.join(events))
            (folder / 'failures.txt').write_text('\n'.join(failures))
            print(f'  logs: {folder}')
    print(f'{arguments.runs - failed_runs} passed, {failed_runs} failed')
    return 1 if failed_runs else 0


if __name__ == '__main__':
    sys.exit(main())
