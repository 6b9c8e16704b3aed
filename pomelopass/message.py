"""Represent HTTP messages independently of their connection."""

import asyncio
from collections import abc
import dataclasses

from . import answermemory

__all__ = [
    'DISCONNECT_KINDS',
    'NOT_CONNECTED',
    'TIMEOUT',
    'WITHDRAWN',
    'ExchangeError',
    'OpenReply',
    'Reply',
    'Request',
    'encode_headers',
    'find_header',
]

# Kind of failure of an exchange in which no more bytes came in time.
TIMEOUT = 'timeout'
# Kind of failure of a request for which no connection was open.
NOT_CONNECTED = 'not-connected'
# Kind of failure of a request that might not be sent any more.
WITHDRAWN = 'withdrawn'
# Kinds of ExchangeError when the remote side closes the connection.
DISCONNECT_KINDS = ('reset', 'truncated')

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply; the chunks, if any, follow the body."""

    status: int
    headers: Headers = ()
    body: bytes = b''
    chunks: abc.AsyncGenerator[bytes, None] | None = None
    # Counts the body in the memory of the instance.
    kept: answermemory.Share | None = None


class OpenReply:
    """A reply whose body is still being received."""

    def __init__(
        self,
        status: int,
        headers: Headers,
        chunks: abc.AsyncGenerator[bytes, None],
        bytes_written: int,
        abort: abc.Callable[[], None] | None = None,
        connection: object = None,
    ):
        self.status = status
        self.headers = headers
        self.chunks = chunks
        self.bytes_written = bytes_written
        self.abort = abort
        # What carries it, for its client.
        self.connection = connection

    async def close(self) -> None:
        """Discard the rest of the reply and close its connection."""
        await self.chunks.aclose()
        # A generator that was never started does not run its cleanup.
        if self.abort is not None:
            self.abort()

    async def discard(self, limit: int, timeout_ms: float) -> None:
        """Read a short rest so that the connection can be reused, or close."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self.read(limit)
        except (ExchangeError, TimeoutError):
            # The rest says nothing, and may never end.
            await self.close()

    async def read(self, limit: int) -> bytes:
        """Return the complete body; raise ExchangeError above the limit."""
        parts = []
        size = 0
        async for chunk in self.chunks:
            size += len(chunk)
            if size > limit:
                await self.chunks.aclose()
                raise ExchangeError('reply-too-large', self.bytes_written)
            parts.append(chunk)
        return b''.join(parts)


class ExchangeError(Exception):
    """Failure of an exchange and the number of bytes written before."""

    def __init__(self, kind: str, bytes_written: int):
        super().__init__(kind)
        self.kind = kind
        self.bytes_written = bytes_written


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as they are sent.

    Received bytes are kept as Latin-1 text. Other text, of a trainer's items,
    is sent as UTF-8.
    """
    return [
        (_encode_text(name), _encode_text(value)) for name, value in headers
    ]


def _encode_text(text: str) -> bytes:
    try:
        return text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode('utf-8', 'replace')


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first header with the lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None
