"""Run soaks with seeds in turn and print what failed."""

import argparse
import pathlib
import random
import sys
import tempfile

from soak import run

__all__ = ['main']


def main() -> int:
    """Return 1 if a run failed; keep the logs of such a run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int)
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--instances', type=int, default=4)
    arguments = parser.parse_args()
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    failed = 0
    for seed in range(first, first + arguments.runs):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        failures, events = run.run_soak(
            folder, seed, arguments.seconds, arguments.instances
        )
        print(f'seed {seed}: {len(failures)} failures; {events[-1]}')
        for one in failures:
            print(f'  {one}')
        if failures:
            failed += 1
            (folder / 'faults.txt').write_text('\n'.join(events))
            print(f'  logs: {folder}')
    print(f'{arguments.runs - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
