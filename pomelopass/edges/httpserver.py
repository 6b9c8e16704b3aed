"""Serve HTTP with h11."""

import asyncio
from collections import abc
import contextlib

import h11

from .. import message

__all__ = ['HttpServer', 'start_server']

READ_BYTES = 65_536
WRITE_BUFFER_BYTES = 65_536
HEAD_TIMEOUT_MS = 60_000
STALL_LIMIT_MS = 30_000
MAX_HEAD_BYTES = 32_768
HEADER_EXTRA_BYTES = 4

Handler = abc.Callable[[message.Request], abc.Awaitable[message.Reply]]
MakeRefusal = abc.Callable[[int, str], message.Reply]


class HttpServer:
    """Hold the open connections of one listening address."""

    def __init__(
        self,
        handler: Handler,
        make_refusal: MakeRefusal,
        max_body_bytes: int,
        max_connections: int,
    ):
        self.handler = handler
        self.make_refusal = make_refusal
        self.max_body_bytes = max_body_bytes
        self.max_connections = max_connections
        self.closing = False
        self.in_flight = 0
        self.connections = 0
        self.idle: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    def stop_keeping(self) -> None:
        """End each connection after its current request."""
        self.closing = True

    async def close(self) -> None:
        """Stop listening and close the connections without a request."""
        self.closing = True
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.idle):
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection in turn."""
        self.connections += 1
        writer.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        try:
            if self.connections > self.max_connections:
                refusal = self.make_refusal(503, 'Too many connections.')
                await self._write(state, writer, refusal)
                return
            while await self._serve_one(state, reader, writer):
                state.start_next_cycle()
        except (OSError, TimeoutError, h11.LocalProtocolError):
            pass
        finally:
            self.connections -= 1
            self.idle.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        state: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        try:
            self.idle.add(writer)
            request = await self._read(state, reader, writer)
        except h11.RemoteProtocolError as error:
            detail = f'The request is not HTTP: {error}.'
            await self._refuse(state, writer, error.error_status_hint, detail)
            return False
        except _TooLargeError:
            detail = f'The limit is {self.max_body_bytes} bytes.'
            await self._refuse(state, writer, 413, detail)
            return False
        if request is None:
            return False
        self.in_flight += 1
        try:
            reply = await self.handler(request)
            await self._write(state, writer, reply)
        finally:
            self.in_flight -= 1
        done = state.our_state is h11.DONE and state.their_state is h11.DONE
        return done and not self.closing

    async def _read(
        self,
        state: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> message.Request | None:
        head = None
        parts: list[bytes] = []
        size = 0
        async with asyncio.timeout(HEAD_TIMEOUT_MS / 1000):
            while True:
                event = state.next_event()
                if event is h11.NEED_DATA:
                    if state.they_are_waiting_for_100_continue:
                        writer.write(_encode_continue(state))
                    state.receive_data(await reader.read(READ_BYTES))
                elif isinstance(event, h11.Request):
                    _check_head(event)
                    head = event
                    self.idle.discard(writer)
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > self.max_body_bytes:
                        raise _TooLargeError
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    return _make_request(head, b''.join(parts))
                else:
                    return None

    async def _refuse(
        self,
        state: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        detail: str,
    ) -> None:
        if state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            reply = self.make_refusal(status, detail)
            await self._write(state, writer, reply, close=True)

    async def _write(
        self,
        state: h11.Connection,
        writer: asyncio.StreamWriter,
        reply: message.Reply,
        close: bool = False,
    ) -> None:
        headers = list(reply.headers)
        if close or self.closing:
            headers.append(('connection', 'close'))
        if reply.chunks is None:
            headers.append(('content-length', str(len(reply.body))))
        else:
            headers.append(('transfer-encoding', 'chunked'))
        head = h11.Response(status_code=reply.status, headers=headers)
        data = state.send(head)
        if reply.body:
            data += state.send(h11.Data(data=reply.body))
        if reply.chunks is None:
            writer.write(data + state.send(h11.EndOfMessage()))
            await _drain(writer)
            return
        writer.write(data)
        await _write_chunks(state, writer, reply.chunks)


class _TooLargeError(Exception):
    pass


async def start_server(
    server: HttpServer, address: str
) -> tuple[str, asyncio.Server]:
    """Listen on an address; return it with the port that was taken."""
    host, _, port = address.rpartition(':')
    listener = await asyncio.start_server(
        server.serve, host.strip('[]'), int(port), limit=READ_BYTES
    )
    server.listener = listener
    taken = listener.sockets[0].getsockname()[1]
    return f'{host}:{taken}', listener


async def _write_chunks(
    state: h11.Connection,
    writer: asyncio.StreamWriter,
    chunks: abc.AsyncGenerator[bytes, None],
) -> None:
    async with contextlib.aclosing(chunks):
        async for chunk in chunks:
            writer.write(state.send(h11.Data(data=chunk)))
            await _drain(writer)
    writer.write(state.send(h11.EndOfMessage()))
    await _drain(writer)


async def _drain(writer: asyncio.StreamWriter) -> None:
    if writer.transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
        async with asyncio.timeout(STALL_LIMIT_MS / 1000):
            await writer.drain()
    elif writer.transport.is_closing():
        raise ConnectionResetError


def _encode_continue(state: h11.Connection) -> bytes:
    event = h11.InformationalResponse(status_code=100, headers=[])
    return state.send(event)


def _check_head(head: h11.Request) -> None:
    # h11 limits only heads that come in several reads.
    size = len(head.target)
    for name, value in head.headers:
        size += len(name) + len(value) + HEADER_EXTRA_BYTES
    if size > MAX_HEAD_BYTES:
        raise h11.RemoteProtocolError(
            f'over {MAX_HEAD_BYTES} bytes', error_status_hint=431
        )


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
