"""Break one line at a time and demand that some test fails."""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from scripts import fleetmutants
from scripts import jobmutants
from scripts import mutant
from scripts import requestmutants

__all__ = ['main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORKERS = 4
TIMEOUT_S = 300
COPIED = (
    'pomelopass',
    'standins',
    'scripts',
    'soak',
    'tests',
    'bench',
    'examples',
)
FILES = ('conftest.py', 'pyproject.toml')


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Hold whether a mutant was caught."""

    name: str
    caught: bool
    detail: str


def main() -> int:
    """Run all mutants, or those whose name holds an argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ''
    mutants = (
        *requestmutants.MUTANTS,
        *fleetmutants.MUTANTS,
        *jobmutants.MUTANTS,
    )
    chosen = [one for one in mutants if wanted in one.name]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_mutant, chosen))
    for one in outcomes:
        state = 'caught' if one.caught else 'SURVIVED'
        print(f'{state:9s} {one.name}: {one.detail}')
    missed = sum(not one.caught for one in outcomes)
    print(f'{len(outcomes) - missed} caught, {missed} survived')
    return 1 if missed else 0


def run_mutant(broken: mutant.Mutant) -> Outcome:
    """Break the line in a copy of the project and run its tests."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        _copy_project(copy)
        path = copy / broken.path
        text = path.read_text(encoding='utf-8')
        if text.count(broken.old) != 1:
            return Outcome(broken.name, False, 'the line was not found once')
        changed = text.replace(broken.old, broken.new)
        path.write_text(changed, encoding='utf-8')
        return _run_tests(broken, copy)


def _copy_project(copy: pathlib.Path) -> None:
    ignored = shutil.ignore_patterns('__pycache__')
    for name in COPIED:
        shutil.copytree(ROOT / name, copy / name, ignore=ignored)
    for name in FILES:
        shutil.copy(ROOT / name, copy / name)


def _run_tests(broken: mutant.Mutant, copy: pathlib.Path) -> Outcome:
    command = [
        *(sys.executable, '-m', 'pytest', '-x', '-q', '--no-header'),
        *('-p', 'no:cacheprovider', *broken.tests),
    ]
    try:
        done = subprocess.run(
            command,
            cwd=copy,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
            env={**os.environ, 'PYTHONPATH': str(copy)},
        )
    except subprocess.TimeoutExpired:
        return Outcome(broken.name, True, 'the tests did not end')
    failed = [
        line for line in done.stdout.splitlines() if line.startswith('FAILED ')
    ]
    detail = failed[0][:100] if failed else done.stdout[-200:]
    caught = done.returncode == 1 and bool(failed)
    return Outcome(broken.name, caught, detail)


if __name__ == '__main__':
    sys.exit(main())
