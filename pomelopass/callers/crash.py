"""Detect endpoint crashes and quarantine requests that cause them."""

from .. import message
from ..core import ejection
from ..core import quarantine
from ..core import refusal
from ..core import verdict
from . import endpointstate
from ..running import context as contexts
from ..running import gossip
from . import work

__all__ = ['check_quarantine', 'handle_failure', 'record_success']

PROBE_TIMEOUT_MS = 400


def check_quarantine(context: contexts.Context, item: work.Work) -> None:
    """Raise Refused for a request that is quarantined."""
    now_ms = context.ports.clock.now_ms()
    reason = quarantine.check(context.quarantine, item.fingerprint, now_ms)
    if reason is not None:
        raise work.Refused(reason)


async def handle_failure(
    context: contexts.Context,
    item: work.Work,
    slot: work.Slot,
    error: message.ExchangeError,
) -> None:
    """Record a crash, if any; raise Refused if it quarantines the request."""
    if error.kind not in message.DISCONNECT_KINDS or error.bytes_written == 0:
        return
    if not await _has_crashed(context, slot):
        return
    key = slot.candidate.endpoint.key
    ejection.mark_unreachable(
        slot.candidate.health, context.ports.clock.now_ms()
    )
    now_ms = context.ports.clock.now_ms()
    decision = quarantine.record_crash(
        context.quarantine, item.fingerprint, now_ms
    )
    suspect = context.quarantine.by_fingerprint[item.fingerprint]
    contexts.record_event(context, 'endpoint-crashed', item.id, key)
    contexts.share_item(
        context,
        gossip.CRASH_KIND,
        item.fingerprint,
        str(suspect.crashes),
        suspect.expires_at_ms - now_ms,
    )
    await gossip.notify_peers(context)
    if decision == quarantine.Decision.QUARANTINED:
        contexts.record_event(
            context, 'quarantined', item.id, item.fingerprint
        )
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.QUARANTINED,
                'Endpoints crashed while they ran this request.',
                verdict.Verdict.MAY_HAVE_RUN,
                quarantine.QUARANTINE_MS,
            )
        )


def record_success(context: contexts.Context, item: work.Work) -> None:
    """Remove a request that succeeded from the crash suspects."""
    quarantine.record_survived(context.quarantine, item.fingerprint)


async def _has_crashed(context: contexts.Context, slot: work.Slot) -> bool:
    endpoint = slot.candidate.endpoint
    http = context.ports.http
    if await http.is_refused(endpoint.address, PROBE_TIMEOUT_MS):
        return True
    state = await endpointstate.fetch_any(context, endpoint)
    if state is None:
        return False
    return state.get('incarnation') != endpoint.incarnation
