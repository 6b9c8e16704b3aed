"""Test jobs on whole entry instances under faults."""

import asyncio
import dataclasses

import pytest

from pomelopass.jobs import desk as desks
from standins import modelengines
from standins import virtualloop
from tests import entrybuilders

SEEDS = range(6)


def check_results(cluster, submission, results) -> None:
    assert [one.item_id for one in results] == list(
        dict.fromkeys(one.item_id for one in results)
    )
    assert {one.item_id for one in results} == {
        one.id for one in submission.items
    }
    for one in results:
        assert one.completed
        count = cluster.pool.events_by_item[one.item_id]
        assert one.text == modelengines.make_text(one.item_id, count)
        score = one.item_id.replace('item', 'score')
        assert one.score == f's-{score}'


def test_job_is_served_on_a_calm_day():
    async def scenario(cluster):
        submission = entrybuilders.make_submission()
        outcome = await cluster.submit('entry-0', submission)
        assert outcome is desks.Acceptance.ACCEPTED
        again = await cluster.submit('entry-1', submission)
        assert again is desks.Acceptance.ACCEPTED
        check_results(cluster, submission, await cluster.read_all('job-1', 10))

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize('seed', SEEDS)
def test_job_survives_the_death_of_its_owner(seed):
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=8)
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(0.3 + seed * 0.1)
        stored = cluster.entry_by_name['entry-0'].node.jobs.get('job-1')
        owner = stored.record.owner_name
        cluster.kill(owner)
        results = await cluster.read_all('job-1', 12)
        check_results(cluster, submission, results)
        adopted = [
            event['at']
            for entry in cluster.entry_by_name.values()
            for event in entry.events
            if event['event'] == 'job-adopted' and event['applied']
        ]
        assert len(adopted) <= 1

    entrybuilders.run_cluster(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_accepted_job_survives_the_loss_of_every_instance(seed):
    async def scenario(cluster):
        submission = entrybuilders.make_submission()
        outcome = await cluster.submit('entry-1', submission)
        assert outcome is desks.Acceptance.ACCEPTED
        for name in list(cluster.entry_by_name):
            cluster.kill(name)
        await asyncio.sleep(1)
        for number in range(3):
            cluster.start(f'entry-{number}')
        await asyncio.sleep(1)
        check_results(cluster, submission, await cluster.read_all('job-1', 12))

    entrybuilders.run_cluster(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_results_keep_their_positions_under_lost_and_late_writes(seed):
    async def scenario(cluster):
        for entry in cluster.entry_by_name.values():
            entry.client.faults.lose_answers = 0.3
            entry.client.faults.late_writes = 0.1
        submission = entrybuilders.make_submission(groups=6)
        for name in ('entry-0', 'entry-1', 'entry-2'):
            outcome = await cluster.submit(name, submission)
            if outcome is desks.Acceptance.ACCEPTED:
                break
        results = await cluster.read_all('job-1', 30)
        for entry in cluster.entry_by_name.values():
            entry.client.faults.lose_answers = 0.0
            entry.client.faults.late_writes = 0.0
        await asyncio.sleep(8)
        check_results(cluster, submission, results)
        assert await cluster.read_all('job-1', 5) == results

    entrybuilders.run_cluster(scenario, seed)


def test_results_wait_out_an_outage_of_the_table():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=6)
        await cluster.submit('entry-0', submission)
        for entry in cluster.entry_by_name.values():
            entry.client.faults.down = True
        await asyncio.sleep(5)
        for entry in cluster.entry_by_name.values():
            entry.client.faults.down = False
        # The engines worked on meanwhile: little is left to be done.
        results = await cluster.read_all('job-1', 2.5)
        check_results(cluster, submission, results)

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize('seed', SEEDS)
def test_broken_streams_are_resumed_without_a_gap(seed):
    async def scenario():
        cluster = entrybuilders.make_cluster(seed)
        for one in cluster.pool.endpoint_by_id.values():
            one.break_share = 0.4
        await asyncio.sleep(2)
        submission = entrybuilders.make_submission(groups=5)
        await cluster.submit('entry-0', submission)
        check_results(cluster, submission, await cluster.read_all('job-1', 20))
        await cluster.stop()

    virtualloop.run(scenario())


def test_item_that_always_fails_is_terminated_after_its_attempts():
    async def scenario():
        cluster = entrybuilders.make_cluster()
        for one in cluster.pool.endpoint_by_id.values():
            if one.service == 'engines':
                one.error_share = 1.0
        await asyncio.sleep(2)
        submission = entrybuilders.make_submission(groups=1, size=1)
        await cluster.submit('entry-0', submission)
        results = await cluster.read_all('job-1', 10)
        assert [one.completed for one in results] == [False]
        runs = sum(
            one.ran.count(submission.items[0].id)
            for one in cluster.pool.endpoint_by_id.values()
        )
        assert runs == 3
        await cluster.stop()

    virtualloop.run(scenario())


def test_ended_job_reaches_no_engine_any_more():
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=20)
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(0.5)
        assert await cluster.entry_by_name['entry-2'].node.desk.end('job-1')
        assert await cluster.entry_by_name['entry-1'].node.desk.end('job-1')
        await asyncio.sleep(0.5)
        engine = cluster.pool.endpoint_by_id['engine-0']
        count = len(engine.ran)
        assert count < len(submission.items)
        await asyncio.sleep(5)
        assert len(engine.ran) == count
        assert engine.running == 0

    entrybuilders.run_cluster(scenario, engines=1)


def test_unknown_job_and_unsure_answer_differ():
    async def scenario(cluster):
        desk = cluster.entry_by_name['entry-0'].node.desk
        assert await desk.read('nobody', 0, 0) is None
        cluster.entry_by_name['entry-0'].client.faults.down = True
        with pytest.raises(Exception, match='status 503|no peer'):
            await desk.read('nobody', 0, 0)

    entrybuilders.run_cluster(scenario)


def test_bodies_are_read_back_whole():
    async def scenario(cluster):
        submission = entrybuilders.make_submission()
        await cluster.submit('entry-0', submission)
        desk = cluster.entry_by_name['entry-2'].node.desk
        for item in submission.items:
            assert await desk.read_item('job-1', item.id) == item.body
        assert await desk.read_item('job-1', 'nobody') is None

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize('how', ['kill', 'hand-over'])
def test_long_text_goes_on_under_a_new_owner(how):
    async def scenario(cluster):
        submission = entrybuilders.make_submission(groups=1, size=1)
        item_id = submission.items[0].id
        cluster.pool.events_by_item[item_id] = 140
        await cluster.submit('entry-0', submission)
        await asyncio.sleep(3)
        stored = cluster.entry_by_name['entry-0'].node.jobs.get('job-1')
        owner = stored.record.owner_name
        if how == 'kill':
            cluster.kill(owner)
        else:
            await cluster.entry_by_name[owner].node.keeper.stop()
        results = await cluster.read_all('job-1', 10)
        check_results(cluster, submission, results)
        events = [
            event
            for entry in cluster.entry_by_name.values()
            for event in entry.events
            if event['event'] == 'job-started' and event['job'] == 'job-1'
        ]
        assert [event['texts'] for event in events] == [0, 1]

    entrybuilders.run_cluster(scenario)


@pytest.mark.parametrize(('min_version', 'runs'), [(1, 0), (2, 1)])
def test_text_of_a_group_that_comes_again_is_used_if_it_fits(
    min_version, runs
):
    async def scenario(cluster):
        first = entrybuilders.make_submission(groups=1, size=1)
        await cluster.submit('entry-0', first)
        assert len(await cluster.read_all('job-1', 10)) == 1
        cluster.set_target_version(entrybuilders.MODEL, 2)
        await asyncio.sleep(4)
        again = dataclasses.replace(first, id='job-2', min_version=min_version)
        item_id = first.items[0].id
        before = count_runs(cluster, item_id)
        await cluster.submit('entry-1', again)
        results = await cluster.read_all('job-2', 10)
        check_results(cluster, again, results)
        assert min(results[0].versions) >= min_version
        assert count_runs(cluster, item_id) - before == runs

    entrybuilders.run_cluster(scenario)


def count_runs(cluster, item_id):
    return sum(
        one.ran.count(item_id) for one in cluster.pool.endpoint_by_id.values()
    )


def test_each_item_that_its_reward_call_ends_is_told():
    async def scenario(cluster):
        for one in cluster.pool.endpoint_by_id.values():
            if one.service == 'desk':
                one.error_share = 1.0
                one.error_status = 422
        submission = entrybuilders.make_submission(groups=2)
        await cluster.submit('entry-0', submission)
        results = await cluster.read_all('job-1', 10)
        assert not any(one.completed for one in results)
        told = {
            event['id']
            for entry in cluster.entry_by_name.values()
            for event in entry.events
            if event['event'] == 'item-terminated'
        }
        assert told == {item.id for item in submission.items}

    entrybuilders.run_cluster(scenario)
