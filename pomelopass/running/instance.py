"""Build a whole instance from settings and ports."""

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
    given: settings.Settings, given_ports: ports.Ports, token: str
) -> contexts.Context:
    """Return an instance that has not started; nothing else is kept."""
    number = given_ports.rng.getrandbits(40)
    incarnation = f'{given.id}.{number:010x}'
    context = contexts.Context(
        settings=given,
        ports=given_ports,
        incarnation=incarnation,
        log=recentevents.RecentEvents(incarnation),
        claims=claimbook.ClaimBook(incarnation),
        metrics=metrics.Metrics(given.id),
        operator_token=token,
    )
    context.addresses.callers = given.caller_address
    context.addresses.peers = given.peer_address
    context.addresses.operators = given.operator_address

    return context


def start(context: contexts.Context) -> None:
    """Start the periodic work of an instance."""
    contexts.record_event(context, 'instance-started', 'instance', '')
    loops.start_loops(context)


async def stop(context: contexts.Context) -> None:
    """Stop without cutting a request, within the configured limit."""
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
