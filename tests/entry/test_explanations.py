"""Test that the logs of instances explain three kinds of failure.

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
    """Return the log lines of all instances, as read from files."""
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
        # Runs of other platform users fill both desk endpoints.
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
        related = explain(cluster, 'desk-0')
        assert ended in related
        assert any(
            line.event == 'endpoint-changed'
            and line.fields['change'] == 'found'
            for line in related
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
        related = explain(cluster, submission.items[-1].id)
        events = [line.event for line in related]
        submitted = related[events.index('job-submitted')]
        assert submitted.fields['owner'] == owner
        adopted = next(
            line
            for line in related
            if line.event == 'job-adopted' and line.fields['applied']
        )
        assert adopted.fields['former'] == stored.record.owner
        assert adopted.instance != owner
        runs = [line for line in related if line.event == 'item-run']
        assert [line.fields['outcome'] for line in runs] == ['done']
        assert runs[0].instance == adopted.instance
        assert runs[0].time > adopted.time
        assert events[-1] == 'results-listed'

    entrybuilders.run_cluster(scenario)


def test_request_that_ran_and_whose_reply_was_lost():
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
