"""Call endpoints over the platform's HTTP protocol."""

import asyncio
from collections import abc
import math

import orjson

from .. import message
from . import answerdecode
from ..edges import httpclient
from . import endpointdecode
from . import names
from ..registry import endpoint
from ..requests import call as calls
from ..versions import orders

__all__ = ['CONNECT_TIMEOUT_MS', 'EndpointClient', 'make_headers']

MAX_REPORT_BYTES = 1_048_576
ORDER_TIMEOUT_MS = 700
CONNECT_TIMEOUT_MS = 150
# A connection that carried bytes so recently is taken for sound.
PROVEN_IDLE_MS = 1000.0
MAX_ADDRESSES = 4096

OnLeaving = abc.Callable[[endpoint.Endpoint], None]


class EndpointClient:
    """Send calls with identity and deadline, and check each reply."""

    def __init__(self, http: httpclient.HttpClient):
        self.http = http
        self.id_by_address: dict[str, str] = {}
        self.on_leaving: OnLeaving = lambda target: None

    def set_on_leaving(self, on_leaving: OnLeaving) -> None:
        """Set what is called for an endpoint that says that it leaves."""
        self.on_leaving = on_leaving

    @property
    def received_at(self) -> float:
        """Return when bytes came last from any endpoint."""
        return self.http.pool.received_at

    async def open(
        self,
        target: endpoint.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the answer once its head arrived; raise CallFailedError."""
        if len(self.id_by_address) >= MAX_ADDRESSES:
            self.id_by_address.clear()
        self.id_by_address[target.address] = target.id
        request = message.Request(
            call.method, call.target, make_headers(target, call), call.body
        )
        started_at_ms = None
        if call.last_event_id is not None:
            started_at_ms = await self._check_start(target, timeout_ms)
        try:
            reply = await self.http.open(
                target.address,
                request,
                timeout_ms,
                fresh and started_at_ms is None,
                stall_ms,
                PROVEN_IDLE_MS if call.avoids_idle else math.inf,
                call.grant.may_send if call.grant else _always,
                started_at_ms=started_at_ms,
            )
        except message.ExchangeError as error:
            raise calls.CallFailedError(
                error.kind, error.bytes_written > 0
            ) from None
        self._note_leaving(target, reply)
        answer = answerdecode.decode_answer(reply)
        echoed_id = message.find_header(reply.headers, names.REQUEST_ID)
        if echoed_id != call.id and not answer.not_run:
            await reply.close()
            raise calls.CallFailedError('crossed', True)
        return answer

    async def _check_start(
        self, target: endpoint.Endpoint, timeout_ms: float
    ) -> int | None:
        """Ask for the start of the endpoint on a connection that is kept.

        Return the time of start that the connection must have, or None if
        any will do. Raise CallFailedError.
        """
        request = message.Request(
            'GET', names.REPORT_PATH, ((names.EXPECTED_ENDPOINT, target.id),)
        )
        try:
            reply = await self.http.open(
                target.address,
                request,
                min(timeout_ms, ORDER_TIMEOUT_MS),
                fresh=True,
            )
            body = await reply.read(MAX_REPORT_BYTES)
        except message.ExchangeError as error:
            raise calls.CallFailedError(error.kind, False) from None
        report = endpointdecode.decode_report(body).value_or(None)
        if reply.status != 200 or report is None:
            raise calls.CallFailedError('no-report', False)
        if not (report.born and target.started_at_ms):
            return None
        if report.born != target.started_at_ms:
            raise calls.CallFailedError(calls.RESTARTED, False)
        if message.find_header(reply.headers, 'connection') == 'close':
            # The endpoint keeps no connections; it has just answered.
            return None
        reply.connection.peer_started_at_ms = report.born
        return report.born

    async def is_refused(self, target: endpoint.Endpoint) -> bool:
        """Return whether an endpoint's address refuses connections."""
        return await self.http.is_refused(target.address, CONNECT_TIMEOUT_MS)

    async def can_connect(self, target: endpoint.Endpoint) -> bool:
        """Return whether a connection to an endpoint opens."""
        return await self.http.can_connect(target.address)

    def get_silent_ids(self, silent_ms: float) -> set[str]:
        """Return the endpoints with a request that is silent for so long."""
        return {
            self.id_by_address[address]
            for address in self.http.pool.get_silent_addresses(silent_ms)
            if address in self.id_by_address
        }

    def break_silent(
        self, target: endpoint.Endpoint, silent_ms: float
    ) -> None:
        """Abort the repeatable requests that received nothing for so long."""
        self.http.pool.break_silent(target.address, silent_ms)

    async def fetch_report(
        self, target: endpoint.Endpoint
    ) -> orders.Report | None:
        """Return the weight versions an endpoint reports; None on failure."""
        request = message.Request(
            'GET',
            names.REPORT_PATH,
            ((names.EXPECTED_ENDPOINT, target.id),),
        )
        try:
            reply = await self.http.open(
                target.address, request, ORDER_TIMEOUT_MS
            )
            self._note_leaving(target, reply)
            body = await reply.read(MAX_REPORT_BYTES)
        except message.ExchangeError:
            return None
        if reply.status != 200:
            return None
        report = endpointdecode.decode_report(body).value_or(None)
        if report is None:
            return None
        return orders.Report(
            {model.name: model.version for model in report.models},
            report.busy,
            report.seq,
        )

    async def order_version(
        self,
        target: endpoint.Endpoint,
        order: orders.VersionOrder,
        may_send: abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order an endpoint to load a weight version if it may be sent."""
        body = orjson.dumps(
            {
                'op': 'version',
                'model': order.model,
                'version': order.version,
                'mode': 'wait' if order.finish_runs_first else 'retain',
                'holder': order.holder,
                'fence': order.fence,
                # The endpoint's count of orders: a delayed copy of this
                # order is not applied after newer ones.
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
                target.address, request, ORDER_TIMEOUT_MS, may_send=may_send
            )
            self._note_leaving(target, reply)
            await reply.read(MAX_REPORT_BYTES)
        except message.ExchangeError as error:
            if error.kind == message.WITHDRAWN:
                return orders.OrderOutcome.WITHDRAWN
            return orders.OrderOutcome.UNKNOWN
        return ORDER_OUTCOME_BY_STATUS.get(
            reply.status, orders.OrderOutcome.REJECTED
        )

    def _note_leaving(
        self, target: endpoint.Endpoint, reply: message.OpenReply
    ) -> None:
        if answerdecode.says_leaving(reply):
            self.on_leaving(target)


ORDER_OUTCOME_BY_STATUS = {
    200: orders.OrderOutcome.HOLDS,
    202: orders.OrderOutcome.ACCEPTED,
    409: orders.OrderOutcome.BUSY,
    412: orders.OrderOutcome.FENCED,
}


def _always() -> bool:
    return True


def make_headers(
    target: endpoint.Endpoint, call: calls.Call
) -> message.Headers:
    """Return the headers that an endpoint gets with a call."""
    headers = [
        ('host', call.host),
        *(
            header
            for header in call.headers
            if not call.drops_credentials
            or header[0].lower() not in names.CREDENTIALS
        ),
        (names.REQUEST_ID, call.id),
        (names.EXPECTED_ENDPOINT, target.id),
    ]
    if call.deadline_at is not None:
        remaining_s = call.deadline_at - asyncio.get_running_loop().time()
        headers.append(
            (names.DEADLINE_MS, str(max(int(remaining_s * 1000), 1)))
        )
    if call.last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, call.last_event_id))
    if call.workspace:
        # Received bytes are Latin-1 text here; the name is sent as UTF-8.
        name = call.workspace.strip().encode().decode('latin-1')
        headers.append((names.WORKSPACE, name))
    return tuple(headers)
