"""Decode the heads of endpoints' answers."""

import math

from .. import decoding
from .. import message
from . import names
from ..registry import endpoint
from ..requests import call as calls

__all__ = ['decode_answer', 'says_leaving']

CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'transfer-encoding',
        'te',
        'trailer',
        'upgrade',
        'proxy-connection',
        names.ENDPOINT_LOAD,
    )
)
# This status means that nothing ran, even without the header.
MISDIRECTED_STATUS = 421


def decode_answer(reply: message.OpenReply) -> calls.Answer:
    """Return what the head of a reply says."""
    headers = reply.headers
    not_run = message.find_header(headers, names.NOT_RUN) is not None
    is_encoded = message.find_header(headers, 'content-encoding') is not None
    signature = message.find_header(headers, names.SIGNATURE)
    return calls.Answer(
        status=reply.status,
        headers=tuple(
            header for header in headers if header[0] not in CONNECTION_HEADERS
        ),
        not_run=not_run or reply.status == MISDIRECTED_STATUS,
        # No encoding was requested: an encoded body isn't the signed one.
        signature=None if is_encoded else signature,
        weight_version=decoding.parse_count(
            message.find_header(headers, names.WEIGHT_VERSION)
        ),
        load=_decode_load(message.find_header(headers, names.ENDPOINT_LOAD)),
        limit_per_s=_parse_rate(
            message.find_header(headers, names.REQUEST_LIMIT)
        ),
        reply=reply,
        is_leaving=says_leaving(reply),
    )


def says_leaving(reply: message.OpenReply) -> bool:
    """Return whether the endpoint of a reply stops soon."""
    # The answer to a misdirected request is that of another endpoint.
    return (
        reply.status != MISDIRECTED_STATUS
        and message.find_header(reply.headers, names.LEAVING) is not None
    )


def _parse_rate(text: str | None) -> float | None:
    try:
        rate = float(text or 'nan')
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None


def _decode_load(text: str | None) -> endpoint.LoadReport | None:
    counts = [
        decoding.parse_count(part.strip()) for part in (text or '').split(',')
    ]
    if len(counts) < 3 or None in counts:
        return None
    running, waiting, slots, *rest = counts
    slowness = rest[0] / 100 if rest else 1.0
    return endpoint.LoadReport(running, waiting, slots, slowness)
