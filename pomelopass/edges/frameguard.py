"""Read the frames of connections whose clients may not be peers."""

import asyncio
from collections import abc
import io

from . import callerload
from . import callermemory
from . import connectionlimit
from . import peerframe
from . import receivesize

__all__ = ['FrameGuard']

# Longer than the timeout of a call at the peer that sends it.
FRAME_TIMEOUT_MS = 3000.0
READ_BYTES = 32_768

Serve = abc.Callable[
    [bytes, asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]
]


class FrameGuard:
    """Server of connections that begin with one frame, within limits."""

    def __init__(
        self,
        serve_frame: Serve,
        load: callerload.CallerLoad,
        max_connections: int,
    ):
        self.serve_frame = serve_frame
        self.load = load
        self.connections = connectionlimit.ConnectionLimit(max_connections)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, or close it."""
        slot = self.connections.admit(writer)
        if slot is None:
            writer.close()
            return
        receivesize.limit_receive_size(writer.transport, READ_BYTES)
        share = self.load.memory.open(
            lambda: reader.set_exception(callermemory.MemoryShortError())
        )
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_MS / 1000):
                frame = await _read_frame(reader, writer, share)
            share.evict = None
            self.connections.begin_use(slot)
            await self.serve_frame(frame, reader, writer)
        except (
            EOFError,
            OSError,
            TimeoutError,
            callermemory.MemoryShortError,
            peerframe.FrameError,
        ):
            # A peer that sends no whole frame gets no answer.
            pass
        finally:
            share.close()
            self.connections.release(slot)
            writer.close()


async def _read_frame(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    share: callermemory.Share,
) -> bytes:
    """Return a frame whose length fits the memory before it is read."""
    size = await peerframe.read_size(reader)
    if size <= callermemory.FREE_BYTES:
        return await reader.readexactly(size)
    writer.transport.pause_reading()
    await share.resize(size)
    writer.transport.resume_reading()
    frame = io.BytesIO()
    while remaining := size - frame.tell():
        data = await reader.read(min(remaining, READ_BYTES))
        if not data:
            raise EOFError
        frame.write(data)
        share.record_progress(len(data))
    return frame.getvalue()
