"""Test batches and weights with real processes."""

import concurrent.futures

import pytest

from scripts import probe
from tests.processes import fleets


@pytest.mark.parametrize('failure', ['kill', 'freeze'])
def test_batch_survives_the_loss_of_its_duty_holder(running_fleet, failure):
    holder = fleets.find_duty_holder(running_fleet)
    other_entry = next(
        entry
        for entry in running_fleet.get_entries()
        if entry.name != holder.name
    )
    for name in ('part-engines-0', 'part-engines-1'):
        running_fleet.set_faults(name, slow_factor=8)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        batch_future = pool.submit(fleets.wait_for_batch, other_entry, 1)
        probe.wait_for(lambda: fleets.has_started_sample(running_fleet))
        getattr(running_fleet, failure)(holder.name)
        batch = batch_future.result()
    if failure == 'freeze':
        running_fleet.thaw(holder.name)
        probe.wait_for(lambda: fleets.get_status(holder) != {})
        assert fleets.wait_for_batch(holder, 1) == batch
    assert fleets.wait_for_batch(other_entry, 1) == batch
    ids = [
        sample['id']
        for group in batch['groups']
        for sample in group['samples']
    ]
    assert len(ids) == len(set(ids)) == 12


def test_new_weights_reach_every_engine_and_the_next_batch(running_fleet):
    first, second = running_fleet.get_entries()[:2]
    assert fleets.wait_for_batch(first, 1)['published_version'] == 1
    value = {'version': 2, 'object': 'w2'}
    target = f'{fleets.TRAINER_TARGET}/weights'
    running_fleet.set_faults('part-engines-0', swap_lose_answer=1)
    running_fleet.set_faults('part-engines-1', swap_fail=1)
    assert probe.call(second.address, 'POST', target, value)[0] == 200
    assert probe.call(first.address, 'POST', target, value)[0] == 200
    for name in ('part-engines-0', 'part-engines-1'):
        address = running_fleet.process_by_name[name].address
        probe.wait_for(
            lambda address=address: (
                probe.call(address, 'GET', '/state')[1]['versions']
                == {'part-matcher': 2}
            )
        )
    batch = fleets.wait_for_batch(second, 2)
    assert batch['published_version'] == 2
    versions = {
        version
        for group in batch['groups']
        for sample in group['samples']
        for version in sample['weight_versions']
    }
    assert versions <= {1, 2}
