"""Run the property tests with more examples and print their seed."""

import os
import pathlib
import random
import subprocess
import sys

__all__ = ['main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
PATHS = (
    'tests/scenarios',
    'tests/core',
    'tests/edges',
    'tests/decoders',
    'tests/platform',
)


def main() -> int:
    """Run with the seed of the first argument, or a random one."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else random.getrandbits(32)
    print(f'seed {seed}; again with: python -m scripts.fuzz {seed}')
    environment = {**os.environ, 'POMELOPASS_PROFILE': 'fuzz'}
    environment.setdefault('POMELOPASS_EXAMPLES', '500')
    paths = sys.argv[2:] or PATHS
    command = [sys.executable, '-m', 'pytest', f'--hypothesis-seed={seed}']
    return subprocess.run(
        [*command, *paths], cwd=ROOT, env=environment, check=False
    ).returncode


if __name__ == '__main__':
    sys.exit(main())
