"""Show operators the state and the events of an instance."""

import dataclasses
import re
from urllib import parse

from .. import message
from ..core import health
from ..core import lease
from ..core import membership
from ..core import peers
from ..core import recentevents
from . import entries
from ..reporting import problemdetails
from ..running import context as contexts

__all__ = ['ROUTES']


async def serve_status(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return the state of the instance, its peers and its endpoints."""
    now_ms = context.ports.clock.now_ms()
    live_peers = peers.find_live(context.peers, now_ms)
    body = {
        'instance': context.settings.id,
        'incarnation': context.incarnation,
        'availability_zone': context.settings.availability_zone,
        'phase': context.stopping.phase.value,
        'config_version': entries.get_own_view(context).config_version,
        'requests_in_flight': context.work_in_flight,
        'duties': [
            name
            for name, state in sorted(context.duties.lease_by_name.items())
            if lease.may_act(state, now_ms)
        ],
        'peers': [_make_peer(view) for view in live_peers],
        'endpoints': [
            _make_endpoint(context, key)
            for key in sorted(context.membership.by_key)
        ],
        'quarantined': sorted(context.quarantine.by_fingerprint),
    }
    return problemdetails.make_json_reply(body)


async def serve_timeline(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return the recent events of this process."""
    events = [dataclasses.asdict(event) for event in context.log.events]
    return problemdetails.make_json_reply({'events': events})


async def serve_explain(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return the events of one request, sample or batch."""
    subject = parse.unquote(match['subject'])
    subject_events = recentevents.find_by_subject(context.log, subject)
    events = [dataclasses.asdict(event) for event in subject_events]
    return problemdetails.make_json_reply({'events': events})


def _make_peer(view: peers.EntryView) -> dict[str, object]:
    return {
        'incarnation': view.incarnation,
        'operator_address': view.operator_address,
        'caller_address': view.caller_address,
        'availability_zone': view.availability_zone,
        'accepting': view.accepting,
        'config_version': view.config_version,
    }


def _make_endpoint(context: contexts.Context, key: str) -> dict[str, object]:
    endpoint = context.membership.by_key[key]
    now_ms = context.ports.clock.now_ms()
    state = health.EndpointHealth()
    pool_state = context.pool_by_name.get(endpoint.pool)
    if pool_state is not None:
        state = pool_state.health_by_key.get(key, state)
    return {
        'key': key,
        'pool': endpoint.pool,
        'address': endpoint.address,
        'availability_zone': endpoint.availability_zone,
        'leaving': membership.is_leaving(context.membership, key),
        'ejected': state.ejected_until_ms > now_ms,
        'in_flight': state.in_flight,
        'versions': context.duties.loaded_by_endpoint.get(key, {}),
    }


ROUTES = (
    (('GET',), r'/status', serve_status),
    (('GET',), r'/timeline', serve_timeline),
    (('GET',), r'/explain/(?P<subject>.+)', serve_explain),
)
