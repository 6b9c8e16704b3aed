"""Test the assignment of items to engines."""

import asyncio

from pomelopass.jobs import job as jobs
from pomelopass.jobs import schedule
from pomelopass.placement import placer as placers
from pomelopass.placement import runs
from pomelopass.registry import endpoint
from pomelopass.registry import registry as registries
from standins import virtualloop
from tests import entrybuilders

RUN_S_PER_TOKEN = 0.001


def make_registry(engines: int, slots: int) -> registries.Registry:
    registry = registries.Registry(lambda event: None)
    for number in range(engines):
        registry.put(
            endpoint.Endpoint(
                f'e{number}',
                'engines',
                '10.0.0.1:1',
                'north',
                slots,
                False,
                {'m': 1},
                1,
            )
        )
    return registry


async def run_batch(lengths: list[int], with_lengths: bool) -> float:
    """Return the seconds until all items of a batch have run."""
    scheduler = schedule.Scheduler(
        make_registry(2, 4), entrybuilders.make_permits()
    )
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    async def run(number: int, length: int) -> None:
        item = jobs.Item(
            f'i{number}',
            '/',
            (),
            b'',
            'g',
            'm',
            expected_length=length if with_lengths else 0.0,
        )
        waiting_item = schedule.WaitingItem(
            item,
            'm',
            'engines',
            1,
            0.0,
            lambda: 1,
            0,
            set(),
            loop.create_future(),
        )
        state = await scheduler.acquire(waiting_item)
        await asyncio.sleep(length * RUN_S_PER_TOKEN)
        scheduler.release(state)

    await asyncio.gather(
        *(run(number, length) for number, length in enumerate(lengths))
    )
    return loop.time() - started_at


def test_batch_finishes_sooner_with_long_items_first():
    lengths = [600] * 20 + [4000, 3500]

    async def scenario():
        unordered = await run_batch(lengths, with_lengths=False)
        longest_first = await run_batch(lengths, with_lengths=True)
        assert round(longest_first, 3) == 4.0
        assert round(unordered, 3) == 5.2

    virtualloop.run(scenario())


def test_cancelled_item_releases_its_slot():
    async def scenario():
        registry = make_registry(1, 1)
        scheduler = schedule.Scheduler(registry, entrybuilders.make_permits())
        loop = asyncio.get_running_loop()

        def make_waiting_item() -> schedule.WaitingItem:
            item = jobs.Item('i', '/', (), b'', 'g', 'm')
            return schedule.WaitingItem(
                item,
                'm',
                'engines',
                1,
                0.0,
                lambda: 1,
                0,
                set(),
                loop.create_future(),
            )

        state = await scheduler.acquire(make_waiting_item())
        second = asyncio.ensure_future(scheduler.acquire(make_waiting_item()))
        await asyncio.sleep(0.1)
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        scheduler.release(state)
        assert state.in_flight == 0
        assert not scheduler.waiting

    virtualloop.run(scenario())


def make_zone_scheduler(pace_ms_by_zone, price=1000.0):
    """Return a scheduler with an engine of one slot in each zone."""
    registry = registries.Registry(lambda event: None)
    loop = asyncio.get_running_loop()
    for zone, pace_ms in pace_ms_by_zone.items():
        registry.put(
            endpoint.Endpoint(
                *(zone, 'engines', f'{zone}:1', zone, 1, False, {'m': 1}, 1)
            )
        )
        state = registry.state_by_id[zone]
        endpoint.record_success(state, pace_ms, loop.time())
        endpoint.record_pace(state, runs.ITEM_KIND, pace_ms, loop.time())
    placer = placers.Placer('east', price)
    return schedule.Scheduler(registry, entrybuilders.make_permits(), placer)


def make_zone_item(body=b'') -> schedule.WaitingItem:
    return schedule.WaitingItem(
        jobs.Item('i', '/', (), body, 'g', 'm', expected_length=20.0),
        *('m', 'engines', 1, 0.0, lambda: 1, 0, set()),
        asyncio.get_running_loop().create_future(),
    )


def test_item_waits_for_its_zone_but_not_longer_than_leaving_costs():
    async def scenario():
        scheduler = make_zone_scheduler({'east': 20.0, 'west': 60.0})
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        first = await scheduler.acquire(make_zone_item())
        second = await scheduler.acquire(make_zone_item())
        assert first.endpoint.id == 'east'
        assert second.endpoint.id == 'west'
        # No slot became free meanwhile.
        assert 0.3 < loop.time() - started_at < 0.9
        assert not scheduler.waiting

    virtualloop.run(scenario())


def test_item_that_waits_gets_the_slot_that_its_zone_releases():
    async def scenario():
        scheduler = make_zone_scheduler({'east': 20.0, 'west': 60.0})
        first = await scheduler.acquire(make_zone_item())
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, scheduler.release, first)
        second = await scheduler.acquire(make_zone_item())
        assert second.endpoint.id == 'east'

    virtualloop.run(scenario())


def test_slow_run_moves_to_another_zone_only_if_that_pays():
    async def scenario():
        scheduler = make_zone_scheduler({'east': 90.0, 'west': 30.0})
        state = scheduler.registry.state_by_id['east']
        assert scheduler.should_move(state, make_zone_item())
        large = make_zone_item(b'x' * 5_000_000)
        assert not scheduler.should_move(state, large)
        # The text's prompt would have to be read again for 5 s.
        long_prompt = make_zone_item()
        long_prompt.prompt_ms = 5000.0
        assert not scheduler.should_move(state, long_prompt)

    virtualloop.run(scenario())


# A run was moved to an engine whose answers the item cannot use, since such
# an engine looks fast, until the item expired.
def test_run_is_not_moved_to_an_engine_that_its_item_avoids():
    async def scenario():
        scheduler = make_zone_scheduler({'east': 90.0, 'west': 30.0})
        state = scheduler.registry.state_by_id['east']
        waiting_item = make_zone_item()
        assert scheduler.should_move(state, waiting_item)
        waiting_item.avoid = {'west'}
        assert not scheduler.should_move(state, waiting_item)

    virtualloop.run(scenario())
