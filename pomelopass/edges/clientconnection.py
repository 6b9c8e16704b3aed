"""Read HTTP responses from one connection with h11."""

import asyncio
from collections import abc
import contextlib
import math

import h11

from . import addresses
from . import keepalive
from . import receivesize

__all__ = ['Connection', 'Reader', 'open_connection']

READ_BYTES = 32_768
# Larger bodies are written in parts, so that they are not buffered again.
WRITE_PART_BYTES = 65_536


class Reader(asyncio.StreamReader):
    """Count unread bytes and apply a timeout to reads.

    Reads share one timer, because creating a timer for each read costs
    more than reading a token.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(READ_BYTES, loop)
        self.loop = loop
        self.unread = 0
        self.deadline = math.inf
        self.timer: asyncio.TimerHandle | None = None
        # Event loop time at which bytes came last, in seconds.
        self.received_at = loop.time()
        self.on_unexpected_data: abc.Callable[[], None] | None = None

    def feed_data(self, data: bytes) -> None:
        """Take received bytes."""
        self.unread += len(data)
        self.received_at = self.loop.time()
        super().feed_data(data)
        if self.on_unexpected_data is not None:
            self.on_unexpected_data()

    async def read_until(self, deadline: float) -> bytes:
        """Return the received bytes; raise TimeoutError at the deadline.

        The deadline is event loop time in seconds.
        """
        if not self.unread:
            self._arm_timer(deadline)
        try:
            data = await self.read(READ_BYTES)
        finally:
            self.deadline = math.inf
        self.unread -= len(data)
        return data

    def cancel_timer(self) -> None:
        """Cancel the read timer when the connection is closed."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _arm_timer(self, deadline: float) -> None:
        self.deadline = deadline
        if self.timer is not None:
            if self.timer.when() <= deadline:
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(deadline, self._check_deadline)

    def _check_deadline(self) -> None:
        self.timer = None
        # Bytes received in the same loop iteration complete the read.
        if self.deadline == math.inf or self.unread:
            return
        if self.loop.time() >= self.deadline:
            self.set_exception(TimeoutError())
        else:
            self.timer = self.loop.call_at(self.deadline, self._check_deadline)


class Connection:
    """HTTP connection to an endpoint and its h11 state."""

    def __init__(
        self,
        reader: Reader,
        writer: asyncio.StreamWriter,
    ):
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.idle_limit_ms = 0.0
        self.stall_ms: float | None = None
        self.request_sent_at = 0.0
        # When the process at the other end started, in Unix milliseconds,
        # if it was asked on this connection.
        self.peer_started_at_ms: int | None = None
        # Whether a request that breaks off may be sent again.
        self.is_repeatable = False
        # Writes the rest of a large body.
        self.sending: asyncio.Task[None] | None = None

    def send(self, head: bytes, body: bytes) -> None:
        """Write a request; a response may arrive before its end is sent."""
        if len(body) <= WRITE_PART_BYTES:
            self.writer.write(head + body)
            return
        self.writer.write(head)
        self.sending = asyncio.ensure_future(self._send_parts(body))

    def is_sending(self) -> bool:
        """Return whether bytes of the last request are not sent yet."""
        return bool(
            (self.sending is not None and not self.sending.done())
            or self.writer.transport.get_write_buffer_size()
        )

    def close(self) -> None:
        """Close the connection."""
        if self.sending is not None:
            self.sending.cancel()
        self.reader.cancel_timer()
        self.writer.close()

    def get_silent_ms(self, now: float) -> float:
        """Return for how long the current request received nothing."""
        return (
            now - max(self.reader.received_at, self.request_sent_at)
        ) * 1000

    def break_off(self) -> None:
        """Close the connection; what waits for bytes fails."""
        # A plain close looks like the end of a body without a length.
        self.reader.set_exception(ConnectionResetError())
        self.close()

    async def _send_parts(self, body: bytes) -> None:
        view = memoryview(body)
        # The reader of the response gets the error.
        with contextlib.suppress(OSError):
            for start in range(0, len(body), WRITE_PART_BYTES):
                self.writer.write(view[start : start + WRITE_PART_BYTES])
                await self.writer.drain()

    async def next_head(
        self, deadline: float, head_timeout_ms: float
    ) -> h11.Event:
        """Return the next head; raise TimeoutError, OSError, h11 errors.

        The head may begin until the deadline and must end soon after.
        """
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.receive(deadline)
            head_deadline = self.reader.loop.time() + head_timeout_ms / 1000
            deadline = min(deadline, head_deadline)
            head_timeout_ms = math.inf

    async def read_data(self, deadline: float) -> tuple[bytes, bool]:
        """Return the next bytes of the body and whether it is complete."""
        # Joins all chunks of one read, to yield less often per token.
        chunks: list[bytes] = []
        while True:
            event = self.state.next_event()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(chunks), True
            elif event is not h11.NEED_DATA:
                raise h11.RemoteProtocolError(
                    'connection closed within the body'
                )
            elif chunks:
                return b''.join(chunks), False
            else:
                await self.receive(deadline)

    async def receive(self, deadline: float) -> None:
        """Read bytes until the deadline or the stall timeout."""
        read_deadline = deadline
        if self.stall_ms is not None:
            stall_deadline = self.reader.loop.time() + self.stall_ms / 1000
            read_deadline = min(deadline, stall_deadline)
        self.state.receive_data(await self.reader.read_until(read_deadline))


async def open_connection(address: str) -> Connection:
    """Open a connection to IP:PORT; raise OSError."""
    loop = asyncio.get_running_loop()
    reader = Reader(loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    host, port = addresses.split_address(address)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    keepalive.set_keepalive(transport.get_extra_info('socket'))
    receivesize.limit_receive_size(transport, READ_BYTES)
    reader.received_at = loop.time()
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return Connection(reader, writer)
