"""Send HTTP requests with h11 and keep idle connections."""

import asyncio
from collections import abc

import h11

from .. import message
from . import clientconnection

__all__ = ['HttpClient']

CONNECT_TIMEOUT_MS = 1000
IDLE_LIMIT_MS = 5000
# Idle connections older than this are closed whatever their server told.
TOLD_IDLE_LIMIT_MS = 60_000
MAX_IDLE_PER_ADDRESS = 32
# Longer than the way to another region and back.
SETTLE_MS = 30
PROBE_RETRY_MS = 20
MAX_PROBES = 5
# Time between the decision to reuse a connection and the arrival of bytes.
KEEP_ALIVE_MARGIN_MS = 300


class HttpClient:
    """Hold idle connections by address.

    A connection is used again only after its reply came in whole, so that
    no late answer can reach another request.
    """

    def __init__(self) -> None:
        self.idle_by_address: dict[str, list[clientconnection.Connection]] = {}

    async def open(
        self,
        address: str,
        request: message.Request,
        timeout_ms: float,
        fresh: bool = False,
        stall_ms: float | None = None,
    ) -> message.OpenReply:
        """Return the head of the reply; raise ExchangeError.

        The stall time bounds each wait for more bytes, in milliseconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1000
        connection = await self._connect(address, deadline, fresh)
        connection.stall_ms = stall_ms
        data = b''
        try:
            data = _encode(connection.state, request, address)
            # No wait for the write: a reply may come before the whole body.
            connection.writer.write(data)
            head = await _read_head(connection, deadline)
        except TimeoutError:
            connection.close()
            raise message.ExchangeError('timeout', len(data)) from None
        except (OSError, h11.ProtocolError):
            connection.close()
            raise message.ExchangeError('reset', len(data)) from None
        except asyncio.CancelledError:
            connection.close()
            raise
        headers = tuple(
            (name.decode(), value.decode('latin-1'))
            for name, value in head.headers
        )
        connection.idle_limit_ms = _get_idle_limit_ms(headers)
        chunks = self._read_chunks(address, connection, deadline, len(data))
        return message.OpenReply(
            head.status_code, headers, chunks, len(data), connection.close
        )

    async def is_refused(self, address: str, timeout_ms: float) -> bool:
        """Say whether nothing listens at an address; silence is no answer.

        A reset alone tells nothing: an ending process may still take a
        connection, and a full one resets what it can't serve.
        """
        for _ in range(MAX_PROBES):
            deadline = asyncio.get_running_loop().time() + timeout_ms / 1000
            try:
                connection = await self._connect(address, deadline, fresh=True)
            except message.ExchangeError as error:
                return error.kind == 'connect-failed'
            held = await _is_held(connection)
            connection.close()
            if held:
                return False
            await asyncio.sleep(PROBE_RETRY_MS / 1000)
        return False

    async def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle_by_address.values():
            for connection in connections:
                connection.close()
        self.idle_by_address.clear()

    async def _connect(
        self, address: str, deadline: float, fresh: bool
    ) -> clientconnection.Connection:
        if not fresh:
            connection = self._take_idle(address)
            if connection is not None:
                return connection
        loop = asyncio.get_running_loop()
        limit = min(deadline, loop.time() + CONNECT_TIMEOUT_MS / 1000)
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout_at(limit):
                return await clientconnection.open_connection(
                    host.strip('[]'), int(port)
                )
        except TimeoutError:
            raise message.ExchangeError('connect-timeout', 0) from None
        except OSError:
            raise message.ExchangeError('connect-failed', 0) from None

    def _take_idle(self, address: str) -> clientconnection.Connection | None:
        now = asyncio.get_running_loop().time()
        connections = self.idle_by_address.get(address, [])
        while connections:
            connection = connections.pop()
            idle_ms = (now - connection.idle_since) * 1000
            old = idle_ms > connection.idle_limit_ms
            # Bytes that nobody asked for belong to no request of ours.
            dirty = connection.reader.at_eof() or connection.reader.unread
            if old or dirty or connection.writer.is_closing():
                connection.close()
                continue
            return connection
        return None

    async def _read_chunks(
        self,
        address: str,
        connection: clientconnection.Connection,
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

    def _keep_or_close(
        self, address: str, connection: clientconnection.Connection
    ) -> None:
        connections = self.idle_by_address.setdefault(address, [])
        done = connection.state.their_state is h11.DONE
        transport = connection.writer.transport
        leftover = (
            connection.state.trailing_data[0]
            or connection.reader.unread
            or transport.get_write_buffer_size()
        )
        if not done or leftover or len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.state.start_next_cycle()
        connection.idle_since = asyncio.get_running_loop().time()
        connections.append(connection)


async def _read_head(
    connection: clientconnection.Connection, deadline: float
) -> h11.Response:
    event = await connection.next_event(deadline)
    while isinstance(event, h11.InformationalResponse):
        event = await connection.next_event(deadline)
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError('closed before a head')
    return event


async def _is_held(connection: clientconnection.Connection) -> bool:
    try:
        async with asyncio.timeout(SETTLE_MS / 1000):
            return bool(await connection.reader.read(1))
    except TimeoutError:
        return True
    except OSError:
        return False


def _get_idle_limit_ms(headers: message.Headers) -> float:
    # RFC 9112 leaves the parameters of Keep-Alive to its senders.
    value = message.find_header(headers, 'keep-alive') or ''
    for part in value.split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout' and number.isdecimal():
            told_ms = int(number) * 1000 - KEEP_ALIVE_MARGIN_MS
            return min(float(told_ms), float(TOLD_IDLE_LIMIT_MS))
    return float(IDLE_LIMIT_MS)


def _encode(
    state: h11.Connection, request: message.Request, address: str
) -> bytes:
    headers = list(request.headers)
    if message.find_header(request.headers, 'host') is None:
        headers.insert(0, ('host', address))
    headers.append(('content-length', str(len(request.body))))
    head = h11.Request(
        method=request.method, target=request.target, headers=headers
    )
    data = state.send(head)
    if request.body:
        data += state.send(h11.Data(data=request.body))
    return data + state.send(h11.EndOfMessage())
