"""Serve HTTP with h11."""

import asyncio
from collections import abc
import contextlib
import functools
import socket
import struct

import h11

from .. import message
from . import callerload
from . import callermemory
from . import connectionlimit
from . import requestreader

__all__ = ['HttpServer', 'start_server']

# Unread bytes above twice this pause a connection.
UNREAD_BYTES = 32_768
WRITE_BUFFER_BYTES = 65_536
HEAD_TIMEOUT_MS = 10_000
IDLE_TIMEOUT_MS = 60_000
WRITE_STALL_TIMEOUT_MS = 30_000
MAX_HEAD_BYTES = 32_768
# SO_LINGER with a linger time of 0 s.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)

Handler = abc.Callable[[message.Request], abc.Awaitable[message.Reply]]
MakeRefusal = abc.Callable[[int, str], message.Reply]


class HttpServer:
    """Serve the HTTP connections of one listening address."""

    def __init__(
        self,
        handler: Handler,
        make_refusal: MakeRefusal,
        max_body_bytes: int,
        max_connections: int,
        load: callerload.CallerLoad | None = None,
    ):
        self.handler = handler
        self.make_refusal = make_refusal
        self.connections = connectionlimit.ConnectionLimit(max_connections)
        # Shared by all servers of a process; without a limit by default.
        self.load = load or callerload.CallerLoad()
        self.limits = requestreader.Limits(
            MAX_HEAD_BYTES, max_body_bytes, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS
        )
        self.closing = False
        self.in_flight = 0
        # Event loop time at which the last request was received.
        self.last_request_at_s = float('-inf')
        self.connection_count = 0
        self.idle_writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    def stop_keep_alive(self) -> None:
        """Close each connection after its current request."""
        self.closing = True

    async def close(self) -> None:
        """Stop listening and close idle connections."""
        self.closing = True
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.idle_writers):
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection sequentially."""
        self.connection_count += 1
        writer.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        request_reader = requestreader.RequestReader(reader, writer, self.load)
        slot = self.connections.admit(writer)
        try:
            if slot is None:
                refusal = self.make_refusal(503, 'Too many connections.')
                await self._write(request_reader.state, writer, refusal)
                return
            request_reader.on_progress = functools.partial(
                self.connections.end_use, slot
            )
            while await self._serve_request(request_reader, writer, slot):
                request_reader.start_next()
                slot.is_pipelining = bool(request_reader.unread)
                self.connections.end_use(slot)
                await _wait_until_sent(writer)
        except (OSError, TimeoutError, h11.LocalProtocolError):
            pass
        finally:
            self.connection_count -= 1
            request_reader.release()
            if slot is not None:
                self.connections.release(slot)
            self.idle_writers.discard(writer)
            _close(request_reader.state, writer)

    async def _serve_request(
        self,
        request_reader: requestreader.RequestReader,
        writer: asyncio.StreamWriter,
        slot: connectionlimit.Slot,
    ) -> bool:
        request = refusal = None
        try:
            self.idle_writers.add(writer)
            request = await request_reader.read(self.limits)
        except requestreader.BadRequestError as error:
            refusal = self.make_refusal(error.status, error.detail)
        finally:
            self.idle_writers.discard(writer)
        if refusal is not None:
            # The error, whose traceback refers to the body, is released here.
            request_reader.release()
            await self._write(
                request_reader.state, writer, refusal, close=True
            )
            await request_reader.discard_rest()
        if request is None:
            return False
        self.connections.begin_use(slot)
        self.in_flight += 1
        self.last_request_at_s = asyncio.get_running_loop().time()
        try:
            is_answered = await self._answer(request_reader, writer, request)
        finally:
            self.in_flight -= 1
        state = request_reader.state
        is_finished = (
            state.our_state is h11.DONE and state.their_state is h11.DONE
        )
        return is_answered and is_finished and not self.closing

    async def _answer(
        self,
        request_reader: requestreader.RequestReader,
        writer: asyncio.StreamWriter,
        request: message.Request,
    ) -> bool:
        # Cancels the handler if the caller closes the connection.
        handling = asyncio.ensure_future(
            self._handle(request_reader.state, writer, request)
        )
        closed = asyncio.ensure_future(request_reader.wait_for_close())
        try:
            await asyncio.wait(
                (handling, closed), return_when=asyncio.FIRST_COMPLETED
            )
            if handling.done():
                handling.result()
                return True
            return False
        finally:
            for task in (handling, closed):
                task.cancel()
            await asyncio.gather(handling, closed, return_exceptions=True)

    async def _handle(
        self,
        state: h11.Connection,
        writer: asyncio.StreamWriter,
        request: message.Request,
    ) -> None:
        reply = await self.handler(request)
        await self._write(state, writer, reply)

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
        head = h11.Response(
            status_code=reply.status, headers=message.encode_headers(headers)
        )
        data = state.send(head)
        if len(reply.body) > WRITE_BUFFER_BYTES:
            await self._write_large_body(state, writer, data, reply)
            data = b''
        elif reply.body:
            data += state.send(h11.Data(data=reply.body))
        if reply.chunks is None:
            writer.write(data + state.send(h11.EndOfMessage()))
            await _drain(writer)
            return
        writer.write(data)
        await _write_chunks(state, writer, reply.chunks)

    async def _write_large_body(
        self,
        state: h11.Connection,
        writer: asyncio.StreamWriter,
        head: bytes,
        reply: message.Reply,
    ) -> None:
        """Write a body in parts; a caller that reads slowly may lose it."""
        memory = self.load.memory
        share = memory.open(writer.transport.abort)
        size = len(reply.body)
        try:
            if reply.kept is not None:
                reply.kept.discard = writer.transport.abort
            else:
                # A body larger than the whole account waits for all of it.
                await share.resize(int(min(size, memory.max_bytes)))
            writer.write(head)
            for start in range(0, size, WRITE_BUFFER_BYTES):
                part = reply.body[start : start + WRITE_BUFFER_BYTES]
                writer.write(state.send(h11.Data(data=part)))
                await _drain(writer)
                share.record_progress(len(part))
        except callermemory.MemoryShortError:
            # The request has run, so that no refusal may be sent.
            raise ConnectionResetError from None
        finally:
            share.close()


async def start_server(
    server: HttpServer, address: str
) -> tuple[str, asyncio.Server]:
    """Listen on an address; return it with the bound port."""
    host, _, port = address.rpartition(':')
    listener = await asyncio.start_server(
        server.serve, host.strip('[]'), int(port), limit=UNREAD_BYTES
    )
    server.listener = listener
    # Accepted connections inherit it.
    listener.sockets[0].setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, WRITE_BUFFER_BYTES
    )
    bound_port = listener.sockets[0].getsockname()[1]
    return f'{host}:{bound_port}', listener


def _close(state: h11.Connection, writer: asyncio.StreamWriter) -> None:
    """Close a connection so that a broken reply does not look complete."""
    is_broken = state.our_state is h11.SEND_BODY
    if is_broken and state.their_http_version == b'1.0':
        # Such a reply has neither a length nor chunks.
        connected_socket = writer.get_extra_info('socket')
        with contextlib.suppress(OSError):
            connected_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        writer.transport.abort()
    writer.close()


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


async def _wait_until_sent(writer: asyncio.StreamWriter) -> None:
    """Wait until all responses are sent, without reading meanwhile.

    A caller that sends requests and reads no response can't fill the memory.
    """
    transport = writer.transport
    if not transport.get_write_buffer_size():
        return
    transport.pause_reading()
    transport.set_write_buffer_limits(0)
    async with asyncio.timeout(WRITE_STALL_TIMEOUT_MS / 1000):
        await writer.drain()
    transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)


async def _drain(writer: asyncio.StreamWriter) -> None:
    if writer.transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
        async with asyncio.timeout(WRITE_STALL_TIMEOUT_MS / 1000):
            await writer.drain()
    elif writer.transport.is_closing():
        raise ConnectionResetError
