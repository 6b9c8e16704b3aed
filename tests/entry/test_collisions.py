"""Replay trainers that ask for their steps at the same moment."""

import asyncio
import dataclasses

from standins import virtualloop
from tests.entry import test_jobs
from tests import entrybuilders

MODELS = ('matcher', 'drafter', 'planner')
# Share of the items that an engine may refuse, since another owner was there.
MAX_REFUSED_SHARE = 0.1


def make_step(model):
    built = entrybuilders.make_submission(f'job-{model}', groups=8, size=6)
    items = tuple(
        dataclasses.replace(item, model=model) for item in built.items
    )
    return dataclasses.replace(built, model=model, items=items)


def count_refused(cluster):
    return sum(
        event['event'] == 'item-run' and event['outcome'] == 'endpoint-refused'
        for entry in cluster.entry_by_name.values()
        for event in entry.events
    )


def test_owners_do_not_overbook_engines_when_their_batches_collide():
    async def scenario():
        cluster = entrybuilders.make_cluster(instances=6, engines=6)
        for one in cluster.pool.endpoint_by_id.values():
            if one.version_by_model:
                one.version_by_model.update(dict.fromkeys(MODELS, 1))
                cluster.pool.register(one)
        await asyncio.sleep(2)
        steps = [make_step(model) for model in MODELS]
        for number, step in enumerate(steps):
            await cluster.submit(f'entry-{number}', step)
        owners = {
            cluster.entry_by_name['entry-0'].node.keeper.choose_owner(step)[1]
            for step in steps
        }
        assert len(owners) > 1
        for step in steps:
            results = await cluster.read_all(step.id, 20)
            test_jobs.check_results(cluster, step, results)
        items = sum(len(step.items) for step in steps)
        assert count_refused(cluster) <= MAX_REFUSED_SHARE * items
        await cluster.stop()

    virtualloop.run(scenario())
