"""Exchange digests with peers and apply the items in them."""

import asyncio

from . import context as contexts
from ..core import claimbook
from ..core import claims
from ..core import gossip
from ..core import membership
from ..core import peers
from ..core import quarantine
from ..core import recentevents
from ..routes import entries
from ..wire.gen.peer import ttypes

__all__ = [
    'PeerHandler',
    'exchange_some',
    'find_partners',
    'notify_peers',
    'share_leaving',
]

LEAVING_KIND = 'leaving'
CRASH_KIND = 'crash'
ASK_KIND = 'ask'
BATCH_KIND = 'batch'
ANNOUNCE_TTL_MS = 5000
LEAVING_TTL_MS = 600_000
MAX_NEWS_PER_DIGEST = 256
PARTNERS_PER_ROUND = 2


class PeerHandler:
    """Answer calls of peers from the state of the instance."""

    def __init__(self, context: contexts.Context):
        self.context = context

    def exchange(self, digest: ttypes.Digest) -> ttypes.Digest:
        """Apply the digest of a peer and return the one of this instance."""
        apply_digest(self.context, digest)
        return make_digest(self.context, digest.incarnation)[0]

    def ask_claim(self, key: str, fingerprint: str) -> ttypes.ClaimAnswer:
        """Return the progress of the request with an idempotency key."""
        now_ms = self.context.ports.clock.now_ms()
        claim = claims.answer_peer(
            self.context.claims, key, fingerprint, now_ms
        )
        return _make_answer(claim, fingerprint)


def find_partners(context: contexts.Context) -> list[str]:
    """Return the addresses of the peers to exchange with."""
    addresses_by_zone: dict[str, list[str]] = {}
    for entry in context.entries:
        if entry.peer_address == context.addresses.peers:
            continue
        zone = addresses_by_zone.setdefault(entry.availability_zone, [])
        zone.append(entry.peer_address)
    return peers.choose_partners(
        context.settings.id,
        context.settings.availability_zone,
        addresses_by_zone,
    )


async def notify_peers(context: contexts.Context) -> None:
    """Exchange digests with all partners concurrently; wait for all."""
    await asyncio.gather(
        *(_exchange(context, address) for address in find_partners(context))
    )


async def exchange_some(context: contexts.Context) -> None:
    """Exchange digests with the next few partners in turn.

    The traffic of an idle instance does not grow with its partners.
    """
    partners = find_partners(context)
    first = context.next_partner
    round_partners = [
        partners[(first + offset) % len(partners)]
        for offset in range(min(PARTNERS_PER_ROUND, len(partners)))
    ]
    context.next_partner = first + len(round_partners)
    await asyncio.gather(
        *(_exchange(context, address) for address in round_partners)
    )


def apply_digest(context: contexts.Context, digest: ttypes.Digest) -> None:
    """Update the state from the digest of a peer."""
    now_ms = context.ports.clock.now_ms()
    if digest.incarnation == context.incarnation:
        return
    view = peers.EntryView(
        digest.incarnation,
        digest.caller_address,
        digest.peer_address,
        digest.operator_address,
        digest.availability_zone,
        digest.accepting,
        digest.stopping,
        digest.config_version,
        now_ms,
    )
    peers.record_heard(context.peers, view)
    recentevents.advance_clock(context.log, digest.clock_ms)
    if digest.config_version > context.adoption.highest_seen:
        context.adoption.highest_seen = digest.config_version
        context.wake_config.set()
    for news_item in digest.news:
        _apply_news(context, news_item, now_ms)


def make_digest(
    context: contexts.Context, peer: str
) -> tuple[ttypes.Digest, int]:
    """Return the digest for a peer and the number of its last item."""
    now_ms = context.ports.clock.now_ms()
    number, items = gossip.get_since(context.gossip, peer, now_ms)
    view = entries.get_own_view(context)
    digest = ttypes.Digest(
        incarnation=view.incarnation,
        caller_address=view.caller_address,
        peer_address=view.peer_address,
        operator_address=view.operator_address,
        availability_zone=view.availability_zone,
        accepting=view.accepting,
        stopping=view.stopping,
        config_version=view.config_version,
        news=[
            ttypes.News(
                item.kind,
                item.key,
                item.value,
                int(item.expires_at_ms - now_ms),
            )
            for item in items[-MAX_NEWS_PER_DIGEST:]
        ],
        clock_ms=int(context.ports.clock.utc_ms()),
    )
    return digest, number


def share_leaving(context: contexts.Context, key: str) -> None:
    """Notify peers that an endpoint is leaving."""
    contexts.share_item(context, LEAVING_KIND, key, '1', LEAVING_TTL_MS)
    contexts.spawn(context, notify_peers(context))


async def announce(context: contexts.Context, kind: str, subject: str) -> None:
    """Wake tasks that wait for a step, here and on partners."""
    contexts.share_item(context, kind, subject, '1', ANNOUNCE_TTL_MS)
    context.duties.wake_batches.send()
    await notify_peers(context)


async def _exchange(context: contexts.Context, address: str) -> None:
    digest, number = make_digest(context, address)
    reply = await context.ports.peers.exchange(address, digest)
    if reply is None:
        gossip.forget_peer(context.gossip, address)
        return
    gossip.record_sent(context.gossip, address, number)
    apply_digest(context, reply)


def _apply_news(
    context: contexts.Context, news_item: ttypes.News, now_ms: float
) -> None:
    if not contexts.share_item(
        context,
        news_item.kind,
        news_item.key,
        news_item.value,
        news_item.ttl_ms,
    ):
        return
    if news_item.kind == LEAVING_KIND:
        if membership.mark_leaving(context.membership, news_item.key, now_ms):
            contexts.record_event(
                context,
                'endpoint-leaving',
                news_item.key,
                'reported by a peer',
            )
    elif news_item.kind in (ASK_KIND, BATCH_KIND):
        context.duties.wake_batches.send()
    elif news_item.kind == CRASH_KIND and news_item.value.isdecimal():
        quarantine.record_suspect(
            context.quarantine,
            news_item.key,
            int(news_item.value),
            news_item.ttl_ms,
            now_ms,
        )


def _make_answer(
    claim: claimbook.Claim, fingerprint: str
) -> ttypes.ClaimAnswer:
    if claim.fingerprint != fingerprint:
        return ttypes.ClaimAnswer(ttypes.ClaimState.KEY_REUSED)
    if claim.phase == claimbook.Phase.DONE:
        reply = ttypes.RecordedReply(
            claim.reply.status,
            [
                ttypes.Header(name, value)
                for name, value in claim.reply.headers
            ],
            claim.reply.body,
        )
        return ttypes.ClaimAnswer(ttypes.ClaimState.DONE, reply)
    if claim.phase == claimbook.Phase.RELEASED:
        return ttypes.ClaimAnswer(ttypes.ClaimState.NEVER_DISPATCHED)
    return ttypes.ClaimAnswer(ttypes.ClaimState.IN_PROGRESS)
