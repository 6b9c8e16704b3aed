"""Speak to endpoints in the platform's words."""

import asyncio

import orjson

from .. import message
from ..edges import httpclient
from . import endpointdecode
from . import names
from ..registry import endpoint
from ..requests import call as calls
from ..versions import orders

__all__ = ['EndpointClient']

MAX_REPORT_BYTES = 1_048_576
ORDER_TIMEOUT_MS = 700
CONNECT_TIMEOUT_MS = 150
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
# These statuses always mean that nothing ran, with or without a header.
REFUSED_STATUS = 421


class EndpointClient:
    """Add identity and deadline to each call, check each answer."""

    def __init__(self, http: httpclient.HttpClient):
        self.http = http

    async def open(
        self,
        target: endpoint.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the head of the answer; raise CallFailedError."""
        request = message.Request(
            call.method, call.target, _make_headers(target, call), call.body
        )
        try:
            reply = await self.http.open(
                target.address, request, timeout_ms, fresh, stall_ms
            )
        except message.ExchangeError as error:
            raise calls.CallFailedError(
                error.kind, error.bytes_written > 0
            ) from None
        answer = _decode_answer(reply)
        echoed = message.find_header(reply.headers, names.REQUEST_ID)
        if echoed != call.id and not answer.not_run:
            await reply.close()
            raise calls.CallFailedError('crossed', True)
        return answer

    async def read(self, answer: calls.Answer, limit: int) -> bytes:
        """Return the whole body; raise CallFailedError."""
        try:
            return await answer.reply.read(limit)
        except message.ExchangeError as error:
            raise calls.CallFailedError(error.kind, True) from None

    async def is_refused(self, target: endpoint.Endpoint) -> bool:
        """Say whether nothing listens at an endpoint's address."""
        return await self.http.is_refused(target.address, CONNECT_TIMEOUT_MS)

    async def fetch_report(
        self, target: endpoint.Endpoint
    ) -> orders.Report | None:
        """Return what an endpoint says of its weights, or None."""
        request = message.Request(
            'GET',
            names.REPORT_PATH,
            ((names.EXPECTED_ENDPOINT, target.id),),
        )
        try:
            reply = await self.http.open(
                target.address, request, ORDER_TIMEOUT_MS
            )
            body = await reply.read(MAX_REPORT_BYTES)
        except message.ExchangeError:
            return None
        if reply.status != 200:
            return None
        found = endpointdecode.decode_report(body).value_or(None)
        if found is None:
            return None
        return orders.Report(
            {one.name: one.version for one in found.models},
            found.busy,
            found.seq,
        )

    async def order_version(
        self, target: endpoint.Endpoint, order: orders.VersionOrder
    ) -> orders.OrderOutcome:
        """Order an endpoint to a weight version."""
        body = orjson.dumps(
            {
                'op': 'version',
                'model': order.model,
                'version': order.version,
                'mode': 'wait' if order.finish_runs_first else 'retain',
                'holder': order.holder,
                'fence': order.fence,
                # The endpoint's count of orders, so that a late copy of
                # this order does not apply after newer ones.
                'expected': order.expected_count,
            }
        )
        request = message.Request(
            'POST',
            names.ORDER_PATH,
            (
                ('content-type', 'application/json'),
                (names.EXPECTED_ENDPOINT, target.id),
            ),
            body,
        )
        try:
            reply = await self.http.open(
                target.address, request, ORDER_TIMEOUT_MS
            )
            await reply.read(MAX_REPORT_BYTES)
        except message.ExchangeError:
            return orders.OrderOutcome.UNKNOWN
        return ORDER_OUTCOME_BY_STATUS.get(
            reply.status, orders.OrderOutcome.REJECTED
        )


ORDER_OUTCOME_BY_STATUS = {
    200: orders.OrderOutcome.HOLDS,
    202: orders.OrderOutcome.ACCEPTED,
    409: orders.OrderOutcome.BUSY,
    412: orders.OrderOutcome.FENCED,
}


def _make_headers(
    target: endpoint.Endpoint, call: calls.Call
) -> message.Headers:
    headers = [
        ('host', call.host),
        *call.headers,
        (names.REQUEST_ID, call.id),
        (names.EXPECTED_ENDPOINT, target.id),
    ]
    if call.deadline_at is not None:
        left = call.deadline_at - asyncio.get_running_loop().time()
        headers.append((names.DEADLINE_MS, str(max(int(left * 1000), 1))))
    if call.last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, call.last_event_id))
    return tuple(headers)


def _decode_answer(reply: message.OpenReply) -> calls.Answer:
    given = reply.headers
    not_run = message.find_header(given, names.NOT_RUN) is not None
    encoded = message.find_header(given, 'content-encoding') is not None
    signature = message.find_header(given, names.SIGNATURE)
    return calls.Answer(
        status=reply.status,
        headers=tuple(
            one for one in given if one[0] not in CONNECTION_HEADERS
        ),
        not_run=not_run or reply.status == REFUSED_STATUS,
        # A body in an encoding that nobody asked for is not the endpoint's.
        signature=None if encoded else signature,
        weight_version=_to_int(
            message.find_header(given, names.WEIGHT_VERSION)
        ),
        load=_decode_load(message.find_header(given, names.ENDPOINT_LOAD)),
        reply=reply,
    )


def _to_int(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdecimal() else None


def _decode_load(text: str | None) -> endpoint.LoadReport | None:
    parts = (text or '').split(',')
    if len(parts) < 3 or not all(one.strip().isdecimal() for one in parts):
        return None
    running, waiting, slots, *rest = (int(one) for one in parts)
    slowness = rest[0] / 100 if rest else 1.0
    return endpoint.LoadReport(running, waiting, slots, slowness)
