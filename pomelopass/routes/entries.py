"""List the instances that accept requests of callers."""

import re
from urllib import parse

from .. import message
from ..core import peers
from ..core import stopping
from ..reporting import problemdetails
from ..running import context as contexts

__all__ = ['ROUTES', 'get_own_view']

MAX_ENTRIES = 8


async def serve_entries(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """List accepting instances, those of the caller's zone first."""
    query = parse.parse_qs(request.target.partition('?')[2])
    zone = query.get('zone', [context.settings.availability_zone])[0]
    now_ms = context.ports.clock.now_ms()
    views = peers.find_live(context.peers, now_ms)
    views.append(get_own_view(context))
    listed_views = peers.find_entries(views, zone, MAX_ENTRIES)
    body = {
        'entries': [
            {
                'address': view.caller_address,
                'availability_zone': view.availability_zone,
            }
            for view in listed_views
        ],
        'ttl_ms': stopping.ENTRIES_TTL_MS,
    }
    return problemdetails.make_json_reply(body)


def get_own_view(context: contexts.Context) -> peers.EntryView:
    """Return the view of this instance that its peers receive."""
    head = context.adoption.head
    running = context.stopping.phase == stopping.Phase.RUNNING
    return peers.EntryView(
        incarnation=context.incarnation,
        caller_address=context.addresses.callers,
        peer_address=context.addresses.peers,
        operator_address=context.addresses.operators,
        availability_zone=context.settings.availability_zone,
        accepting=running and context.configuration is not None,
        stopping=not running,
        config_version=head.version if head else 0,
        heard_at_ms=context.ports.clock.now_ms(),
    )


ROUTES = ((('GET',), r'/entries', serve_entries),)
