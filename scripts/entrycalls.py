"""Send requests to entry instances like callers and trainers."""

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
    """Start a platform, put a configuration and start instances."""
    fleet.start_platform(*options)
    fleet.put_row('op', 'config', entrybuilders.make_configuration())
    for number in range(instances):
        fleet.start_entry(f'entry-{number}')
    fleet.wait_ready()


def submit(
    fleet: entryfleet.EntryFleet, name: str, submission: jobs.Submission
) -> int:
    """Submit a job to an instance; return the status."""
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
    """Return the results, read from the instances in rotation."""
    results: list[dict] = []
    deadline = time.monotonic() + timeout_s
    names = list(fleet.settings_by_name)
    attempt = 0
    while time.monotonic() < deadline:
        attempt += 1
        status, body = probe.call(
            fleet.get_address(names[attempt % len(names)]),
            'GET',
            f'/-/lots/{job_id}?after={len(results)}',
            headers={**HOST, 'Wait-Ms': '500'},
            timeout_s=4.0,
        )
        assert status in (0, 200, 503), status
        if status != 200:
            time.sleep(0.1)
            continue
        results.extend(body['results'])
        if len(results) == body['total']:
            return results
    return results


def find_errors(
    submission: jobs.Submission, results: list[dict], endpoint_records: dict
) -> list[str]:
    """Return errors in a job's results, by the endpoints' records."""
    errors = []
    ids = [result['id'] for result in results]
    if len(set(ids)) != len(ids):
        errors.append('an item is listed twice')
    missing = {item.id for item in submission.items} - set(ids)
    if missing:
        errors.append(f'missing: {sorted(missing)}')
    for result in results:
        if result['state'] != 'completed':
            continue
        text = modelengines.make_text(
            result['id'], endpoint_records['events'][result['id']]
        )
        if result['text'] != text:
            errors.append(f'{result["id"]}: the text differs')
        score = f's-{result["id"].replace("item", "score")}'
        if result.get('score') != score:
            errors.append(f'{result["id"]}: the score differs')
    return errors
