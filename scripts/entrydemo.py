"""Submit a trainer's jobs while entry instances are killed or stopped."""

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
    """Return the errors of several steps with a kill and a stop."""
    errors = []
    with entryfleet.EntryFleet(folder, entrycalls.ZONES) as fleet:
        entrycalls.start_fleet(fleet, INSTANCES, '--engines', '4')
        for step in range(STEPS):
            errors.extend(_run_step(fleet, step))
        errors.extend(_check_orders(fleet))
    return errors


def _run_step(fleet: entryfleet.EntryFleet, step: int) -> list[str]:
    job_id = f'step-{step}'
    submission = entrybuilders.make_submission(
        job_id, groups=4, min_version=max(step, 1)
    )
    status = entrycalls.submit(fleet, 'entry-0', submission)
    if status != 202:
        return [f'{job_id} got status {status}']
    if step == KILLED_STEP:
        fleet.signal('entry-1', signal.SIGKILL)
    if step == STOPPED_STEP:
        fleet.signal('entry-2', signal.SIGTERM)
    results = entrycalls.read_all(fleet, job_id)
    endpoint_records = fleet.get_endpoint_records()
    versions = sorted(
        {version for result in results for version in result['versions']}
    )
    print(f'{job_id}: {len(results)} results, weight versions {versions}')
    target_row = {'model': entrybuilders.MODEL, 'version': step + 2}
    fleet.put_row('op', f'version/{entrybuilders.MODEL}', target_row)
    return entrycalls.find_errors(submission, results, endpoint_records)


def _check_orders(fleet: entryfleet.EntryFleet) -> list[str]:
    def is_loaded() -> bool:
        return all(
            record['versions'][entrybuilders.MODEL] == STEPS + 1
            for name, record in fleet.get_endpoint_records().items()
            if name.startswith('engine')
        )

    try:
        probe.wait_for(is_loaded)
    except TimeoutError:
        return ['an engine did not load the last version in time']
    return []
