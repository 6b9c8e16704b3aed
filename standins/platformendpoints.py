"""Serve the in-memory endpoints over the platform's HTTP protocol."""

import asyncio
from collections import abc
import json

import orjson

from pomelopass.edges import httpserver
from pomelopass import message
from pomelopass.requests import call as calls
from pomelopass.versions import orders
from standins import modelengines
from standins import platformtable

__all__ = ['EndpointServer']

STATUS_BY_OUTCOME = {
    orders.OrderOutcome.ACCEPTED: 202,
    orders.OrderOutcome.HOLDS: 200,
    orders.OrderOutcome.BUSY: 409,
    orders.OrderOutcome.FENCED: 412,
}
MAX_BODY_BYTES = 33_554_432
MAX_CONNECTIONS = 1000
DROPPED_HEADERS = ('host', 'content-length', 'connection')


class EndpointServer:
    """HTTP server of one endpoint of the pool."""

    def __init__(
        self,
        pool: modelengines.EndpointPool,
        endpoint: modelengines.FakeEndpoint,
    ):
        self.pool = pool
        self.endpoint = endpoint
        self.address = ''

    async def start(self) -> None:
        """Listen on an ephemeral port and register the endpoint."""
        server = httpserver.HttpServer(
            self.handle, _make_refusal, MAX_BODY_BYTES, MAX_CONNECTIONS
        )
        self.address, _ = await httpserver.start_server(server, '127.0.0.1:0')
        self.endpoint.address = self.address
        self.pool.add(self.endpoint)

    async def handle(self, request: message.Request) -> message.Reply:
        """Answer a report, an order or a call; reset if not alive."""
        request_headers = dict(request.headers)
        if not self.endpoint.alive:
            raise ConnectionResetError
        expected = request_headers.get('expect-instance')
        if expected is not None and expected != self.endpoint.id:
            return platformtable.make_json(421, {})
        path = request.target.partition('?')[0]
        if path == '/-/report':
            return self._report()
        if path == '/-/order':
            return await self._order(request)
        return await self._run(request, request_headers)

    def _report(self) -> message.Reply:
        models = [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.endpoint.version_by_model.items()
        ]
        return platformtable.make_json(
            200,
            {
                'models': models,
                'busy': self.endpoint.loading is not None,
                'seq': self.endpoint.order_count,
                'in_flight': self.endpoint.running,
                'queue_depth': 0,
                'born': self.endpoint.started_at_ms,
            },
        )

    async def _order(self, request: message.Request) -> message.Reply:
        order = json.loads(request.body)
        outcome = await self.pool.order_version(
            self.endpoint,
            orders.VersionOrder(
                order['model'],
                order['version'],
                order['mode'] == 'wait',
                order['holder'],
                order['fence'],
                order.get('expected', self.endpoint.order_count),
            ),
        )
        status = STATUS_BY_OUTCOME.get(outcome, 400)
        return platformtable.make_json(status, {})

    async def _run(
        self, request: message.Request, request_headers: dict[str, str]
    ) -> message.Reply:
        call = calls.Call(
            id=request_headers['attempt-id'],
            host=request_headers['host'],
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            deadline_at=None,
            last_event_id=request_headers.get('last-event-id'),
        )
        try:
            answer = await self.pool.open(self.endpoint, call, 10_000)
        except calls.CallFailedError as error:
            raise ConnectionResetError from error
        headers = [('attempt-id', call.id)]
        if answer.is_leaving:
            headers.append(('server-leaving', '1'))
        if answer.not_run:
            headers.append(('not-executed', '1'))
        if answer.limit_per_s is not None:
            headers.append(('server-limit', str(answer.limit_per_s)))
        if answer.signature is not None:
            headers.append(('server-stamp', answer.signature))
        if self.endpoint.endless is not None:
            chunks = answer.reply.chunks
            return message.Reply(answer.status, tuple(headers), chunks=chunks)
        if answer.weight_version is not None:
            version = str(answer.weight_version)
            headers.append(('weight-versions', version))
            chunks = _reset_on_break(answer.reply.chunks)
            return message.Reply(200, tuple(headers), chunks=chunks)
        body = await answer.reply.read(MAX_BODY_BYTES)
        return message.Reply(answer.status, tuple(headers), body)


async def _reset_on_break(
    chunks: abc.AsyncGenerator[bytes, None],
) -> abc.AsyncGenerator[bytes, None]:
    # A broken stream closes its connection without the final chunk.
    try:
        async for chunk in chunks:
            yield chunk
    except message.ExchangeError:
        raise ConnectionResetError from None
    finally:
        await asyncio.shield(chunks.aclose())


def _make_refusal(status: int, detail: str) -> message.Reply:
    return message.Reply(status, (), orjson.dumps({'error': detail}))
