"""Ask an endpoint for its own state."""

import json
from typing import Any

from .. import message
from ..core import endpoint
from ..running import context as contexts

__all__ = ['fetch', 'fetch_any']

TIMEOUT_MS = 800
MAX_STATE_BYTES = 65_536


async def fetch(
    context: contexts.Context, one: endpoint.Endpoint
) -> dict[str, Any] | None:
    """Return the state, or None without one of this incarnation."""
    value = await fetch_any(context, one)
    if value is None or value.get('incarnation') != one.incarnation:
        return None
    return value


async def fetch_any(
    context: contexts.Context, one: endpoint.Endpoint
) -> dict[str, Any] | None:
    """Return the state of whatever process listens there, or None."""
    request = message.Request('GET', '/state')
    try:
        reply = await context.ports.http.open(one.address, request, TIMEOUT_MS)
        value = json.loads(await reply.read(MAX_STATE_BYTES))
    except (message.ExchangeError, ValueError):
        return None
    return value if isinstance(value, dict) else None
