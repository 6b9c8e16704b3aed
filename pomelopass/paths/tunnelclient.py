"""Open connections to endpoints through peers."""

import asyncio
from collections import abc
import dataclasses
from typing import Protocol

from .. import message
from ..edges import addresses
from ..edges import clientconnection
from ..edges import keepalive
from ..edges import peercall
from ..edges import peerframe
from ..edges import receivesize
from ..fleet import member
from . import peers as peerbooks
from . import ports
from ..registry import endpoint as endpoints
from ..reporting import logevents
from ..requests import call as calls
from ..wire.gen.tunnels import EndpointTunnel
from ..wire.gen.tunnels import ttypes

__all__ = ['PeerEndpoints', 'open_tunnel']

SEPARATOR = '/'


KIND_BY_OUTCOME = {
    ttypes.TunnelOutcome.UNREACHABLE: peerbooks.ENDPOINT_UNREACHABLE,
    ttypes.TunnelOutcome.NOT_OFFERED: peerbooks.ENDPOINT_UNREACHABLE,
    ttypes.TunnelOutcome.BUSY: peerbooks.PEER_BUSY,
    ttypes.TunnelOutcome.CUT_OFF: peerbooks.PEER_CUT_OFF,
}


class _TunnelProtocol(asyncio.StreamReaderProtocol):
    """Feed the payload of a peer's frames to the reader of a connection.

    The first frame answers the call that opens the tunnel. An empty frame is
    the endpoint's end of the stream: a connection that ends without one was
    broken by the peer or the endpoint.
    """

    def __init__(
        self,
        reader: clientconnection.Reader,
        loop: asyncio.AbstractEventLoop,
    ):
        super().__init__(reader, loop=loop)
        self.reader = reader
        self.answer: asyncio.Future[bytes] = loop.create_future()
        self.pending = b''
        self.has_ended = False

    def data_received(self, data: bytes) -> None:
        """Feed the frames that are complete."""
        self.pending += data
        size = peerframe.LENGTH_PREFIX.size
        while len(self.pending) >= size:
            length = peerframe.LENGTH_PREFIX.unpack(self.pending[:size])[0]
            if len(self.pending) < size + length:
                return
            payload = self.pending[size : size + length]
            self.pending = self.pending[size + length :]
            self._take_frame(payload)

    def eof_received(self) -> bool:
        """Close the connection."""
        self._fail()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits for bytes unless the stream had ended."""
        self._fail()
        super().connection_lost(exc)

    def _take_frame(self, payload: bytes) -> None:
        if not self.answer.done():
            self.answer.set_result(payload)
        elif payload:
            self.reader.feed_data(payload)
        else:
            self.has_ended = True
            self.reader.feed_eof()

    def _fail(self) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionResetError())
        elif not self.has_ended and self.reader.exception() is None:
            self.reader.set_exception(ConnectionResetError())


async def open_tunnel(address: str) -> clientconnection.Connection:
    """Open a connection to PEER_ADDRESS/ENDPOINT_ID.

    Raise OSError if the peer is not reached, and ExchangeError if it opens
    no connection to the endpoint.
    """
    loop = asyncio.get_running_loop()
    peer_address, _, endpoint_id = address.partition(SEPARATOR)
    host, port = addresses.split_address(peer_address)
    reader = clientconnection.Reader(loop)
    protocol = _TunnelProtocol(reader, loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    keepalive.set_keepalive(transport.get_extra_info('socket'))
    receivesize.limit_receive_size(transport, clientconnection.READ_BYTES)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    is_open = False
    try:
        is_open = await _request_tunnel(writer, protocol, endpoint_id)
    finally:
        if not is_open:
            transport.abort()
    reader.received_at = loop.time()
    return clientconnection.Connection(reader, writer)


async def _request_tunnel(
    writer: asyncio.StreamWriter, protocol: _TunnelProtocol, endpoint_id: str
) -> bool:
    request = peerframe.make_writer()
    EndpointTunnel.Client(request).send_open_tunnel(endpoint_id)
    writer.write(peerframe.make_frame(request.trans.getvalue()))
    try:
        frame = await protocol.answer
        client = EndpointTunnel.Client(peerframe.make_reader(frame))
        outcome = client.recv_open_tunnel()
    except peercall.CALL_ERRORS as error:
        raise ConnectionResetError(repr(error)) from None
    if outcome != ttypes.TunnelOutcome.OPEN:
        # A later version of the peer may know further outcomes.
        kind = KIND_BY_OUTCOME.get(outcome, peerbooks.PEER_BUSY)
        raise message.ExchangeError(kind, 0)
    return True


class TunnelledClient(Protocol):
    """Endpoint client whose connections are tunnels."""

    on_leaving: abc.Callable[[endpoints.Endpoint], None]

    async def open(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the head of the answer; raise CallFailedError."""


class PeerEndpoints:
    """Client for calls to endpoints over the links of a peer."""

    def __init__(
        self, client: TunnelledClient, write_event: logevents.WriteEvent
    ):
        self.client = client
        self.write_event = write_event

    def set_on_leaving(
        self, on_leaving: abc.Callable[[endpoints.Endpoint], None]
    ) -> None:
        """Set what is called for an endpoint that says that it leaves."""
        self.client.on_leaving = on_leaving

    async def open(
        self,
        peer: member.Member,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the head of the answer; raise CallFailedError."""
        return await self.client.open(
            dataclasses.replace(target, address=_make_address(peer, target)),
            call,
            timeout_ms,
            stall_ms,
            fresh,
        )

    async def connect(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> None:
        """Open and close a connection; raise CallFailedError."""
        try:
            async with asyncio.timeout(ports.PEER_TIMEOUT_MS / 1000):
                connection = await open_tunnel(_make_address(peer, target))
        except message.ExchangeError as error:
            raise calls.CallFailedError(error.kind, False) from None
        except TimeoutError:
            raise calls.CallFailedError('connect-timeout', False) from None
        except OSError:
            raise calls.CallFailedError('connect-failed', False) from None
        connection.close()

    async def report_leaving(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> None:
        """Report what an answer over a peer's links said of its endpoint."""
        try:
            connection = await peercall.connect(
                peer.relay_address, ports.PEER_TIMEOUT_MS
            )
            await peercall.call_peer(
                connection,
                EndpointTunnel.Client,
                lambda client: client.send_report_leaving(
                    target.id, target.started_at_ms
                ),
                lambda client: client.recv_report_leaving(),
                ports.PEER_TIMEOUT_MS,
            )
        except peercall.CALL_ERRORS as error:
            self.write_event(
                logevents.LeavingNotReported(
                    peer=peer.name, endpoint=target.id, detail=repr(error)
                )
            )


def _make_address(peer: member.Member, target: endpoints.Endpoint) -> str:
    return f'{peer.relay_address}{SEPARATOR}{target.id}'
