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

CONFIG_INTERVAL_MS = 1000
LISTING_INTERVAL_MS = 1000
GOSSIP_INTERVAL_MS = 500
POLL_INTERVAL_MS = 1000
PUMP_INTERVAL_MS = 250
EXPIRE_INTERVAL_MS = 10_000
MAX_POLLED_PER_POOL = 16


def start_loops(context: contexts.Context) -> None:
    """Start each loop as a task of the instance."""
    steps = (
        (watch_configuration, CONFIG_INTERVAL_MS),
        (watch_listing, LISTING_INTERVAL_MS),
        (gossip.exchange_some, GOSSIP_INTERVAL_MS),
        (poll_endpoints, POLL_INTERVAL_MS),
        (pump_pools, PUMP_INTERVAL_MS),
        (expire, EXPIRE_INTERVAL_MS),
        (duty.keep_leases, duty.LEASE_CHECK_INTERVAL_MS),
    )
    for step, interval_ms in steps:
        contexts.spawn(context, _repeat(context, step, interval_ms))


async def watch_configuration(context: contexts.Context) -> None:
    """Adopt the newest configuration if it is not in force yet."""
    try:
        await configadoption.adopt_newest(context)
    except work.Refused as refused:
        contexts.record_event(
            context, 'config-unavailable', 'config', refused.reason.detail
        )


async def watch_listing(context: contexts.Context) -> None:
    """Apply the platform's list of instances and endpoints."""
    listing = await context.ports.fetch_listing()
    if listing is None:
        return
    now_ms = context.ports.clock.now_ms()
    context.entries = listing.entries
    newly_leaving = membership.apply_list(
        context.membership, listing.number, list(listing.endpoints), now_ms
    )
    for key in newly_leaving:
        contexts.record_event(
            context, 'endpoint-leaving', key, 'reported by the platform'
        )
        gossip.share_leaving(context, key)
    _remove_unlisted(context)


async def poll_endpoints(context: contexts.Context) -> None:
    """Poll the state of a bounded number of endpoints per pool."""
    if context.configuration is None:
        return
    polled_endpoints = []
    for pool in context.configuration.pools:
        usable = membership.find_usable(context.membership, pool)
        by_key = {target.key: target for target in usable}
        ranked = rendezvous.rank(context.settings.id, list(by_key))
        polled_endpoints.extend(
            by_key[key] for key in ranked[:MAX_POLLED_PER_POOL]
        )
    await asyncio.gather(
        *(poll_endpoint(context, target) for target in polled_endpoints)
    )


async def poll_endpoint(
    context: contexts.Context, target: membership.endpoint.Endpoint
) -> None:
    """Record the versions, load and leaving that an endpoint reports."""
    value = await endpointstate.fetch(context, target)
    if value is None:
        return
    now_ms = context.ports.clock.now_ms()
    state = contexts.get_pool_state(context, target.pool)
    endpoint_health = state.health_by_key.setdefault(
        target.key, health.EndpointHealth()
    )
    age_ms = float(value.get('load_age_ms', 0))
    health.record_report(
        endpoint_health, float(value.get('load', 0)), now_ms - age_ms
    )
    context.duties.loaded_by_endpoint[target.key] = value.get('versions', {})
    if not value.get('leaving'):
        return
    if membership.mark_leaving(context.membership, target.key, now_ms):
        contexts.record_event(
            context, 'endpoint-leaving', target.key, 'reported by the endpoint'
        )
        gossip.share_leaving(context, target.key)


async def pump_pools(context: contexts.Context) -> None:
    """Eject slow endpoints and assign slots where only time has passed."""
    for state in context.pool_by_name.values():
        slots.review(context, state)
        slots.assign_slots(context, state)


async def expire(context: contexts.Context) -> None:
    """Remove expired claims, quarantine entries and peers."""
    now_ms = context.ports.clock.now_ms()
    claims.expire(context.claims, now_ms)
    quarantine.expire(context.quarantine, now_ms)
    contexts.forget_silent_peers(context)


async def _repeat(
    context: contexts.Context,
    step: abc.Callable[[contexts.Context], abc.Awaitable[None]],
    interval_ms: float,
) -> None:
    while True:
        try:
            await step(context)
        except Exception as error:
            # An error in one round is logged and must not end the loop.
            detail = f'{step.__name__}: {error!r}'
            contexts.record_event(context, 'loop-failed', 'instance', detail)
        await _pause(context, step, interval_ms)


async def _pause(
    context: contexts.Context, step: abc.Callable, interval_ms: float
) -> None:
    jittered_ms = interval_ms * (0.9 + 0.2 * context.ports.rng.random())
    if step is not watch_configuration:
        await context.ports.clock.sleep(jittered_ms)
        return
    try:
        async with asyncio.timeout(jittered_ms / 1000):
            await context.wake_config.wait()
    except TimeoutError:
        pass
    context.wake_config.clear()


def _remove_unlisted(context: contexts.Context) -> None:
    listed = context.membership.by_key
    for state in context.pool_by_name.values():
        for key in list(state.health_by_key):
            if key not in listed and not state.health_by_key[key].in_flight:
                del state.health_by_key[key]
    for key in list(context.duties.loaded_by_endpoint):
        if key not in listed:
            del context.duties.loaded_by_endpoint[key]
