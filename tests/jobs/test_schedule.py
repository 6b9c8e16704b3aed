"""Test the assignment of items to engines."""

import asyncio

from pomelopass.jobs import job as jobs
from pomelopass.jobs import schedule
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
