"""Run mutation tests: each one-line mutant must make a test fail."""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from scripts import clientmutants
from scripts import configmutants
from scripts import costmutants
from scripts import dutymutants
from scripts import endmutants
from scripts import fleetmutants
from scripts import jobmutants
from scripts import leavingmutants
from scripts import memorymutants
from scripts import mutant
from scripts import pathmutants
from scripts import placementmutants
from scripts import requestmutants
from scripts import scalingmutants
from scripts import sharedmutants
from scripts import workspacemutants

__all__ = ['main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORKERS = 4
TIMEOUT_S = 300
COPIED_FOLDERS = (
    'pomelopass',
    'standins',
    'scripts',
    'soak',
    'tests',
    'bench',
    'examples',
    'deploy',
)
COPIED_FILES = ('conftest.py', 'pyproject.toml')


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one mutant."""

    name: str
    caught: bool
    detail: str


def main() -> int:
    """Run all mutants, or those whose name contains the argument."""
    name_part = sys.argv[1] if len(sys.argv) > 1 else ''
    mutants = (
        *requestmutants.MUTANTS,
        *fleetmutants.MUTANTS,
        *jobmutants.MUTANTS,
        *sharedmutants.MUTANTS,
        *pathmutants.MUTANTS,
        *leavingmutants.MUTANTS,
        *endmutants.MUTANTS,
        *configmutants.MUTANTS,
        *costmutants.MUTANTS,
        *memorymutants.MUTANTS,
        *dutymutants.MUTANTS,
        *scalingmutants.MUTANTS,
        *workspacemutants.MUTANTS,
        *clientmutants.MUTANTS,
        *placementmutants.MUTANTS,
    )
    selected = [mutation for mutation in mutants if name_part in mutation.name]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_mutant, selected))
    for outcome in outcomes:
        state = 'caught' if outcome.caught else 'SURVIVED'
        print(f'{state:9s} {outcome.name}: {outcome.detail}')
    survived = sum(not outcome.caught for outcome in outcomes)
    print(f'{len(outcomes) - survived} caught, {survived} survived')
    return 1 if survived else 0


def run_mutant(tested: mutant.Mutant) -> Outcome:
    """Apply the mutant to a copy of the project and run its tests."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        _copy_project(copy)
        path = copy / tested.path
        text = path.read_text(encoding='utf-8')
        if text.count(tested.old) != 1:
            return Outcome(
                tested.name, False, 'the line does not occur exactly once'
            )
        changed = text.replace(tested.old, tested.new)
        path.write_text(changed, encoding='utf-8')
        return _run_tests(tested, copy)


def _copy_project(copy: pathlib.Path) -> None:
    ignored = shutil.ignore_patterns('__pycache__')
    for name in COPIED_FOLDERS:
        shutil.copytree(ROOT / name, copy / name, ignore=ignored)
    for name in COPIED_FILES:
        shutil.copy(ROOT / name, copy / name)


def _run_tests(tested: mutant.Mutant, copy: pathlib.Path) -> Outcome:
    command = [
        *(sys.executable, '-m', 'pytest', '-x', '-q', '--no-header'),
        *('-p', 'no:cacheprovider', *tested.tests),
    ]
    try:
        completed = subprocess.run(
            command,
            cwd=copy,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
            env={**os.environ, 'PYTHONPATH': str(copy)},
        )
    except subprocess.TimeoutExpired:
        return Outcome(tested.name, True, 'the tests timed out')
    failed = [
        line
        for line in completed.stdout.splitlines()
        if line.startswith('FAILED ')
    ]
    detail = failed[0][:100] if failed else completed.stdout[-200:]
    caught = completed.returncode == 1 and bool(failed)
    return Outcome(tested.name, caught, detail)


if __name__ == '__main__':
    sys.exit(main())
