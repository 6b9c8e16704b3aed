"""Call other instances over thrift."""

import asyncio
from collections import abc
import struct
from typing import Any

from thrift import Thrift

from . import addresses
from . import peerframe
from ..wire.gen.peer import Peer
from ..wire.gen.peer import ttypes

__all__ = ['PeerClient']

CALL_TIMEOUT_MS = 1000


class PeerClient:
    """Call peers over one thrift connection each."""

    def __init__(self) -> None:
        self.stream_by_address: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}
        self.lock_by_address: dict[str, asyncio.Lock] = {}
        self.bytes_sent = 0
        self.bytes_received = 0

    async def exchange(
        self, address: str, digest: ttypes.Digest
    ) -> ttypes.Digest | None:
        """Exchange digests; return None if the peer does not respond."""
        return await self._call(
            address,
            lambda client: client.send_exchange(digest),
            lambda client: client.recv_exchange(),
        )

    async def ask_claim(
        self, address: str, key: str, fingerprint: str
    ) -> ttypes.ClaimAnswer | None:
        """Query the claim of a key at its owner; return None on failure."""
        return await self._call(
            address,
            lambda client: client.send_ask_claim(key, fingerprint),
            lambda client: client.recv_ask_claim(),
        )

    async def close(self) -> None:
        """Close all connections."""
        for _, writer in self.stream_by_address.values():
            writer.close()
        self.stream_by_address.clear()

    async def _call(
        self,
        address: str,
        send: abc.Callable[[Peer.Client], None],
        receive: abc.Callable[[Peer.Client], Any],
    ) -> Any:
        lock = self.lock_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            try:
                async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                    return await self._exchange_frames(address, send, receive)
            except (
                EOFError,
                OSError,
                TimeoutError,
                ValueError,
                struct.error,
                Thrift.TException,
            ):
                self._drop(address)
                return None
            except asyncio.CancelledError:
                self._drop(address)
                raise

    async def _exchange_frames(
        self,
        address: str,
        send: abc.Callable[[Peer.Client], None],
        receive: abc.Callable[[Peer.Client], Any],
    ) -> Any:
        reader, writer = await self._connect(address)
        protocol = peerframe.make_writer()
        send(Peer.Client(protocol))
        frame = peerframe.make_frame(protocol.trans.getvalue())
        writer.write(frame)
        await writer.drain()
        data = await peerframe.read_frame(reader)
        self.bytes_sent += len(frame)
        self.bytes_received += len(data)
        return receive(Peer.Client(peerframe.make_reader(data)))

    async def _connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        stream = self.stream_by_address.get(address)
        if stream is None:
            stream = await asyncio.open_connection(
                *addresses.split_address(address)
            )
            self.stream_by_address[address] = stream
        return stream

    def _drop(self, address: str) -> None:
        stream = self.stream_by_address.pop(address, None)
        if stream is not None:
            stream[1].close()
