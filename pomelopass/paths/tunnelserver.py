"""Open connections to endpoints for peers and carry their bytes."""

import asyncio
from collections import abc
import contextlib
import dataclasses
from typing import Any

from . import book as books
from ..edges import addresses
from ..edges import peerframe
from ..edges import receivesize
from ..registry import endpoint as endpoints
from ..table import relayserver
from ..wire.gen.tunnels import EndpointTunnel
from ..wire.gen.tunnels import ttypes

__all__ = ['TunnelServer']

CONNECT_TIMEOUT_MS = 150.0
# Bounds the memory that peers may take.
MAX_TUNNELS = 128
READ_BYTES = 16_384
IDLE_LIMIT_MS = 60_000.0
# A tunnel with bytes this recent may carry a request.
BUSY_MS = 1500.0

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclasses.dataclass(eq=False, slots=True)
class _Tunnel:
    """An open tunnel; the time is that of the event loop."""

    used_at: float
    # Whether the last bytes were those of the peer, which awaits an answer.
    awaits_answer: bool = False
    # Set when another tunnel needs its place.
    evicted: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def is_busy(self) -> bool:
        """Return whether it may carry a request."""
        now = asyncio.get_running_loop().time()
        return self.awaits_answer or (now - self.used_at) * 1000 < BUSY_MS


class TunnelServer:
    """Carries bytes between peers and registered endpoints.

    The endpoints' bytes go to the peer in frames, so that an end of theirs
    differs from a tunnel that broke.
    """

    def __init__(
        self,
        find_endpoint: abc.Callable[[str], endpoints.Endpoint | None],
        is_stopping: abc.Callable[[], bool],
        book: books.PathBook,
        on_unreachable: abc.Callable[[str], None],
        on_leaving: abc.Callable[[str, int], None],
    ):
        self.on_leaving = on_leaving
        self.book = book
        self.on_unreachable = on_unreachable
        self.find_endpoint = find_endpoint
        self.is_stopping = is_stopping
        self.tunnels: set[_Tunnel] = set()
        self.opening = 0

    def make_handlers(self) -> dict[str, relayserver.Handler]:
        """Return what answers the calls of peers, by method."""
        return {
            'open_tunnel': relayserver.Handler(EndpointTunnel, self._open),
            'report_leaving': relayserver.Handler(
                EndpointTunnel, self._take_report
            ),
        }

    def is_busy(self) -> bool:
        """Return whether a tunnel may carry a request."""
        return any(tunnel.is_busy() for tunnel in self.tunnels)

    def check(self, endpoint_id: str) -> ttypes.TunnelOutcome | None:
        """Return why no tunnel to an endpoint may open now, or None."""
        if self.is_stopping():
            return ttypes.TunnelOutcome.BUSY
        if self._is_full() and self._find_idle() is None:
            return ttypes.TunnelOutcome.BUSY
        target = self.find_endpoint(endpoint_id)
        if target is None:
            return ttypes.TunnelOutcome.NOT_OFFERED
        # Tunnels do not lead over a second peer.
        if self.book.is_cut_off:
            return ttypes.TunnelOutcome.CUT_OFF
        if self.book.needs_peer(endpoint_id):
            return ttypes.TunnelOutcome.UNREACHABLE
        return None

    async def _open(self, arguments: Any) -> relayserver.Takeover | int:
        refusal = self.check(arguments.endpoint_id)
        if refusal is not None:
            return refusal
        target = self.find_endpoint(arguments.endpoint_id)
        if self._is_full():
            self._evict_idle()
        self.opening += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                host, port = addresses.split_address(target.address)
                stream = await asyncio.open_connection(
                    host, port, limit=READ_BYTES
                )
                receivesize.limit_receive_size(stream[1].transport, READ_BYTES)
        except (OSError, TimeoutError):
            self.on_unreachable(target.id)
            return ttypes.TunnelOutcome.UNREACHABLE
        finally:
            self.opening -= 1

        async def carry(peer: Stream) -> None:
            await self._carry(target.id, peer, stream)

        return relayserver.Takeover(
            ttypes.TunnelOutcome.OPEN, carry, stream[1].close
        )

    def _is_full(self) -> bool:
        return len(self.tunnels) + self.opening >= MAX_TUNNELS

    def _find_idle(self) -> _Tunnel | None:
        """Return the tunnel that carried no request for longest, or None."""
        return min(
            (tunnel for tunnel in self.tunnels if not tunnel.is_busy()),
            key=lambda tunnel: tunnel.used_at,
            default=None,
        )

    def _evict_idle(self) -> None:
        tunnel = self._find_idle()
        tunnel.evicted.set()
        self.tunnels.discard(tunnel)

    async def _take_report(self, arguments: Any) -> bool:
        self.on_leaving(arguments.endpoint_id, arguments.started_at_ms)
        return True

    async def _carry(
        self, endpoint_id: str, peer: Stream, endpoint: Stream
    ) -> None:
        tunnel = _Tunnel(asyncio.get_running_loop().time())
        self.tunnels.add(tunnel)

        def is_offered() -> bool:
            return self.find_endpoint(endpoint_id) is not None

        tasks = [
            asyncio.ensure_future(
                _carry_up(tunnel, peer[0], endpoint[1], is_offered)
            ),
            asyncio.ensure_future(_carry_down(tunnel, endpoint[0], peer[1])),
            asyncio.ensure_future(_wait_until_idle(tunnel)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.tunnels.discard(tunnel)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            # The endpoint drops the request of a peer that left.
            endpoint[1].close()


async def _carry_up(
    tunnel: _Tunnel,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    is_offered: abc.Callable[[], bool],
) -> None:
    """Carry the bytes of a peer until it closes the tunnel.

    An endpoint that leaves gets no further request.
    """
    while data := await reader.read(READ_BYTES):
        if not (tunnel.awaits_answer or is_offered()):
            return
        tunnel.used_at = asyncio.get_running_loop().time()
        tunnel.awaits_answer = True
        writer.write(data)
        await writer.drain()


async def _carry_down(
    tunnel: _Tunnel,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Carry the bytes of an endpoint in frames, and its end in an empty one.

    A connection that the endpoint resets ends the tunnel without that frame.
    """
    while data := await reader.read(READ_BYTES):
        tunnel.used_at = asyncio.get_running_loop().time()
        tunnel.awaits_answer = False
        writer.write(peerframe.make_frame(data))
        await writer.drain()
    writer.write(peerframe.make_frame(b''))
    await writer.drain()


async def _wait_until_idle(tunnel: _Tunnel) -> None:
    """Return once a tunnel is idle for too long, or was evicted."""
    while not tunnel.evicted.is_set():
        now = asyncio.get_running_loop().time()
        remaining_s = tunnel.used_at + IDLE_LIMIT_MS / 1000 - now
        if remaining_s <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining_s):
                await tunnel.evicted.wait()
