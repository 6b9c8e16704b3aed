"""Test the order in which items get engines."""

import asyncio

from pomelopass.jobs import job as jobs
from pomelopass.jobs import schedule
from pomelopass.registry import endpoint
from pomelopass.registry import registry as registries
from standins import virtualloop

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


async def replay(lengths: list[int], hinted: bool) -> float:
    """Return the seconds until all items of a batch have run."""
    scheduler = schedule.Scheduler(make_registry(2, 4))
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def run(number: int, length: int) -> None:
        item = jobs.Item(
            f'i{number}',
            '/',
            (),
            b'',
            'g',
            'm',
            expected_length=length if hinted else 0.0,
        )
        waiting = schedule.Waiting(
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
        state = await scheduler.acquire(waiting)
        await asyncio.sleep(length * RUN_S_PER_TOKEN)
        scheduler.release(state)

    await asyncio.gather(
        *(run(number, one) for number, one in enumerate(lengths))
    )
    return loop.time() - began


def test_long_items_first_end_a_batch_sooner():
    lengths = [600] * 20 + [4000, 3500]

    async def scenario():
        first_come = await replay(lengths, hinted=False)
        longest_first = await replay(lengths, hinted=True)
        assert round(longest_first, 3) == 4.0
        assert round(first_come, 3) == 5.2

    virtualloop.run(scenario())


def test_cancelled_item_gives_its_place_back():
    async def scenario():
        registry = make_registry(1, 1)
        scheduler = schedule.Scheduler(registry)
        loop = asyncio.get_running_loop()

        def make() -> schedule.Waiting:
            item = jobs.Item('i', '/', (), b'', 'g', 'm')
            return schedule.Waiting(
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

        state = await scheduler.acquire(make())
        second = asyncio.ensure_future(scheduler.acquire(make()))
        await asyncio.sleep(0.1)
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        scheduler.release(state)
        assert state.in_flight == 0
        assert not scheduler.waiting

    virtualloop.run(scenario())
