"""Keep the body of a request while it is received."""

import io

import h11

from . import callermemory
from . import chunkjoiner

__all__ = ['RequestBody']

# Steps in which a body of unknown length reserves memory.
STEP_BYTES = 65_536


class RequestBody:
    """Bytes of a body, stored without a copy for each part received."""

    def __init__(self) -> None:
        # BytesIO returns its value without another copy.
        self.buffer = io.BytesIO()
        self.size = 0
        # Length in the head of the request, None for a chunked body.
        self.declared: int | None = 0
        self.joiner: chunkjoiner.ChunkJoiner | None = None
        # Parts that were parsed since the last turn.
        self.parts = 0

    def add(self, data: bytes | bytearray) -> None:
        """Append received bytes."""
        self.buffer.write(data)
        self.size += len(data)
        self.parts += 1

    def feed(self, state: h11.Connection, data: bytes) -> int:
        """Pass received bytes to the parser; return the chunks joined."""
        joined = 0
        if self.declared is None:
            if self.joiner is None:
                self.joiner = chunkjoiner.ChunkJoiner()
            data = self.joiner.join(data)
            joined = self.joiner.joined
        # To the parser, empty data means the end of the connection.
        if data:
            state.receive_data(data)
        return joined

    def take(self) -> bytes:
        """Return the whole body."""
        return self.buffer.getvalue()

    def get_reservation(self) -> int:
        """Return the bytes to reserve before more is read."""
        if self.declared is None:
            if self.size <= callermemory.FREE_BYTES:
                return 0
            return (self.size // STEP_BYTES + 1) * STEP_BYTES
        is_free = self.declared <= callermemory.FREE_BYTES
        return 0 if is_free else self.declared
