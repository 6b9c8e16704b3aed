"""Show that two batch jobs write into the text of one carried item."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import engines  # noqa: E402
import fleet as fleets  # noqa: E402
import store as stores  # noqa: E402
import trainer as trainers  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MACHINES = ('m1', 'm2', 'm3')
LONG_GROUP = 'long'
LONG_EVENTS = 149
SHORT_EVENTS = 20
PACE_S = 0.06
GROUPS = 6
GROUP_SIZE = 4
DEADLINE_S = 7.5
STEP_S = 4.0
TRAINING_S = 0.5


def is_long(item_id):
    """Return whether an item has a long text."""
    return item_id.startswith(LONG_GROUP)


def count_events(item_id):
    """Return the length of an item's text."""
    return LONG_EVENTS if is_long(item_id) else SHORT_EVENTS


def make_step(job_id):
    """Return the items of a step; the carried group comes first."""
    items = trainers.make_items(job_id, LONG_GROUP, 2)
    for number in range(GROUPS):
        items += trainers.make_items(job_id, f'{job_id}g{number}', GROUP_SIZE)
    return items


def count_done_groups(results):
    """Return how many groups have all their items listed."""
    count_by_group = {}
    for result in results:
        group = result['id'].rpartition('i')[0]
        count_by_group[group] = count_by_group.get(group, 0) + 1
    return sum(
        count >= (2 if is_long(group) else GROUP_SIZE)
        for group, count in count_by_group.items()
    )


def find_owner(fleet, job_id):
    """Return the machine that runs a batch job, by the row it wrote."""
    for row in fleet.store.get_rows('jobs'):
        if row['key'] == job_id:
            return stores.decode(row)['owner_name']
    raise KeyError(job_id)


def silence_links(fleet, machine):
    """Let half of a machine's connections to the store go silent for good.

    The one with the open poll for changes of the jobs is among them.
    """
    links = sorted(
        fleet.store.server_by_machine[machine].links,
        key=lambda link: 'table=jobs&' not in link.pending,
    )
    chosen = links[: len(links) // 2]
    for link in chosen:
        link.silent = True
    fleet.record(
        'silent',
        machine=machine,
        links=len(chosen),
        of=len(links),
        polls=[link.pending for link in chosen if link.pending],
    )


async def main(fleet):
    """Run three steps of a trainer; return what was broken."""
    for number in range(4):
        engine = await fleet.add_endpoint(f'e{number}', 'llm', {'m0': 1})
        engine.count_events = count_events
        engine.pace_s = lambda item_id: PACE_S
    for number in range(2):
        await fleet.add_endpoint(f's{number}', 'app')
    configuration = fleets.make_configuration()
    configuration['routes'][0]['single_version'] = True
    fleet.store.put('op', 'config', configuration)
    await fleet.start_machines(MACHINES)
    await asyncio.sleep(3)
    trainer = trainers.Trainer(fleet)
    loop = asyncio.get_running_loop()

    # Step 1 ends as soon as its short groups are there.
    began_at = loop.time()
    await trainer.submit('m1', 'aaaa01', 1, 1, GROUPS, make_step('aaaa01'))
    await trainer.collect(
        'm2',
        'aaaa01',
        lambda results: count_done_groups(results) >= GROUPS,
        DEADLINE_S,
    )
    await trainer.end('m2', 'aaaa01')
    await asyncio.sleep(TRAINING_S)
    trainer.name_version(2)
    await asyncio.sleep(max(began_at + STEP_S - loop.time(), 0))

    # Step 2 waits for the carried group until its deadline.
    await trainer.submit('m1', 'aaaa02', 2, 1, GROUPS, make_step('aaaa02'))
    owner = find_owner(fleet, 'aaaa02')
    other = next(name for name in MACHINES if name != owner)
    await trainer.collect(
        other,
        'aaaa02',
        lambda results: count_done_groups(results) > GROUPS,
        DEADLINE_S,
    )
    if TROUBLE:
        silence_links(fleet, owner)
    await trainer.end(other, 'aaaa02')
    await asyncio.sleep(TRAINING_S)
    trainer.name_version(3)

    # Step 3 reaches the machine that still runs step 2.
    await trainer.submit(owner, 'aaaa03', 3, 2, GROUPS, make_step('aaaa03'))
    results = await trainer.collect(
        other,
        'aaaa03',
        lambda results: len(results) >= GROUPS * GROUP_SIZE + 2,
        20.0,
    )
    return find_broken(results)


def find_broken(results):
    """Return the completed results whose text is not the whole output."""
    broken = []
    for result in results:
        expected = engines.make_text(result['id'], count_events(result['id']))
        if result['state'] == 'completed' and result['text'] != expected:
            broken.append(describe(result))
    return broken


def describe(result):
    """Return what is wrong with a text."""
    lines = result['text'].split('\n')
    numbers = [int(line.rpartition('/')[2]) for line in lines]
    twice = sorted({n for n in numbers if numbers.count(n) > 1})
    missing = sorted(
        set(range(1, count_events(result['id']) + 1)) - {*numbers}
    )
    return (
        f'{result["id"]}: completed with {len(numbers)} events of '
        f'{count_events(result["id"])}; twice: {twice}; missing: {missing}'
    )


fleets.run_case(main, HERE / 'record.txt')
