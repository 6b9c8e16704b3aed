"""Test to whom a job belongs, on whole instances."""

import asyncio
import dataclasses
import random

import orjson
import pytest

from pomelopass.jobs import api as jobapi
from pomelopass.jobs import job as jobs
from pomelopass.jobs import progress
from pomelopass.jobs import rowcodec
from pomelopass.jobs import textcache
from pomelopass.workspaces import access
from tests import entrybuilders
from tests import workspacebuilders as builders

ENTRY = 'entry-0'
JOB = 'job-1'
READ = f'/-/lots/{JOB}'
ITEM = f'/-/items/{JOB}?id={JOB}-item-0-0'
RED = access.Access(True, True, 'red')
BLUE = access.Access(True, True, 'blue')


async def send(cluster, key, target, method='GET', body=b'', name=ENTRY):
    request = builders.make_request(
        key, target, request_id=JOB, body=body, method=method
    )
    return await cluster.entry_by_name[name].node.ingress.handle(request)


async def submit(cluster, key='red-key-1', item_headers=None, **changes):
    submission = entrybuilders.make_submission(JOB, 2, 2)
    value = entrybuilders.make_job_body(submission)
    for item in value['items']:
        item['headers'] |= item_headers or {}
    body = orjson.dumps(value)
    return await send(cluster, key, '/jobs/submit', 'POST', body, **changes)


async def get_statuses(cluster, key, name=ENTRY):
    """Return the statuses of all calls on the job but its end."""
    statuses = [
        (await send(cluster, key, target, name=name)).status
        for target in (READ, ITEM)
    ]
    return [*statuses, (await submit(cluster, key, name=name)).status]


async def read_all(cluster, key, name=ENTRY):
    results = []
    for _ in range(200):
        target = f'{READ}?after={len(results)}'
        reply = await send(cluster, key, target, name=name)
        assert reply.status == 200
        page = orjson.loads(reply.body)
        results += page['results']
        if len(results) == page['total']:
            return results
        await asyncio.sleep(0.1)
    return results


def get_run_headers(cluster, part):
    return [
        headers
        for headers in builders.get_received(cluster)
        if part in dict(headers)['attempt-id']
    ]


# Builds without workspaces read these rows and compare the bytes.
def test_rows_without_a_workspace_are_those_of_earlier_builds():
    record = jobs.JobRecord('j', 'a-1', 'a', 3, 1, 5)
    assert rowcodec.encode_record(record) == (
        b'{"id":"j","owner":"a-1","owner_name":"a","total":3,"chunks":1,'
        b'"accepted_ms":5,"model":"","tokens":0,"allowed_lag":0,"listed":0,'
        b'"ended":false,"writes":0}'
    )
    submission = entrybuilders.make_submission()
    for stored in (
        submission,
        dataclasses.replace(submission, workspace='red'),
    ):
        values = [value for _, value in rowcodec.encode_submission(stored)]
        assert rowcodec.decode_submission(values) == stored
    stored = dataclasses.replace(record, workspace='red')
    assert rowcodec.decode_record(rowcodec.encode_record(stored)) == stored


def test_items_run_for_the_workspace_and_rewards_for_none():
    async def scenario(cluster):
        headers = {
            'Tenant': 'blue',
            'TENANT': 'green',
            'tenant': 'x',
            'AuthoriZation': 'Bearer red-key-1',
            'X-Own': 'kept',
        }
        assert (await submit(cluster, item_headers=headers)).status == 202
        assert len(await read_all(cluster, 'red-key-2')) == 4
        runs = get_run_headers(cluster, 'item')
        assert len(runs) >= 4
        for run in runs:
            assert [v for n, v in run if n == 'tenant'] == ['red']
            assert ('x-own', 'kept') in run
        scores = get_run_headers(cluster, 'score')
        assert len(scores) >= 4
        assert not any('tenant' in dict(score) for score in scores)
        received = builders.get_received(cluster)
        assert not any('authorization' in dict(run) for run in received)
        submission = await cluster.entry_by_name[
            ENTRY
        ].node.job_table.fetch_submission(JOB)
        assert 'red-key' not in repr(submission)
        values = [row.value for row in cluster.service.row_by_name.values()]
        stored = [
            value
            for value in values
            if b'red-key' in (value or b'') and b'"api_keys"' not in value
        ]
        assert not stored

    builders.run(scenario)


def test_job_is_used_with_keys_of_its_workspace_only():
    async def scenario(cluster):
        assert (await submit(cluster)).status == 202
        await asyncio.sleep(0.5)
        for name in cluster.entry_by_name:
            ours = await get_statuses(cluster, 'red-key-2', name)
            assert ours == [200, 200, 202]
            assert await get_statuses(cluster, 'blue-key-1', name) == [404] * 3
            assert await get_statuses(cluster, 'unknown', name) == [401] * 3
            assert await get_statuses(cluster, None, name) == [401] * 3
        for key, status in (
            (None, 401),
            ('blue-key-1', 404),
            ('red-key-2', 200),
        ):
            reply = await send(cluster, key, READ, 'DELETE')
            assert reply.status == status

    builders.run(scenario)


# It would reveal whether another workspace has a job of that id.
def test_missing_job_is_refused_as_that_of_another_workspace():
    async def scenario(cluster):
        for key, status in ((None, 401), ('no', 401), ('blue-key-1', 404)):
            for target in (READ, ITEM):
                assert (await send(cluster, key, target)).status == status
            reply = await send(cluster, key, READ, 'DELETE')
            assert reply.status == status

    builders.run(scenario)


# The key, or its move to the workspace of the job, may be newer.
def test_job_calls_are_refused_for_good_only_by_a_confirmed_copy():
    async def scenario(cluster):
        assert (await submit(cluster)).status == 202
        await asyncio.sleep(0.5)
        node = cluster.entry_by_name[ENTRY].node
        follower = node.watch.operator
        follower.table = HangingTable()
        await asyncio.sleep(4.0)
        assert (await send(cluster, 'unknown', READ)).status == 503
        assert (await send(cluster, 'blue-key-1', READ)).status == 503
        assert (await send(cluster, 'red-key-1', READ)).status == 200

    builders.run(scenario)


class HangingTable:
    """Table whose polls never end."""

    async def follow(self, table, after, wait_ms):
        await asyncio.Event().wait()


def test_job_without_a_workspace_is_open_to_all():
    async def scenario(cluster):
        assert (await submit(cluster, None)).status == 202
        await builders.put(cluster, 3)
        for key in (None, 'unknown', 'blue-key-1'):
            reply = await send(cluster, key, READ)
            assert reply.status == 200
        assert (await submit(cluster, 'blue-key-1')).status == 202

    builders.run(scenario, entrybuilders.make_configuration(2))


# Its headers were stored as they came, before there were workspaces.
def test_items_that_were_stored_before_workspaces_bring_no_key():
    async def scenario(cluster):
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.slots = 0
        headers = {'Tenant': 'own', 'Authorization': 'Bearer red-key-1'}
        assert (await submit(cluster, None, headers)).status == 202
        await builders.put(cluster, 3)
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.received.clear()
            endpoint.slots = 8
        assert len(await read_all(cluster, None)) == 4
        for run in builders.get_received(cluster):
            assert not {'tenant', 'authorization'} & set(dict(run))

    builders.run(scenario, entrybuilders.make_configuration(2))


def test_items_without_workspaces_keep_their_headers():
    async def scenario(cluster):
        headers = {'Tenant': 'own', 'Authorization': 'Bearer any'}
        assert (await submit(cluster, None, headers)).status == 202
        assert len(await read_all(cluster, None)) == 4
        for run in get_run_headers(cluster, 'item'):
            assert dict(run)['tenant'] == 'own'
            assert dict(run)['authorization'] == 'Bearer any'

    builders.run(scenario, entrybuilders.make_configuration(2))


# The step would be lost with the keys that were replaced meanwhile.
@pytest.mark.parametrize('restarts', [False, True])
def test_job_outlives_its_keys_and_opens_to_later_ones(restarts):
    async def scenario(cluster):
        assert (await submit(cluster)).status == 202
        await builders.put(cluster, 3, {'red': [], 'blue': ['blue-key-1']})
        if restarts:
            for name in list(cluster.entry_by_name):
                cluster.kill(name)
                cluster.start(name)
        await asyncio.sleep(12.0)
        assert (await send(cluster, 'red-key-1', READ)).status == 401
        assert (await send(cluster, 'blue-key-1', READ)).status == 404
        keys = {'red': ['later'], 'blue': ['red-key-1']}
        await builders.put(cluster, 4, keys)
        assert (await send(cluster, 'red-key-1', READ)).status == 404
        results = await read_all(cluster, 'later')
        assert [result['state'] for result in results] == ['completed'] * 4
        for run in get_run_headers(cluster, 'item'):
            assert dict(run)['tenant'] == 'red'

    builders.run(scenario)


# A read that waits would bring results to a key that was removed.
def test_read_that_waits_is_refused_when_its_key_is_removed():
    async def scenario(cluster):
        for endpoint in cluster.pool.endpoint_by_id.values():
            endpoint.slots = 0
        assert (await submit(cluster)).status == 202
        request = builders.make_request(
            'red-key-1', READ, (('wait-ms', '900'),), JOB, method='GET'
        )
        ingress = cluster.entry_by_name[ENTRY].node.ingress
        reading = asyncio.ensure_future(ingress.handle(request))
        await asyncio.sleep(0.1)
        keys = {'red': ['red-key-2'], 'blue': ['blue-key-1']}
        cluster.put_configuration(builders.make_configuration(3, keys))
        assert (await reading).status == 401

    builders.run(scenario)


# Without the keys, the workspace of the job can't be checked.
def test_job_call_with_a_key_waits_for_a_configuration():
    async def scenario(cluster):
        assert (await submit(cluster, None)).status == 202
        await asyncio.sleep(0.5)
        cluster.entry_by_name[ENTRY].node.view.configuration = None
        for target in (READ, ITEM):
            assert (await send(cluster, 'any', target)).status == 503
            assert (await send(cluster, None, target)).status == 200
        assert (await send(cluster, 'any', READ, 'DELETE')).status == 503
        assert (await send(cluster, None, READ, 'DELETE')).status == 200

    builders.run(scenario, entrybuilders.make_configuration(2))


# The rows of a job are found by its id alone.
def test_submission_of_another_workspace_does_not_replace_a_job():
    async def scenario(cluster):
        ours = make_large_submission('red')
        theirs = make_large_submission('blue')
        first, second = (
            cluster.entry_by_name[name].node for name in (ENTRY, 'entry-1')
        )
        outcome = await first.job_api.accept(ours, RED)
        assert outcome is jobapi.Acceptance.ACCEPTED
        second.jobs.remove(JOB)
        outcome = await second.job_api.accept(theirs, BLUE)
        assert outcome is jobapi.Acceptance.FOREIGN
        stored = await second.job_table.fetch_submission(JOB)
        assert stored == ours

    builders.run(scenario)


def make_large_submission(workspace):
    submission = entrybuilders.make_submission(JOB, 1, 2)
    # Random bytes can't be compressed: the job takes several writes.
    rng = random.Random(workspace)
    items = tuple(
        dataclasses.replace(item, body=rng.randbytes(900_000))
        for item in submission.items
    )
    return dataclasses.replace(submission, items=items, workspace=workspace)


# Trainers choose the ids of items, and a text is reused by them.
def test_text_is_not_carried_to_a_job_of_another_workspace():
    submission = dataclasses.replace(
        entrybuilders.make_submission(), workspace='red'
    )
    snapshot = progress.Snapshot(('t',), (3,), '1')
    cache = textcache.TextCache(1000)
    cache.put({submission.items[0].id: snapshot}, 'blue')
    assert cache.find_reusable(submission) == {}
    cache.put({submission.items[0].id: snapshot}, 'red')
    assert list(cache.find_reusable(submission).values()) == [snapshot]
