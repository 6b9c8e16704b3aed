"""Fetch the state that an endpoint reports."""

import json
from typing import Any

from .. import message
from ..core import endpoint
from ..running import context as contexts

__all__ = ['fetch', 'fetch_any']

TIMEOUT_MS = 800
MAX_STATE_BYTES = 65_536


async def fetch(
    context: contexts.Context, target: endpoint.Endpoint
) -> dict[str, Any] | None:
    """Return the state, or None if missing or of another incarnation."""
    value = await fetch_any(context, target)
    if value is None or value.get('incarnation') != target.incarnation:
        return None
    return value


async def fetch_any(
    context: contexts.Context, target: endpoint.Endpoint
) -> dict[str, Any] | None:
    """Return the state from any incarnation at the address, or None."""
    request = message.Request('GET', '/state')
    try:
        reply = await context.ports.http.open(
            target.address, request, TIMEOUT_MS
        )
        value = json.loads(await reply.read(MAX_STATE_BYTES))
    except (message.ExchangeError, ValueError):
        return None
    return value if isinstance(value, dict) else None
