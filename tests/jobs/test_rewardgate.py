"""Test the limit on concurrent reward calls."""

import asyncio

import pytest

from pomelopass.jobs import rewardgate
from standins import virtualloop


@pytest.mark.parametrize('slots', [1, 6, 24])
def test_burst_of_reward_calls_leaves_half_of_the_slots(slots):
    async def scenario():
        gate = rewardgate.RewardGate(lambda service: slots)
        max_running = 0
        running = 0

        async def call():
            nonlocal max_running, running
            async with gate.enter('scores'):
                running += 1
                max_running = max(max_running, running)
                await asyncio.sleep(0.2)
                running -= 1

        await asyncio.gather(*(call() for _ in range(40)))
        assert max_running == max(2, slots // 2)

    virtualloop.run(scenario())


def test_cancelled_calls_release_their_slots():
    async def scenario():
        gate = rewardgate.RewardGate(lambda service: 4)

        async def call():
            async with gate.enter('scores'):
                await asyncio.sleep(0.2)

        tasks = [asyncio.ensure_future(call()) for _ in range(10)]
        await asyncio.sleep(0.1)
        for task in tasks[:7]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert gate.running_by_service['scores'] == 0
        async with gate.enter('scores'):
            assert gate.running_by_service['scores'] == 1

    virtualloop.run(scenario())
