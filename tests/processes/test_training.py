"""Prove batches and weights with real processes."""

import concurrent.futures

import pytest

from scripts import probe
from tests.processes import fleets


@pytest.mark.parametrize('how', ['kill', 'freeze'])
def test_batch_survives_the_loss_of_its_holder(running, how):
    holder = fleets.find_holder(running)
    other = next(
        one for one in running.get_entries() if one.name != holder.name
    )
    for name in ('part-engines-0', 'part-engines-1'):
        running.set_faults(name, slow_factor=8)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        asked = pool.submit(fleets.ask_until_there, other, 1)
        probe.wait_for(lambda: fleets.has_run(running))
        getattr(running, how)(holder.name)
        batch = asked.result()
    if how == 'freeze':
        running.thaw(holder.name)
        probe.wait_for(lambda: fleets.get_status(holder) != {})
        assert fleets.ask_until_there(holder, 1) == batch
    assert fleets.ask_until_there(other, 1) == batch
    ids = [one['id'] for group in batch['groups'] for one in group['samples']]
    assert len(ids) == len(set(ids)) == 12


def test_new_weights_reach_every_engine_and_the_next_batch(running):
    first, second = running.get_entries()[:2]
    assert fleets.ask_until_there(first, 1)['published_version'] == 1
    value = {'version': 2, 'object': 'w2'}
    target = f'{fleets.TRAINER}/weights'
    running.set_faults('part-engines-0', swap_lose_answer=1)
    running.set_faults('part-engines-1', swap_fail=1)
    assert probe.call(second.address, 'POST', target, value)[0] == 200
    assert probe.call(first.address, 'POST', target, value)[0] == 200
    for name in ('part-engines-0', 'part-engines-1'):
        address = running.process_by_name[name].address
        probe.wait_for(
            lambda address=address: (
                probe.call(address, 'GET', '/state')[1]['versions']
                == {'part-matcher': 2}
            )
        )
    batch = fleets.ask_until_there(second, 2)
    assert batch['published_version'] == 2
    versions = {
        version
        for group in batch['groups']
        for one in group['samples']
        for version in one['weight_versions']
    }
    assert versions <= {1, 2}
