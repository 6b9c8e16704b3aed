"""Run a trainer through entry instances while one of them is killed."""

import pathlib
import signal

from scripts import entrycalls
from scripts import entryfleet
from scripts import probe
from tests import entrybuilders

__all__ = ['run_entries']

INSTANCES = 4
STEPS = 4
KILLED_STEP = 1
STOPPED_STEP = 2


def run_entries(folder: pathlib.Path) -> list[str]:
    """Return what is wrong after several steps, a kill and a stop."""
    faults = []
    with entryfleet.EntryFleet(folder, entrycalls.ZONES) as fleet:
        entrycalls.start_fleet(fleet, INSTANCES, '--engines', '4')
        for step in range(STEPS):
            faults.extend(_run_step(fleet, step))
        faults.extend(_check_orders(fleet))
    return faults


def _run_step(fleet: entryfleet.EntryFleet, step: int) -> list[str]:
    job_id = f'step-{step}'
    submission = entrybuilders.make_submission(
        job_id, groups=4, min_version=max(step, 1)
    )
    status = entrycalls.submit(fleet, 'entry-0', submission)
    if status != 202:
        return [f'{job_id} was answered {status}']
    if step == KILLED_STEP:
        fleet.signal('entry-1', signal.SIGKILL)
    if step == STOPPED_STEP:
        fleet.signal('entry-2', signal.SIGTERM)
    results = entrycalls.read_all(fleet, job_id)
    seen = fleet.get_endpoint_records()
    versions = sorted({one for each in results for one in each['versions']})
    print(f'{job_id}: {len(results)} results, weight versions {versions}')
    named = {'model': entrybuilders.MODEL, 'version': step + 2}
    fleet.put_row('op', f'version/{entrybuilders.MODEL}', named)
    return entrycalls.find_errors(submission, results, seen)


def _check_orders(fleet: entryfleet.EntryFleet) -> list[str]:
    def is_loaded() -> bool:
        return all(
            one['versions'][entrybuilders.MODEL] == STEPS + 1
            for name, one in fleet.get_endpoint_records().items()
            if name.startswith('engine')
        )

    try:
        probe.wait_for(is_loaded)
    except TimeoutError:
        return ['an engine has not got the last version']
    return []
