"""Call entry instances as callers and trainers do."""

import time

from pomelopass.jobs import job as jobs
from scripts import entryfleet
from scripts import probe
from standins import modelengines
from tests import entrybuilders

ZONES = ('north', 'middle', 'south')
HOST = {'Host': entrybuilders.HOST}


def start_fleet(
    fleet: entryfleet.EntryFleet, instances: int = 3, *options: str
) -> None:
    """Start a platform with a configuration, and instances."""
    fleet.start_platform(*options)
    fleet.put_row('op', 'config', entrybuilders.make_configuration())
    for number in range(instances):
        fleet.start_entry(f'entry-{number}')
    fleet.wait_ready()


def submit(
    fleet: entryfleet.EntryFleet, name: str, submission: jobs.Submission
) -> int:
    """Submit a job at an instance; return the status."""
    return probe.call(
        fleet.get_address(name),
        'POST',
        submission.target,
        entrybuilders.make_job_body(submission),
        {**HOST, 'Attempt-Id': submission.id},
    )[0]


def read_all(
    fleet: entryfleet.EntryFleet, job_id: str, timeout_s: float = 30.0
) -> list[dict]:
    """Return all results, read in turn at each instance that answers."""
    found: list[dict] = []
    deadline = time.monotonic() + timeout_s
    names = list(fleet.settings_by_name)
    turn = 0
    while time.monotonic() < deadline:
        turn += 1
        status, body = probe.call(
            fleet.get_address(names[turn % len(names)]),
            'GET',
            f'/-/lots/{job_id}?after={len(found)}',
            headers={**HOST, 'Wait-Ms': '500'},
            timeout_s=4.0,
        )
        assert status in (0, 200, 503), status
        if status != 200:
            time.sleep(0.1)
            continue
        found.extend(body['results'])
        if len(found) == body['total']:
            return found
    return found


def find_errors(
    submission: jobs.Submission, results: list[dict], seen: dict
) -> list[str]:
    """Return what is wrong with the results of a job."""
    faults = []
    ids = [one['id'] for one in results]
    if len(set(ids)) != len(ids):
        faults.append('an item stands twice')
    missing = {one.id for one in submission.items} - set(ids)
    if missing:
        faults.append(f'missing: {sorted(missing)}')
    for one in results:
        if one['state'] != 'completed':
            continue
        text = modelengines.make_text(one['id'], seen['events'][one['id']])
        if one['text'] != text:
            faults.append(f'{one["id"]}: the text differs')
        score = f's-{one["id"].replace("item", "score")}'
        if one.get('score') != score:
            faults.append(f'{one["id"]}: the score differs')
    return faults
