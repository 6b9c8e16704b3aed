"""Bring published weights to every engine of a pool."""

import asyncio
import json

from returns import result

from .. import message
from ..callers import endpointstate
from ..core import lease
from ..core import membership
from ..core import rollout
from ..running import context as contexts
from ..training import published

__all__ = ['run']

STEP_EVERY_MS = 400
ORDER_TIMEOUT_MS = 2000
MAX_REPLY_BYTES = 65_536


async def run(context: contexts.Context, name: str, pool_name: str) -> None:
    """Order weights until every engine reports the target, for ever."""
    pool = context.configuration.pools[pool_name]
    state = rollout.RolloutState(pool.max_concurrent_loads)
    behind: list[str] = []
    while True:
        await _look(context, state, pool_name)
        now_ms = context.ports.clock.now_ms()
        for order in rollout.plan(state, now_ms):
            contexts.spawn(context, _send(context, name, state, order))
        still = rollout.find_outdated(state)
        if behind and not still:
            contexts.record_event(context, 'weights-everywhere', pool_name, '')
        behind = still
        await context.ports.clock.sleep(STEP_EVERY_MS)


async def _look(
    context: contexts.Context, state: rollout.RolloutState, pool_name: str
) -> None:
    for target in _get_configured(context, pool_name):
        rollout.set_target(state, target)
    for name, trainer in context.configuration.trainers.items():
        if trainer.pool != pool_name:
            continue
        found = await published.fetch(context, name)
        if isinstance(found, result.Success):
            rollout.set_target(state, found.unwrap().target)
    usable = membership.find_usable(context.membership, pool_name)
    rollout.set_engines(state, {one.key: one.address for one in usable})
    await asyncio.gather(*(_look_at(context, state, one) for one in usable))


def _get_configured(
    context: contexts.Context, pool_name: str
) -> list[rollout.Target]:
    models = context.configuration.pools[pool_name].models
    return [
        rollout.Target(one.model, one.number, one.object)
        for one in context.configuration.weight_versions.values()
        if one.model in models
    ]


async def _look_at(
    context: contexts.Context,
    state: rollout.RolloutState,
    one: membership.endpoint.Endpoint,
) -> None:
    value = await endpointstate.fetch(context, one)
    if value is not None:
        versions = value.get('versions', {})
        rollout.record_report(state, one.key, versions)
        context.duties.loaded_by_endpoint[one.key] = versions


async def _send(
    context: contexts.Context,
    name: str,
    state: rollout.RolloutState,
    order: rollout.Order,
) -> None:
    lease_state = context.duties.lease_by_name[name]
    now_ms = context.ports.clock.now_ms()
    if not lease.may_act(lease_state, now_ms):
        return
    target = order.target
    detail = f'{target.model} {target.version}'
    contexts.record_event(
        context, 'weights-ordered', order.endpoint_key, detail
    )
    body = {
        'model': target.model,
        'version': target.version,
        'object': target.object_key,
        'fence': lease_state.row.fence,
    }
    request = message.Request(
        'POST', '/orders/weights', (), json.dumps(body).encode()
    )
    try:
        reply = await context.ports.http.open(
            order.address, request, ORDER_TIMEOUT_MS
        )
        await reply.read(MAX_REPLY_BYTES)
    except message.ExchangeError as error:
        contexts.record_event(
            context, 'order-failed', order.endpoint_key, error.kind
        )
