"""Describe HTTP messages without the connection that carries them."""

from collections import abc
import dataclasses

__all__ = [
    'DISCONNECT_KINDS',
    'ExchangeError',
    'OpenReply',
    'Reply',
    'Request',
    'find_header',
]

# How an exchange ends when the far side breaks it off.
DISCONNECT_KINDS = ('reset', 'truncated')

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold a request with its whole body."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold a reply; the chunks, if any, come after the body."""

    status: int
    headers: Headers = ()
    body: bytes = b''
    chunks: abc.AsyncGenerator[bytes, None] | None = None


class OpenReply:
    """Hold a reply whose body is still coming in."""

    def __init__(
        self,
        status: int,
        headers: Headers,
        chunks: abc.AsyncGenerator[bytes, None],
        bytes_written: int,
        abort: abc.Callable[[], None] | None = None,
    ):
        self.status = status
        self.headers = headers
        self.chunks = chunks
        self.bytes_written = bytes_written
        self.abort = abort

    async def close(self) -> None:
        """Give the rest of the reply up and close its connection."""
        await self.chunks.aclose()
        # A generator that never began runs no clean-up of its own.
        if self.abort is not None:
            self.abort()

    async def read(self, limit: int) -> bytes:
        """Return the whole body; raise ExchangeError past the limit."""
        parts = []
        size = 0
        async for part in self.chunks:
            size += len(part)
            if size > limit:
                await self.chunks.aclose()
                raise ExchangeError('reply-too-large', self.bytes_written)
            parts.append(part)
        return b''.join(parts)


class ExchangeError(Exception):
    """Tell that an exchange failed and how many bytes had been written."""

    def __init__(self, kind: str, bytes_written: int):
        super().__init__(kind)
        self.kind = kind
        self.bytes_written = bytes_written


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first header of the lower-case name, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None
