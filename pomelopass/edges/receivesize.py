"""Bound the bytes that one receive call adds to a connection's buffer."""

import asyncio

__all__ = ['limit_receive_size']


def limit_receive_size(transport: asyncio.Transport, size: int) -> None:
    """Receive at most that many bytes at a time.

    asyncio reads up to 256 KiB before a full buffer pauses it.
    """
    transport.max_size = size
