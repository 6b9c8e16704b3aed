"""Find the cause of three failures from the logs of instances alone.

Each test follows the steps of docs/OPERATIONS.md for its kind of failure.
"""

import asyncio
import json

from pomelopass.reporting import savedlogs
from pomelopass.requests import call as calls
from pomelopass.requests import outcome as outcomes
from pomelopass.requests import routes
from tests import entrybuilders

START_HOUR = '2026-01-01T00:'


def save_logs(cluster):
    """Return the lines that each instance wrote, as read from files."""
    files = []
    for name, entry in cluster.entry_by_name.items():
        lines = []
        for event in entry.events:
            fields = dict(event)
            at = fields.pop('at')
            minutes, seconds = divmod(at, 60)
            fields['time'] = f'{START_HOUR}{int(minutes):02d}:{seconds:06.3f}Z'
            fields.setdefault('instance', name)
            lines.append(json.dumps(fields))
        files.append(lines)
    return savedlogs.read_lines(files)


def explain(cluster, subject):
    return savedlogs.find_related(save_logs(cluster), subject)


async def send(cluster, name, path, request_id):
    """Send one request through an instance; return its outcome."""
    node = cluster.entry_by_name[name].node
    call = calls.Call(
        request_id, entrybuilders.HOST, 'POST', path, (), b'x', None
    )
    route = routes.find_route(
        node.view.configuration, entrybuilders.HOST, path
    )
    return await node.forwarder.forward(call, route)


def test_request_refused_though_endpoints_were_free():
    async def scenario(cluster):
        # Other users of the platform fill the desks; ours run nothing there.
        for number in range(2):
            cluster.pool.endpoint_by_id[f'desk-{number}'].running = 8
        outcome = await send(cluster, 'entry-1', '/orders/1', 'r-1')
        assert outcome.kind is outcomes.OutcomeKind.NOT_RUN
        (ended,) = explain(cluster, 'r-1')
        assert ended.event == 'request-ended'
        assert ended.instance == 'entry-1'
        assert ended.fields['outcome'] == 'not-run'
        assert ended.fields['reason'] == 'endpoint-refused'
        assert ended.fields['refused_by'] == ['desk-0', 'desk-1']
        assert not ended.fields['may_have_run']
        found = explain(cluster, 'desk-0')
        assert ended in found
        assert any(
            one.event == 'endpoint-changed' and one.fields['change'] == 'found'
            for one in found
        )

    entrybuilders.run_cluster(scenario)


def test_batch_job_whose_groups_were_late():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=2, size=2)
        for item in submission.items:
            cluster.pool.events_by_item[item.id] = 60
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(0.5)
        stored = cluster.entry_by_name['entry-0'].node.jobs.get('job-1')
        owner = stored.record.owner_name
        cluster.kill(owner)
        await cluster.read_all('job-1', 20)
        found = explain(cluster, submission.items[-1].id)
        events = [one.event for one in found]
        submitted = found[events.index('job-submitted')]
        assert submitted.fields['owner'] == owner
        adopted = next(
            one
            for one in found
            if one.event == 'job-adopted' and one.fields['applied']
        )
        assert adopted.fields['former'] == stored.record.owner
        assert adopted.instance != owner
        runs = [one for one in found if one.event == 'item-run']
        assert [one.fields['outcome'] for one in runs] == ['done']
        assert runs[0].instance == adopted.instance
        assert runs[0].time > adopted.time
        assert events[-1] == 'results-listed'

    entrybuilders.run_cluster(scenario)


def test_request_that_ran_and_whose_answer_was_lost():
    async def scenario(cluster):
        for number in range(2):
            cluster.pool.endpoint_by_id[f'desk-{number}'].lose_share = 1.0
        outcome = await send(cluster, 'entry-2', '/orders/2', 'r-2')
        assert outcome.kind is outcomes.OutcomeKind.MAY_HAVE_RUN
        (ended,) = explain(cluster, 'r-2')
        assert ended.fields['outcome'] == 'may-have-run'
        assert ended.fields['reason'] == 'reset'
        assert ended.fields['may_have_run'] == 1
        (endpoint_id,) = ended.fields['endpoints']
        assert cluster.pool.endpoint_by_id[endpoint_id].ran == ['r-2']

    entrybuilders.run_cluster(scenario)
