"""Send HTTP requests with h11 and keep idle connections."""

import asyncio
from collections import abc

import h11

from .. import message

__all__ = ['HttpClient']

CONNECT_TIMEOUT_MS = 1000
IDLE_LIMIT_MS = 5000
MAX_IDLE_PER_ADDRESS = 32
READ_BYTES = 65_536


class _Connection:
    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0

    def close(self) -> None:
        self.writer.close()

    async def next_event(self, deadline: float):
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.receive(deadline)

    async def read_data(self, deadline: float) -> tuple[bytes, bool]:
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
        async with asyncio.timeout_at(deadline):
            data = await self.reader.read(READ_BYTES)
        self.state.receive_data(data)


class HttpClient:
    """Hold idle connections by address.

    A connection is used again only after its reply came in whole, so that
    no late answer can reach another request.
    """

    def __init__(self) -> None:
        self.idle_by_address: dict[str, list[_Connection]] = {}

    async def open(
        self,
        address: str,
        request: message.Request,
        timeout_ms: float,
        fresh: bool = False,
    ) -> message.OpenReply:
        """Return the head of the reply; raise ExchangeError."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1000
        connection = await self._connect(address, deadline, fresh)
        written = 0
        try:
            data = _encode(connection.state, request, address)
            written = len(data)
            connection.writer.write(data)
            async with asyncio.timeout_at(deadline):
                await connection.writer.drain()
            event = await connection.next_event(deadline)
            while isinstance(event, h11.InformationalResponse):
                event = await connection.next_event(deadline)
        except TimeoutError:
            connection.close()
            raise message.ExchangeError('timeout', written) from None
        except (OSError, h11.ProtocolError):
            connection.close()
            raise message.ExchangeError('reset', written) from None
        except asyncio.CancelledError:
            connection.close()
            raise
        if not isinstance(event, h11.Response):
            connection.close()
            raise message.ExchangeError('reset', written)
        headers = tuple(
            (name.decode(), value.decode('latin-1'))
            for name, value in event.headers
        )
        chunks = self._read_chunks(address, connection, deadline, written)
        return message.OpenReply(event.status_code, headers, chunks, written)

    async def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle_by_address.values():
            for connection in connections:
                connection.close()
        self.idle_by_address.clear()

    async def _connect(
        self, address: str, deadline: float, fresh: bool
    ) -> _Connection:
        if not fresh:
            connection = self._take_idle(address)
            if connection is not None:
                return connection
        loop = asyncio.get_running_loop()
        limit = min(deadline, loop.time() + CONNECT_TIMEOUT_MS / 1000)
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout_at(limit):
                reader, writer = await asyncio.open_connection(
                    host.strip('[]'), int(port)
                )
        except TimeoutError:
            raise message.ExchangeError('connect-timeout', 0) from None
        except OSError:
            raise message.ExchangeError('connect-failed', 0) from None
        return _Connection(reader, writer)

    def _take_idle(self, address: str) -> _Connection | None:
        now = asyncio.get_running_loop().time()
        connections = self.idle_by_address.get(address, [])
        while connections:
            connection = connections.pop()
            old = now - connection.idle_since > IDLE_LIMIT_MS / 1000
            if old or connection.reader.at_eof():
                connection.close()
                continue
            return connection
        return None

    async def _read_chunks(
        self,
        address: str,
        connection: _Connection,
        deadline: float,
        written: int,
    ) -> abc.AsyncGenerator[bytes, None]:
        try:
            ended = False
            while not ended:
                data, ended = await connection.read_data(deadline)
                if data:
                    yield data
        except TimeoutError:
            raise message.ExchangeError('timeout', written) from None
        except (OSError, h11.ProtocolError):
            raise message.ExchangeError('truncated', written) from None
        finally:
            self._keep_or_close(address, connection)

    def _keep_or_close(self, address: str, connection: _Connection) -> None:
        connections = self.idle_by_address.setdefault(address, [])
        done = connection.state.their_state is h11.DONE
        leftover = connection.state.trailing_data[0]
        if not done or leftover or len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.state.start_next_cycle()
        connection.idle_since = asyncio.get_running_loop().time()
        connections.append(connection)


def _encode(
    state: h11.Connection, request: message.Request, address: str
) -> bytes:
    headers = [
        ('host', address),
        *request.headers,
        ('content-length', str(len(request.body))),
    ]
    head = h11.Request(
        method=request.method, target=request.target, headers=headers
    )
    data = state.send(head)
    if request.body:
        data += state.send(h11.Data(data=request.body))
    return data + state.send(h11.EndOfMessage())
