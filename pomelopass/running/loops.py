"""Run the periodic work of an instance."""

import asyncio
from collections import abc

from .. import duty
from ..callers import endpointstate
from ..callers import slots
from ..callers import work
from ..configuring import configadoption
from . import context as contexts
from ..core import claims
from ..core import health
from ..core import membership
from ..core import quarantine
from ..core import rendezvous
from . import gossip

__all__ = ['start_loops']

CONFIG_EVERY_MS = 1000
LISTING_EVERY_MS = 1000
GOSSIP_EVERY_MS = 500
POLL_EVERY_MS = 1000
PUMP_EVERY_MS = 250
EXPIRE_EVERY_MS = 10_000
MAX_POLLED_PER_POOL = 16


def start_loops(context: contexts.Context) -> None:
    """Start every loop as a task of the instance."""
    steps = (
        (watch_configuration, CONFIG_EVERY_MS),
        (watch_listing, LISTING_EVERY_MS),
        (gossip.exchange_some, GOSSIP_EVERY_MS),
        (poll_endpoints, POLL_EVERY_MS),
        (pump_pools, PUMP_EVERY_MS),
        (expire, EXPIRE_EVERY_MS),
        (duty.keep_leases, duty.KEEP_EVERY_MS),
    )
    for step, every_ms in steps:
        contexts.spawn(context, _repeat(context, step, every_ms))


async def watch_configuration(context: contexts.Context) -> None:
    """Adopt a newer configuration when there is one."""
    try:
        await configadoption.adopt_newest(context)
    except work.Refused as refused:
        contexts.record_event(
            context, 'config-unavailable', 'config', refused.reason.detail
        )


async def watch_listing(context: contexts.Context) -> None:
    """Take in the platform's list of instances."""
    listing = await context.ports.fetch_listing()
    if listing is None:
        return
    now_ms = context.ports.clock.now_ms()
    context.entries = listing.entries
    fresh = membership.apply_list(
        context.membership, listing.number, list(listing.endpoints), now_ms
    )
    for key in fresh:
        contexts.record_event(context, 'endpoint-leaving', key, 'by the list')
        gossip.share_leaving(context, key)
    _forget_gone(context)


async def poll_endpoints(context: contexts.Context) -> None:
    """Ask a bounded number of endpoints for their state."""
    if context.configuration is None:
        return
    chosen = []
    for pool in context.configuration.pools:
        usable = membership.find_usable(context.membership, pool)
        by_key = {one.key: one for one in usable}
        ranked = rendezvous.rank(context.settings.id, list(by_key))
        chosen.extend(by_key[key] for key in ranked[:MAX_POLLED_PER_POOL])
    await asyncio.gather(*(poll_endpoint(context, one) for one in chosen))


async def poll_endpoint(
    context: contexts.Context, one: membership.endpoint.Endpoint
) -> None:
    """Learn versions, load and leaving from an endpoint itself."""
    value = await endpointstate.fetch(context, one)
    if value is None:
        return
    now_ms = context.ports.clock.now_ms()
    state = contexts.get_pool_state(context, one.pool)
    own = state.health_by_key.setdefault(one.key, health.EndpointHealth())
    age_ms = float(value.get('load_age_ms', 0))
    health.record_report(own, float(value.get('load', 0)), now_ms - age_ms)
    context.duties.loaded_by_endpoint[one.key] = value.get('versions', {})
    if not value.get('leaving'):
        return
    if membership.mark_leaving(context.membership, one.key, now_ms):
        contexts.record_event(
            context, 'endpoint-leaving', one.key, 'by itself'
        )
        gossip.share_leaving(context, one.key)


async def pump_pools(context: contexts.Context) -> None:
    """Review endpoints and move queues that only time moves."""
    for state in context.pool_by_name.values():
        slots.review(context, state)
        slots.assign_slots(context, state)


async def expire(context: contexts.Context) -> None:
    """Forget what is too old to matter."""
    now_ms = context.ports.clock.now_ms()
    claims.expire(context.claims, now_ms)
    quarantine.expire(context.quarantine, now_ms)
    contexts.forget_peers(context)


async def _repeat(
    context: contexts.Context,
    step: abc.Callable[[contexts.Context], abc.Awaitable[None]],
    every_ms: float,
) -> None:
    while True:
        try:
            await step(context)
        except Exception as error:
            # A fault in one round must not end the loop; it is reported.
            detail = f'{step.__name__}: {error!r}'
            contexts.record_event(context, 'loop-failed', 'instance', detail)
        await _pause(context, step, every_ms)


async def _pause(
    context: contexts.Context, step: abc.Callable, every_ms: float
) -> None:
    spread_ms = every_ms * (0.9 + 0.2 * context.ports.rng.random())
    if step is not watch_configuration:
        await context.ports.clock.sleep(spread_ms)
        return
    try:
        async with asyncio.timeout(spread_ms / 1000):
            await context.wake_config.wait()
    except TimeoutError:
        pass
    context.wake_config.clear()


def _forget_gone(context: contexts.Context) -> None:
    listed = context.membership.by_key
    for state in context.pool_by_name.values():
        for key in list(state.health_by_key):
            if key not in listed and not state.health_by_key[key].in_flight:
                del state.health_by_key[key]
    for key in list(context.duties.loaded_by_endpoint):
        if key not in listed:
            del context.duties.loaded_by_endpoint[key]
