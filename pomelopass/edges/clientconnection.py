"""Read HTTP answers from one connection with h11."""

import asyncio
import math

import h11

__all__ = ['Connection', 'open_connection']

READ_BYTES = 65_536


class _Reader(asyncio.StreamReader):
    """Know how many bytes nobody has read; end a read that lasts too long.

    One timer serves many reads: a timer for each read costs more than the
    read of a token.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(READ_BYTES, loop)
        self.loop = loop
        self.unread = 0
        self.limit = math.inf
        self.timer: asyncio.TimerHandle | None = None

    def feed_data(self, data: bytes) -> None:
        self.unread += len(data)
        super().feed_data(data)

    async def read_until(self, limit: float) -> bytes:
        """Return what came in; raise TimeoutError at the limit.

        The limit is on the clock of the event loop, in seconds.
        """
        if not self.unread:
            self._watch(limit)
        try:
            data = await self.read(READ_BYTES)
        finally:
            self.limit = math.inf
        self.unread -= len(data)
        return data

    def stop_watching(self) -> None:
        """Drop the timer when the connection is closed."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _watch(self, limit: float) -> None:
        self.limit = limit
        if self.timer is not None:
            if self.timer.when() <= limit:
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(limit, self._look)

    def _look(self) -> None:
        self.timer = None
        # Bytes that came in the same turn of the loop end the read.
        if self.limit == math.inf or self.unread:
            return
        if self.loop.time() >= self.limit:
            self.set_exception(TimeoutError())
        else:
            self.timer = self.loop.call_at(self.limit, self._look)


class Connection:
    """Hold a connection to an endpoint and the state of its exchange."""

    def __init__(
        self,
        reader: _Reader,
        writer: asyncio.StreamWriter,
    ):
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.idle_limit_ms = 0.0
        self.stall_ms: float | None = None

    def close(self) -> None:
        """Close the connection."""
        self.reader.stop_watching()
        self.writer.close()

    async def next_event(self, deadline: float) -> h11.Event:
        """Return the next event; raise TimeoutError, OSError, h11's error."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.receive(deadline)

    async def read_data(self, deadline: float) -> tuple[bytes, bool]:
        """Return more of the body, and whether it ends there."""
        # Joins all parts that one read brought: fewer steps a token.
        parts: list[bytes] = []
        while True:
            event = self.state.next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(parts), True
            elif event is not h11.NEED_DATA:
                raise h11.RemoteProtocolError('closed in a body')
            elif parts:
                return b''.join(parts), False
            else:
                await self.receive(deadline)

    async def receive(self, deadline: float) -> None:
        """Take in what comes next, until the deadline or a stall."""
        limit = deadline
        if self.stall_ms is not None:
            stall_at = self.reader.loop.time() + self.stall_ms / 1000
            limit = min(deadline, stall_at)
        self.state.receive_data(await self.reader.read_until(limit))


async def open_connection(host: str, port: int) -> Connection:
    """Return a new connection; raise OSError."""
    loop = asyncio.get_running_loop()
    reader = _Reader(loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return Connection(reader, writer)
