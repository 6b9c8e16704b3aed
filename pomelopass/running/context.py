"""Define the complete state of one instance."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from .. import policy
from .. import ports
from ..callers import poolstate
from . import claimwrites
from ..configuring import configuration
from ..core import admission
from ..core import adoption
from ..core import claimbook
from ..core import gossip
from ..core import membership
from ..core import peers
from ..core import quarantine
from ..core import recentevents
from ..core import stopping
from . import dutystate
from . import ownaddresses
from ..reporting import metrics
from . import settings

__all__ = ['Context', 'get_pool_state', 'record_event', 'share_item']


@dataclasses.dataclass(slots=True)
class Context:
    """Settings, ports and state; an instance has no state elsewhere."""

    settings: settings.Settings
    ports: ports.Ports
    incarnation: str
    log: recentevents.RecentEvents
    claims: claimbook.ClaimBook
    metrics: metrics.Metrics
    configuration: configuration.Configuration | None = None
    configuration_text: str = ''
    adoption: adoption.AdoptionState = dataclasses.field(
        default_factory=adoption.AdoptionState
    )
    membership: membership.MembershipState = dataclasses.field(
        default_factory=membership.MembershipState
    )
    entries: tuple[ports.EntryAddress, ...] = ()
    peers: peers.PeerState = dataclasses.field(default_factory=peers.PeerState)
    gossip: gossip.GossipState = dataclasses.field(
        default_factory=gossip.GossipState
    )
    quarantine: quarantine.QuarantineState = dataclasses.field(
        default_factory=quarantine.QuarantineState
    )
    stopping: stopping.StopState = dataclasses.field(
        default_factory=stopping.StopState
    )
    pool_by_name: dict[str, poolstate.PoolState] = dataclasses.field(
        default_factory=dict
    )
    duties: dutystate.DutyState = dataclasses.field(
        default_factory=dutystate.DutyState
    )
    claim_writes: list[claimwrites.ClaimWrite] = dataclasses.field(
        default_factory=list
    )
    work_in_flight: int = 0
    last_number: int = 0
    next_partner: int = 0
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)
    wake_config: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    addresses: ownaddresses.OwnAddresses = dataclasses.field(
        default_factory=ownaddresses.OwnAddresses
    )
    operator_token: str = ''


def make_id(context: Context) -> str:
    """Return an id that is unique across incarnations."""
    context.last_number += 1
    return f'{context.incarnation}-{context.last_number}'


def record_event(
    context: Context, kind: str, subject: str, detail: str
) -> None:
    """Add an event to the timeline and write it to the log."""
    event = recentevents.add(
        context.log, kind, subject, detail, context.ports.clock.utc_ms()
    )
    fields = {'subject': event.subject, 'detail': event.detail}
    context.ports.write_event(kind, fields)


def spawn(context: Context, coroutine) -> asyncio.Task:
    """Start a task and keep a reference to it until it ends."""
    task = asyncio.ensure_future(coroutine)
    context.tasks.add(task)
    task.add_done_callback(context.tasks.discard)
    return task


def share_item(
    context: Context, kind: str, key: str, value: str, ttl_ms: float
) -> bool:
    """Add an item to the next digests to peers; return whether it is new."""
    expires_at_ms = context.ports.clock.now_ms() + ttl_ms
    item = gossip.Item(kind, key, value, expires_at_ms)
    return gossip.add(context.gossip, item)


def get_pool_state(context: Context, name: str) -> poolstate.PoolState:
    """Return the state of a configured pool, created on first use."""
    state = context.pool_by_name.get(name)
    pool = context.configuration.pools[name]
    limits = admission.Limits(pool.queue_limit, 1, 1)
    if state is None:
        rng = random.Random(context.ports.rng.random())
        state = poolstate.PoolState(
            name,
            policy.get_policy_by_name(pool.policy, rng),
            admission.AdmissionState(limits),
        )
        context.pool_by_name[name] = state
    return state


def count_live_entries(context: Context) -> int:
    """Return the number of accepting instances sharing the endpoints."""
    now_ms = context.ports.clock.now_ms()
    live = peers.find_live(context.peers, now_ms)
    others = sum(1 for view in live if view.accepting)
    return others + 1


def forget_silent_peers(context: Context) -> None:
    """Remove instances that have not been heard from for a long time."""
    now_ms = context.ports.clock.now_ms()
    for incarnation in peers.forget_old(context.peers, now_ms):
        gossip.forget_peer(context.gossip, incarnation)
