"""Test that rows of other writers harm nothing but themselves."""

import asyncio
import json
import logging

import pytest

from pomelopass.entry import eventlog
from pomelopass.fleet import heartbeat
from pomelopass import message
from pomelopass.reporting import logevents
from standins import virtualloop
from tests import entrybuilders
from tests import oddvalues

REQUESTS = 30
# Time in which all engines load a version.
LOADS_S = 6.0


def make_logging_recorder(events):
    """Record events as they are logged, encoded as JSON lines."""
    log = eventlog.EventLog(1)
    logger = logging.Logger('test')
    logger.addHandler(log)
    write_event = eventlog.make_write_event(logger, 'a')

    def record(event: logevents.Event) -> None:
        write_event(event)
        while log.lines:
            events.append(json.loads(log.lines.popleft()))

    return record


def run(scenario):
    async def start():
        cluster = entrybuilders.make_cluster(
            instances=2, make_write_event=make_logging_recorder
        )
        await asyncio.sleep(entrybuilders.START_S)
        await scenario(cluster)
        await cluster.stop()

    virtualloop.run(start())


async def send(entry, path, request_id):
    request = message.Request(
        'POST',
        path,
        (
            ('host', entrybuilders.HOST),
            ('attempt-id', request_id),
            ('deadline-ms', '1500'),
            ('model', entrybuilders.MODEL),
        ),
        request_id.encode(),
    )
    return (await entry.node.ingress.handle(request)).status


async def check_service(cluster):
    """Check that requests, jobs, versions and new rows are processed."""
    for number in range(REQUESTS):
        for name, entry in cluster.entry_by_name.items():
            status = await send(entry, '/scores/1', f's-{name}-{number}')
            assert status == 200
    cluster.put_configuration(entrybuilders.make_configuration(9))
    cluster.set_target_version(entrybuilders.MODEL, 2)
    submission = entrybuilders.make_submission(min_version=1)
    await cluster.submit('entry-0', submission)
    results = await cluster.read_all('job-1', 20)
    assert len(results) == len(submission.items)
    assert all(result.completed for result in results)
    await asyncio.sleep(LOADS_S)
    for entry in cluster.entry_by_name.values():
        assert entry.node.view.configuration.version == 9
        names = {event['event'] for event in entry.events}
        assert 'task-failed' not in names, entry.events
        state_by_id = entry.node.registry.state_by_id
        versions = [
            state.get_version(entrybuilders.MODEL)
            for endpoint_id, state in state_by_id.items()
            if endpoint_id.startswith('engine-')
        ]
        assert versions == [2, 2, 2]


@pytest.mark.parametrize('name', oddvalues.ENTRY_BY_NAME)
def test_odd_entry_of_an_endpoint_harms_no_request(name):
    async def scenario(cluster):
        for service in ('desk', 'engines'):
            value = oddvalues.make_entry(name, service)
            cluster.service.put('servers', f'odd-{service}', value)
        await asyncio.sleep(0.2)
        await check_service(cluster)

    run(scenario)


# Each heartbeat of such a writer changes its entry again.
def test_odd_entries_that_come_again_and_again_delay_no_others():
    async def scenario(cluster):
        async def repeat():
            while True:
                for name in oddvalues.ENTRY_BY_NAME:
                    value = oddvalues.make_entry(name, 'desk')
                    cluster.service.put('servers', 'odd', value)
                    await asyncio.sleep(0.05)

        repeated = asyncio.ensure_future(repeat())
        await check_service(cluster)
        repeated.cancel()

    run(scenario)


@pytest.mark.parametrize('endpoint_id', oddvalues.ENDPOINT_IDS)
def test_odd_id_of_an_endpoint_harms_no_request(endpoint_id):
    async def scenario(cluster):
        value = oddvalues.make_entry('good', 'desk')
        cluster.service.put('servers', endpoint_id, value)
        await asyncio.sleep(0.2)
        await check_service(cluster)

    run(scenario)


@pytest.mark.parametrize('prefix', oddvalues.FLEET_PREFIXES)
@pytest.mark.parametrize('name', oddvalues.MEMBER_BY_NAME)
def test_odd_row_of_a_peer_harms_nothing(prefix, name):
    async def scenario(cluster):
        value = oddvalues.MEMBER_BY_NAME[name]
        cluster.service.put(heartbeat.MEMBER_TABLE, f'{prefix}entry-9', value)
        await asyncio.sleep(0.5)
        await check_service(cluster)

    run(scenario)


@pytest.mark.parametrize('name', oddvalues.OPERATOR_ROWS)
def test_odd_row_of_the_operator_changes_nothing(name):
    async def scenario(cluster):
        key, value = oddvalues.OPERATOR_ROWS[name]
        cluster.service.put('op', key, value)
        await asyncio.sleep(0.2)
        for entry in cluster.entry_by_name.values():
            assert entry.node.view.configuration.version == 1
            targets = entry.node.versions.target_version_by_model
            assert targets.get(entrybuilders.MODEL, 0) < 2**53
        await check_service(cluster)

    run(scenario)


@pytest.mark.parametrize('name', oddvalues.MEMBER_BY_NAME)
def test_odd_row_of_a_job_delays_no_other_job(name):
    async def scenario(cluster):
        value = oddvalues.MEMBER_BY_NAME[name]
        key = oddvalues.make_job_key('odd-job')
        cluster.service.apply(oddvalues.make_put(key, value))
        await asyncio.sleep(0.5)
        await check_service(cluster)

    run(scenario)


# The rows behind it in the same answer must not wait for a restart.
def test_row_whose_processing_fails_costs_only_itself():
    async def scenario(cluster):
        entry = cluster.entry_by_name['entry-0']
        put = entry.node.registry.put

        def fail_once(endpoint):
            if endpoint.id == 'odd':
                raise OverflowError('an error of ours')
            put(endpoint)

        entry.node.registry.put = fail_once
        value = oddvalues.make_entry('good', 'desk')
        cluster.service.put('servers', 'odd', value)
        cluster.service.put('servers', 'later', value)
        await asyncio.sleep(0.05)
        assert 'later' in entry.node.registry.state_by_id
        failures = [
            event for event in entry.events if event['event'] == 'row-failed'
        ]
        assert [event['key'] for event in failures] == ['odd']
        await check_service(cluster)

    run(scenario)
