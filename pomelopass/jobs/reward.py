"""Score the text of an item with its reward call."""

import asyncio

from . import itemcontext
from . import job as jobs
from ..requests import call as calls
from ..requests import routes

__all__ = ['score_item']

RETRY_PAUSE_MS = 150.0


async def score_item(
    context: itemcontext.ItemContext, run: itemcontext.ItemRun
) -> jobs.Result | None:
    """Return the result of a complete text, or None if it can't be scored."""
    reward = run.item.reward
    text = '\n'.join(run.progress.texts)
    versions = tuple(run.progress.versions)
    if reward is None:
        return jobs.Result(run.item.id, True, text, versions)
    while True:
        configuration = context.get_configuration()
        route = None
        if configuration is not None:
            route = routes.find_route(configuration, reward.host, reward.path)
        if route is None:
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)
            continue
        call = calls.Call(
            reward.id, reward.host, 'POST', reward.path, (), reward.body, None
        )
        async with context.gate.enter(route.shares[0].service):
            # An item is never taken for one that crashes endpoints.
            outcome = await context.forwarder.forward(
                call, route, may_quarantine=False
            )
        if outcome.signature is not None and 200 <= outcome.status < 300:
            score = outcome.signature
            return jobs.Result(run.item.id, True, text, versions, score)
        run.errors += outcome.errors
        if outcome.status == calls.UNPROCESSABLE_STATUS:
            return None
        if run.errors >= route.max_attempts:
            return None
        jitter = 0.5 + context.rng.random()
        await asyncio.sleep(RETRY_PAUSE_MS / 1000 * jitter)
