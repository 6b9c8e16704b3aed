"""Serve HTTP with h11."""

import asyncio
from collections import abc
import contextlib

import h11

from .. import message
from . import requestreader

__all__ = ['HttpServer', 'start_server']

READ_BYTES = 65_536
WRITE_BUFFER_BYTES = 65_536
HEAD_TIMEOUT_MS = 10_000
IDLE_TIMEOUT_MS = 60_000
STALL_LIMIT_MS = 30_000
MAX_HEAD_BYTES = 32_768

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
        self.max_connections = max_connections
        self.limits = requestreader.Limits(
            MAX_HEAD_BYTES, max_body_bytes, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS
        )
        self.closing = False
        self.in_flight = 0
        # When the last request came, on the clock of the loop.
        self.last_request_at_s = float('-inf')
        self.connections = 0
        self.idle: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    def stop_keep_alive(self) -> None:
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
        requests = requestreader.RequestReader(reader, writer)
        try:
            if self.connections > self.max_connections:
                refusal = self.make_refusal(503, 'Too many connections.')
                await self._write(requests.state, writer, refusal)
                return
            while await self._serve_one(requests, writer):
                requests.start_next()
        except (OSError, TimeoutError, h11.LocalProtocolError):
            pass
        finally:
            self.connections -= 1
            self.idle.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        requests: requestreader.RequestReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        try:
            self.idle.add(writer)
            request = await requests.read(self.limits)
        except requestreader.BadRequestError as error:
            refusal = self.make_refusal(error.status, error.detail)
            await self._write(requests.state, writer, refusal, close=True)
            return False
        finally:
            self.idle.discard(writer)
        if request is None:
            return False
        self.in_flight += 1
        self.last_request_at_s = asyncio.get_running_loop().time()
        try:
            answered = await self._answer(requests, writer, request)
        finally:
            self.in_flight -= 1
        state = requests.state
        done = state.our_state is h11.DONE and state.their_state is h11.DONE
        return answered and done and not self.closing

    async def _answer(
        self,
        requests: requestreader.RequestReader,
        writer: asyncio.StreamWriter,
        request: message.Request,
    ) -> bool:
        # A caller that closes ends the work done for it.
        work = asyncio.ensure_future(
            self._handle(requests.state, writer, request)
        )
        closed = asyncio.ensure_future(requests.wait_for_close())
        try:
            await asyncio.wait(
                (work, closed), return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                work.result()
                return True
            return False
        finally:
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

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
