"""Encode thrift messages as length-prefixed frames."""

import asyncio
import struct

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

__all__ = [
    'FrameError',
    'make_reader',
    'make_writer',
    'read_frame',
    'read_size',
]

MAX_FRAME_BYTES = 1_048_576
MAX_STRING_BYTES = 1_048_576
MAX_CONTAINER_ITEMS = 10_000
LENGTH_PREFIX = struct.Struct('>I')


class FrameError(ValueError):
    """Signal a frame that is too large or malformed."""


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the payload of the next frame; raise FrameError if too large."""
    return await reader.readexactly(await read_size(reader))


async def read_size(reader: asyncio.StreamReader) -> int:
    """Return the size of the next frame; raise FrameError if too large."""
    prefix = await reader.readexactly(LENGTH_PREFIX.size)
    size = LENGTH_PREFIX.unpack(prefix)[0]
    if size > MAX_FRAME_BYTES:
        raise FrameError(f'{size} bytes exceed the frame limit')
    return size


def make_frame(data: bytes) -> bytes:
    """Return the data prefixed with its length."""
    return LENGTH_PREFIX.pack(len(data)) + data


def make_reader(data: bytes) -> TCompactProtocol.TCompactProtocol:
    """Return a protocol that decodes the data within size limits."""
    return TCompactProtocol.TCompactProtocolAccelerated(
        TTransport.TMemoryBuffer(data),
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )


def make_writer() -> TCompactProtocol.TCompactProtocol:
    """Return a protocol that encodes into a memory buffer."""
    return TCompactProtocol.TCompactProtocolAccelerated(
        TTransport.TMemoryBuffer()
    )
