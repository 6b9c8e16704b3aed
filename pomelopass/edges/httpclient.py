"""Send HTTP requests with h11 and reuse idle connections."""

import asyncio
from collections import abc
import math

import h11

from .. import decoding
from .. import message
from . import clientconnection
from . import connectionpool
from . import staggeredconnect

__all__ = ['HttpClient', 'get_idle_limit_ms']

CONNECT_TIMEOUT_MS = 1000
# The opening packet of one attempt may be lost.
MAX_CONNECT_ATTEMPTS = 3
IDLE_LIMIT_MS = 5000
# Upper bound for the idle timeout of a Keep-Alive header.
MAX_IDLE_LIMIT_MS = 60_000
# Longer than a round trip to another region.
RESET_WAIT_MS = 30
PROBE_RETRY_MS = 20
MAX_PROBES = 5
# Time from the choice of an idle connection until the request arrives.
KEEP_ALIVE_MARGIN_MS = 300
# Time from the first byte of a head to its end.
HEAD_TIMEOUT_MS = 1000
MAX_INFORMATIONAL_HEADS = 8


OpenConnection = abc.Callable[
    [str], abc.Awaitable[clientconnection.Connection]
]


class HttpClient:
    """Send requests over a pool of idle connections for each address.

    A connection is reused only after its response was read completely, so
    that a late response cannot be taken for that of another request.
    """

    def __init__(
        self,
        open_connection: OpenConnection = clientconnection.open_connection,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
    ) -> None:
        self.open_connection = open_connection
        self.connect_timeout_ms = connect_timeout_ms
        self.pool = connectionpool.ConnectionPool()

    async def open(
        self,
        address: str,
        request: message.Request,
        timeout_ms: float,
        fresh: bool = False,
        stall_ms: float | None = None,
        max_idle_ms: float = math.inf,
        may_send: abc.Callable[[], bool] = lambda: True,
        started_at_ms: int | None = None,
    ) -> message.OpenReply:
        """Send a request, return the response head; raise ExchangeError.

        The stall time limits each wait for more bytes, in milliseconds. A
        connection that was idle for longer than the maximum is not used.
        Nothing is sent unless may_send agrees once the connection is open.
        With a time of start, only an idle connection to a process that is
        known to have started then is used.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_ms / 1000
        connection = await self._connect(
            address, deadline, fresh, max_idle_ms, started_at_ms
        )
        if not may_send():
            connection.close()
            raise message.ExchangeError(message.WITHDRAWN, 0)
        connection.stall_ms = stall_ms
        connection.is_repeatable = not fresh
        self.pool.begin_use(address, connection)

        def end() -> None:
            self.pool.end_use(address, connection)
            connection.close()

        size = 0
        try:
            data = _encode_head(connection.state, request, address)
            body = _encode_body(connection.state, request)
            size = len(data) + len(body)
            connection.send(data, body)
            head = await _read_head(connection, deadline)
        except TimeoutError:
            end()
            raise message.ExchangeError(message.TIMEOUT, size) from None
        except (OSError, h11.ProtocolError):
            end()
            raise message.ExchangeError('reset', size) from None
        except asyncio.CancelledError:
            end()
            raise
        headers = tuple(
            (name.decode(), value.decode('latin-1'))
            for name, value in head.headers
        )
        connection.idle_limit_ms = get_idle_limit_ms(headers)
        chunks = self._read_chunks(address, connection, deadline, size)
        return message.OpenReply(
            head.status_code, headers, chunks, size, end, connection
        )

    async def can_connect(self, address: str) -> bool:
        """Return whether a connection to the address opens and stays."""
        deadline = (
            asyncio.get_running_loop().time() + self.connect_timeout_ms / 1000
        )
        try:
            connection = await self._connect(address, deadline, fresh=True)
        except message.ExchangeError:
            return False
        stays_open = await _stays_open(connection)
        connection.close()
        return stays_open

    async def is_refused(self, address: str, timeout_ms: float) -> bool:
        """Return whether connections are refused; a timeout is not a refusal.

        A reset is inconclusive: a terminating process may still accept
        connections, and an overloaded one resets those it cannot serve.
        """
        for _ in range(MAX_PROBES):
            deadline = asyncio.get_running_loop().time() + timeout_ms / 1000
            try:
                connection = await self._connect(address, deadline, fresh=True)
            except message.ExchangeError as error:
                return error.kind == 'connect-failed'
            stays_open = await _stays_open(connection)
            connection.close()
            if stays_open:
                return False
            await asyncio.sleep(PROBE_RETRY_MS / 1000)
        return False

    async def close(self) -> None:
        """Close the idle connections."""
        self.pool.close_idle()

    async def _connect(
        self,
        address: str,
        deadline: float,
        fresh: bool,
        max_idle_ms: float = math.inf,
        started_at_ms: int | None = None,
    ) -> clientconnection.Connection:
        if not fresh:
            connection = self.pool.take_idle(
                address, max_idle_ms, started_at_ms
            )
            if connection is not None:
                return connection
        if started_at_ms is not None:
            raise message.ExchangeError(message.NOT_CONNECTED, 0)
        loop = asyncio.get_running_loop()
        connect_deadline = min(
            deadline, loop.time() + self.connect_timeout_ms / 1000
        )
        try:
            async with asyncio.timeout_at(connect_deadline):
                connected = await staggeredconnect.connect_first(
                    (address,) * MAX_CONNECT_ATTEMPTS,
                    self.open_connection,
                    _drop,
                    _raise_failure,
                )
                return connected.connection
        except TimeoutError:
            raise message.ExchangeError('connect-timeout', 0) from None
        except OSError:
            raise message.ExchangeError('connect-failed', 0) from None

    async def _read_chunks(
        self,
        address: str,
        connection: clientconnection.Connection,
        deadline: float,
        bytes_written: int,
    ) -> abc.AsyncGenerator[bytes, None]:
        try:
            is_complete = False
            while not is_complete:
                data, is_complete = await connection.read_data(deadline)
                if data:
                    yield data
        except TimeoutError:
            raise message.ExchangeError(
                message.TIMEOUT, bytes_written
            ) from None
        except (OSError, h11.ProtocolError):
            raise message.ExchangeError('truncated', bytes_written) from None
        finally:
            self.pool.release(address, connection)


async def _read_head(
    connection: clientconnection.Connection, deadline: float
) -> h11.Response:
    for _ in range(MAX_INFORMATIONAL_HEADS):
        event = await connection.next_head(deadline, HEAD_TIMEOUT_MS)
        if not isinstance(event, h11.InformationalResponse):
            break
    if not isinstance(event, h11.Response):
        raise h11.RemoteProtocolError(
            'no response head, or too many informational ones'
        )
    return event


def _drop(connection: clientconnection.Connection) -> None:
    connection.close()


def _raise_failure(address: str, error: Exception) -> None:
    """Raise the failure of an attempt: others would fail alike."""
    raise error


async def _stays_open(connection: clientconnection.Connection) -> bool:
    try:
        async with asyncio.timeout(RESET_WAIT_MS / 1000):
            return bool(await connection.reader.read(1))
    except TimeoutError:
        return True
    except OSError:
        return False


def get_idle_limit_ms(headers: message.Headers) -> float:
    """Return for how long a connection may be reused, in milliseconds."""
    # RFC 9112 does not define the parameters of the Keep-Alive header.
    value = message.find_header(headers, 'keep-alive') or ''
    for parameter in value.split(','):
        name, _, number = parameter.strip().partition('=')
        timeout_s = decoding.parse_count(number)
        if name.lower() == 'timeout' and timeout_s is not None:
            keep_alive_ms = timeout_s * 1000 - KEEP_ALIVE_MARGIN_MS
            return min(float(keep_alive_ms), float(MAX_IDLE_LIMIT_MS))
    return float(IDLE_LIMIT_MS)


def _encode_head(
    state: h11.Connection, request: message.Request, address: str
) -> bytes:
    headers = list(request.headers)
    if message.find_header(request.headers, 'host') is None:
        headers.insert(0, ('host', address))
    headers.append(('content-length', str(len(request.body))))
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=message.encode_headers(headers),
    )
    return state.send(head)


def _encode_body(state: h11.Connection, request: message.Request) -> bytes:
    # A body with a length is sent as it is.
    state.send(h11.Data(data=request.body))
    state.send(h11.EndOfMessage())
    return request.body
