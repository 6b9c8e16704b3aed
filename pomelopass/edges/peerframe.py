"""Frame thrift messages on streams."""

import asyncio
import struct

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

__all__ = ['FrameError', 'make_reader', 'make_writer', 'read_frame']

MAX_FRAME_BYTES = 1_048_576
MAX_STRING_BYTES = 1_048_576
MAX_CONTAINER_ITEMS = 10_000
LENGTH = struct.Struct('>I')


class FrameError(ValueError):
    """Tell that a frame is too large or cannot be read."""


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the next frame; raise FrameError when it is too large."""
    head = await reader.readexactly(LENGTH.size)
    size = LENGTH.unpack(head)[0]
    if size > MAX_FRAME_BYTES:
        raise FrameError(f'{size} bytes')
    return await reader.readexactly(size)


def make_frame(data: bytes) -> bytes:
    """Return the data with its length before it."""
    return LENGTH.pack(len(data)) + data


def make_reader(data: bytes) -> TCompactProtocol.TCompactProtocol:
    """Return a protocol that reads the data within limits."""
    return TCompactProtocol.TCompactProtocol(
        TTransport.TMemoryBuffer(data),
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )


def make_writer() -> TCompactProtocol.TCompactProtocol:
    """Return a protocol that writes to memory."""
    return TCompactProtocol.TCompactProtocol(TTransport.TMemoryBuffer())
