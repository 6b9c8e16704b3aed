"""Read the HTTP requests of a connection within limits."""

import asyncio
from collections import abc
import contextlib
import dataclasses

import h11

from .. import decoding
from .. import message
from . import callerload
from . import callermemory
from . import receivesize
from . import requestbody

__all__ = ['BadRequestError', 'Limits', 'RequestReader']

READ_BYTES = 65_536
# Received at a time outside of bodies. It bounds what a connection buffers.
HEAD_READ_BYTES = 16_384
# A connection whose request is running is paused at this many unread bytes.
READ_AHEAD_BYTES = 4096
# Parts of a body that are parsed before the connection yields to other work.
MAX_PARTS = 64
# Limits on reading what a refused caller still sends.
DISCARD_MS = 500.0
MAX_DISCARDED_READS = 256
HEAD_END = b'\r\n\r\n'
HEADER_EXTRA_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of a request and on the time to send it."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: float
    idle_timeout_ms: float


class BadRequestError(Exception):
    """Signal a refused request, with the status and detail to reply."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class RequestReader:
    """Parse the requests of one connection in sequence."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        load: callerload.CallerLoad,
    ):
        self.reader = reader
        self.writer = writer
        self.load = load
        # Memory of the present request; None up to callermemory.FREE_BYTES.
        self.share: callermemory.Share | None = None
        # Called when more of a body arrived.
        self.on_progress: abc.Callable[[], None] = _ignore
        self.unread = b''
        self.state = h11.Connection(h11.SERVER)
        receivesize.limit_receive_size(writer.transport, HEAD_READ_BYTES)

    def release(self) -> None:
        """Free the memory that the present request holds."""
        if self.share is not None:
            self.share.close()
            self.share = None

    def start_next(self) -> None:
        """Reset the parser for the next request of the connection."""
        self.release()
        self.unread = bytes(self.state.trailing_data[0]) + self.unread
        self.state = h11.Connection(h11.SERVER)

    async def read(self, limits: Limits) -> message.Request | None:
        """Return the next request; None if idle too long or closed."""
        if self.unread:
            # A pipelined request waits for its turn among other work.
            self.writer.transport.pause_reading()
            await self.load.turns.take()
        if not self.unread:
            try:
                async with asyncio.timeout(limits.idle_timeout_ms / 1000):
                    self.unread = await self._read_some()
            except TimeoutError:
                return None
            if not self.unread:
                return None
        try:
            async with asyncio.timeout(limits.head_timeout_ms / 1000):
                await self._read_head(limits)
        except TimeoutError:
            raise BadRequestError(408, 'The head took too long.') from None
        try:
            return await self._read_body(limits)
        except callermemory.MemoryShortError:
            raise BadRequestError(503, 'Too many bodies arrive.') from None
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            detail = f'The request is not HTTP: {error}.'
            raise BadRequestError(status, detail) from None

    async def discard_rest(self) -> None:
        """Read on for a moment, so that a refusal is not lost in a reset."""
        self.writer.write_eof()
        with contextlib.suppress(
            OSError, TimeoutError, callermemory.MemoryShortError
        ):
            async with asyncio.timeout(DISCARD_MS / 1000):
                for _ in range(MAX_DISCARDED_READS):
                    if not await self._read_some():
                        return

    async def wait_for_close(self) -> None:
        """Wait until the caller closes; buffer bytes received meanwhile."""
        while len(self.unread) <= READ_AHEAD_BYTES:
            data = await self._read_some()
            if not data:
                return
            self.unread += data
        # The reply fails on a close.
        self.writer.transport.pause_reading()
        await asyncio.Event().wait()

    async def _read_some(self) -> bytes:
        self.writer.transport.resume_reading()
        return await self.reader.read(READ_BYTES)

    async def _read_head(self, limits: Limits) -> None:
        while True:
            # Some clients send an extra empty line after a body.
            self.unread = self.unread.lstrip(b'\r\n')
            end = self.unread.find(HEAD_END)
            head = self.unread if end < 0 else self.unread[: end + 4]
            if len(head) > limits.max_head_bytes:
                raise BadRequestError(431, 'The head is too long.')
            if head.count(b'\n') != head.count(b'\r\n'):
                raise BadRequestError(400, 'A line ends without CR.')
            if end >= 0:
                return
            data = await self._read_some()
            if not data:
                raise ConnectionResetError
            self.unread += data

    async def _read_body(self, limits: Limits) -> message.Request:
        head_size = self.unread.find(HEAD_END) + len(HEAD_END)
        self.state.receive_data(self.unread[:head_size])
        self.unread = self.unread[head_size:]
        head = None
        body = requestbody.RequestBody()
        while True:
            event = self.state.next_event()
            if event is h11.NEED_DATA:
                await self._reserve(body)
                body.parts += body.feed(
                    self.state, await self._receive(limits)
                )
            elif isinstance(event, h11.Request):
                body.declared = _check_framing(event, limits)
                head = event
                self._begin_body(body)
            elif isinstance(event, h11.Data):
                body.add(event.data)
                if body.parts > MAX_PARTS:
                    await self._take_turn(body)
                if body.size > limits.max_body_bytes:
                    raise BadRequestError(413, 'The body is too long.')
            elif isinstance(event, h11.EndOfMessage):
                self._end_body()
                return _make_request(head, body.take())
            else:
                raise ConnectionResetError

    def _begin_body(self, body: requestbody.RequestBody) -> None:
        """Take what came with the head; requests behind it stay unread."""
        if body.declared is None:
            body.parts += body.feed(self.state, self.unread)
            self.unread = b''
        elif body.declared and self.unread:
            self.state.receive_data(self.unread[: body.declared])
            self.unread = self.unread[body.declared :]

    async def _take_turn(self, body: requestbody.RequestBody) -> None:
        """Let other work run after many parts of a body."""
        body.parts = 0
        transport = self.writer.transport
        receivesize.limit_receive_size(transport, HEAD_READ_BYTES)
        transport.pause_reading()
        if self.share is not None:
            self.share.is_waiting = True
        await self.load.turns.take()
        if self.share is not None:
            self.share.is_waiting = False
        transport.resume_reading()

    async def _reserve(self, body: requestbody.RequestBody) -> None:
        """Reserve memory for the next part; raise MemoryShortError."""
        size = body.get_reservation()
        if not size or (self.share is not None and size <= self.share.size):
            return
        transport = self.writer.transport
        if self.share is None:
            self.share = self.load.memory.open(self._evict)
            receivesize.limit_receive_size(transport, READ_BYTES)
        if not self.load.memory.has_room(size - self.share.size):
            transport.pause_reading()
        await self.share.resize(size)
        transport.resume_reading()

    def _evict(self) -> None:
        self.reader.set_exception(callermemory.MemoryShortError())

    def _end_body(self) -> None:
        if self.share is not None:
            # Its bytes are in use until the response is written.
            self.share.evict = None
            receivesize.limit_receive_size(
                self.writer.transport, HEAD_READ_BYTES
            )

    async def _receive(self, limits: Limits) -> bytes:
        if self.state.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.state.send(event))
        try:
            async with asyncio.timeout(limits.idle_timeout_ms / 1000):
                data = await self._read_some()
        except TimeoutError:
            raise BadRequestError(408, 'The body took too long.') from None
        if not data:
            raise ConnectionResetError
        self.on_progress()
        if self.share is not None:
            self.share.record_progress(len(data))
        return data


def _ignore() -> None:
    pass


def _check_framing(head: h11.Request, limits: Limits) -> int | None:
    """Return the declared length of the body, or None if it is chunked."""
    names = [name for name, _ in head.headers]
    if b'content-length' in names and b'transfer-encoding' in names:
        raise BadRequestError(400, 'The body has two lengths.')
    if b'transfer-encoding' in names:
        return None
    size: int | None = 0
    for name, value in head.headers:
        if name != b'content-length':
            continue
        size = decoding.parse_count(value.decode('ascii', 'replace'))
        if size is None or size > limits.max_body_bytes:
            raise BadRequestError(413, 'The body is too long.')
    return size


def _make_request(head: h11.Request, body: bytes) -> message.Request:
    headers = tuple(
        (name.decode('ascii'), value.decode('latin-1'))
        for name, value in head.headers
    )
    return message.Request(
        head.method.decode('ascii'),
        head.target.decode('ascii'),
        headers,
        body,
    )
