"""Build, start and stop an instance."""

from .. import duty
from .. import ports
from . import context as contexts
from ..core import claimbook
from ..core import recentevents
from ..core import stopping
from . import gossip
from . import loops
from ..reporting import metrics
from . import settings

__all__ = ['build_instance', 'start', 'stop']

STOP_POLL_MS = 50


def build_instance(
    instance_settings: settings.Settings,
    instance_ports: ports.Ports,
    token: str,
) -> contexts.Context:
    """Return the complete state of an instance that has not started."""
    number = instance_ports.rng.getrandbits(40)
    incarnation = f'{instance_settings.id}.{number:010x}'
    context = contexts.Context(
        settings=instance_settings,
        ports=instance_ports,
        incarnation=incarnation,
        log=recentevents.RecentEvents(incarnation),
        claims=claimbook.ClaimBook(incarnation),
        metrics=metrics.Metrics(instance_settings.id),
        operator_token=token,
    )
    context.addresses.callers = instance_settings.caller_address
    context.addresses.peers = instance_settings.peer_address
    context.addresses.operators = instance_settings.operator_address

    return context


def start(context: contexts.Context) -> None:
    """Start the periodic work of an instance."""
    contexts.record_event(context, 'instance-started', 'instance', '')
    loops.start_loops(context)


async def stop(context: contexts.Context) -> None:
    """Stop when all requests have ended or the limit has passed."""
    clock = context.ports.clock
    began_ms = clock.now_ms()
    stopping.begin(context.stopping, began_ms)
    contexts.record_event(context, 'instance-stopping', 'instance', '')
    await gossip.notify_peers(context)
    await duty.release_leases(context)
    limit_ms = context.settings.stop_limit_ms
    while clock.now_ms() - began_ms < limit_ms:
        phase = stopping.advance(
            context.stopping, context.work_in_flight, clock.now_ms()
        )
        if phase == stopping.Phase.STOPPED:
            break
        await clock.sleep(STOP_POLL_MS)
    contexts.record_event(context, 'instance-stopped', 'instance', '')
    for task in list(context.tasks):
        task.cancel()
