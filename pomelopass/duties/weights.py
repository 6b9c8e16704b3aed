"""Roll out published weights to every engine of a pool."""

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

STEP_INTERVAL_MS = 400
ORDER_TIMEOUT_MS = 2000
MAX_REPLY_BYTES = 65_536


async def run(context: contexts.Context, name: str, pool_name: str) -> None:
    """Order weights on engines that lack the target, until cancelled."""
    pool = context.configuration.pools[pool_name]
    state = rollout.RolloutState(pool.max_concurrent_loads)
    outdated: list[str] = []
    while True:
        await _refresh(context, state, pool_name)
        now_ms = context.ports.clock.now_ms()
        for order in rollout.plan(state, now_ms):
            contexts.spawn(context, _send(context, name, state, order))
        still_outdated = rollout.find_outdated(state)
        if outdated and not still_outdated:
            contexts.record_event(context, 'weights-everywhere', pool_name, '')
        outdated = still_outdated
        await context.ports.clock.sleep(STEP_INTERVAL_MS)


async def _refresh(
    context: contexts.Context, state: rollout.RolloutState, pool_name: str
) -> None:
    for target in _get_configured(context, pool_name):
        rollout.set_target(state, target)
    for name, trainer in context.configuration.trainers.items():
        if trainer.pool != pool_name:
            continue
        publication_result = await published.fetch(context, name)
        if isinstance(publication_result, result.Success):
            rollout.set_target(state, publication_result.unwrap().target)
    usable = membership.find_usable(context.membership, pool_name)
    rollout.set_engines(
        state, {engine.key: engine.address for engine in usable}
    )
    await asyncio.gather(
        *(_refresh_engine(context, state, engine) for engine in usable)
    )


def _get_configured(
    context: contexts.Context, pool_name: str
) -> list[rollout.Target]:
    models = context.configuration.pools[pool_name].models
    return [
        rollout.Target(
            weight_version.model, weight_version.number, weight_version.object
        )
        for weight_version in context.configuration.weight_versions.values()
        if weight_version.model in models
    ]


async def _refresh_engine(
    context: contexts.Context,
    state: rollout.RolloutState,
    engine: membership.endpoint.Endpoint,
) -> None:
    value = await endpointstate.fetch(context, engine)
    if value is not None:
        versions = value.get('versions', {})
        rollout.record_report(state, engine.key, versions)
        context.duties.loaded_by_endpoint[engine.key] = versions


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
