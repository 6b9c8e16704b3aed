"""Measure how long connections to endpoints take to open."""

import asyncio
from collections import abc

from ..edges import clientconnection

__all__ = ['ConnectTimes']

OnConnected = abc.Callable[[str, float], None]


class ConnectTimes:
    """Opens connections and reports the time of each, in milliseconds.

    A connection opens in one round trip, whatever work the endpoint has.
    """

    def __init__(self) -> None:
        self.on_connected: OnConnected = lambda address, took_ms: None

    async def open_connection(
        self, address: str
    ) -> clientconnection.Connection:
        """Open a connection to an address."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        connection = await clientconnection.open_connection(address)
        self.on_connected(address, (loop.time() - started_at) * 1000)
        return connection
