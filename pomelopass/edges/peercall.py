"""Make one thrift call to a peer over a connection of its own."""

import asyncio
from collections import abc
import struct
from typing import Any

from thrift import Thrift

from . import addresses
from . import peerframe

__all__ = ['CALL_ERRORS', 'DECODE_ERRORS', 'call_peer', 'connect']

# What a frame that can't be decoded raises, or one without a field.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    struct.error,
    Thrift.TException,
)
# What a connection or an answer that can't be used raises.
CALL_ERRORS = (*DECODE_ERRORS, EOFError, OSError, TimeoutError)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(address: str, timeout_ms: float) -> Connection:
    """Open a connection to a peer; raise OSError or TimeoutError."""
    async with asyncio.timeout(timeout_ms / 1000):
        return await asyncio.open_connection(*addresses.split_address(address))


async def call_peer(
    connection: Connection,
    make_client: abc.Callable[[Any], Any],
    send: abc.Callable[[Any], None],
    receive: abc.Callable[[Any], Any],
    timeout_ms: float,
) -> Any:
    """Send a call and return its result; raise CALL_ERRORS."""
    reader, writer = connection
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            protocol = peerframe.make_writer()
            send(make_client(protocol))
            writer.write(peerframe.make_frame(protocol.trans.getvalue()))
            reply = await peerframe.read_frame(reader)
            return receive(make_client(peerframe.make_reader(reply)))
    finally:
        writer.close()
