"""Issue idempotency keys that need no write to the table service."""

import re

from .. import message
from ..core import issuedkey
from ..reporting import problemdetails
from ..running import context as contexts

__all__ = ['ROUTES']


async def serve_key(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return a new key that only this incarnation may execute."""
    context.last_number += 1
    key = issuedkey.make_issued_key(
        context.incarnation,
        context.last_number,
        context.ports.clock.now_ms(),
    )
    body = {
        'key': key,
        'address': context.addresses.callers,
        'lifetime_ms': issuedkey.LIFETIME_MS,
    }
    return problemdetails.make_json_reply(body, 201)


ROUTES = ((('POST',), r'/idempotency-keys', serve_key),)
