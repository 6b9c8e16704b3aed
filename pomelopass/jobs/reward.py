"""Score the text of an item by its reward call."""

import asyncio

from . import itemcontext
from . import job as jobs
from ..requests import call as calls
from ..requests import routes

__all__ = ['score_item']

REWARD_PAUSE_MS = 150.0
UNPROCESSABLE_STATUS = 422


async def score_item(
    context: itemcontext.ItemContext, run: itemcontext.ItemRun
) -> jobs.Result:
    """Return the result of a whole text once its reward call is answered."""
    reward = run.item.reward
    text = '\n'.join(run.progress.texts)
    versions = tuple(run.progress.versions)
    if reward is None:
        return jobs.Result(run.item.id, True, text, versions)
    errors = 0
    while True:
        configuration = context.get_configuration()
        route = None
        if configuration is not None:
            route = routes.find_route(configuration, reward.host, reward.path)
        if route is None:
            await asyncio.sleep(REWARD_PAUSE_MS / 1000)
            continue
        call = calls.Call(
            reward.id, reward.host, 'POST', reward.path, (), reward.body, None
        )
        async with context.gate.enter(route.shares[0].service):
            outcome = await context.forwarder.forward(call, route)
        if outcome.signature is not None and 200 <= outcome.status < 300:
            score = outcome.signature
            return jobs.Result(run.item.id, True, text, versions, score)
        errors += outcome.errors
        if errors >= route.max_attempts or outcome.status == (
            UNPROCESSABLE_STATUS
        ):
            return jobs.Result(run.item.id, completed=False)
        pause = 0.5 + context.rng.random()
        await asyncio.sleep(REWARD_PAUSE_MS / 1000 * pause)
