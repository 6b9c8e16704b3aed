"""Serve calls of other instances over thrift."""

import asyncio
from collections import abc
import struct

from thrift import Thrift

from . import peerframe
from ..wire.gen.peer import Peer

__all__ = ['PeerServer', 'start_server']

MAX_CONNECTIONS = 256


class PeerServer:
    """Serve the thrift connections of peers."""

    def __init__(
        self,
        handler: Peer.Iface,
        on_bad_frame: abc.Callable[[], None],
    ):
        self.processor = Peer.Processor(handler)
        self.on_bad_frame = on_bad_frame
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the frames of a connection; close it on a malformed one."""
        if len(self.writers) >= MAX_CONNECTIONS:
            writer.close()
            return
        self.writers.add(writer)
        try:
            while True:
                data = await peerframe.read_frame(reader)
                writer.write(peerframe.make_frame(self._process(data)))
                await writer.drain()
        except (EOFError, OSError):
            pass
        except peerframe.FrameError:
            self.on_bad_frame()
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Close all connections."""
        for writer in list(self.writers):
            writer.close()

    def _process(self, data: bytes) -> bytes:
        output = peerframe.make_writer()
        try:
            self.processor.process(peerframe.make_reader(data), output)
        except (
            ArithmeticError,
            AttributeError,
            EOFError,
            LookupError,
            TypeError,
            ValueError,
            struct.error,
            Thrift.TException,
        ) as error:
            raise peerframe.FrameError(str(error)) from error
        return output.trans.getvalue()


async def start_server(
    server: PeerServer, address: str
) -> tuple[str, asyncio.Server]:
    """Listen on an address; return it with the bound port."""
    host, _, port = address.rpartition(':')
    listener = await asyncio.start_server(
        server.serve, host.strip('[]'), int(port)
    )
    bound_port = listener.sockets[0].getsockname()[1]
    return f'{host}:{bound_port}', listener
