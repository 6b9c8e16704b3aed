"""Keep the idle and the busy connections of an HTTP client."""

import asyncio
import math

import h11

from . import clientconnection

__all__ = ['ConnectionPool']

MAX_IDLE_PER_ADDRESS = 32


class ConnectionPool:
    """Connections by address: idle ones, and those that carry a request."""

    def __init__(self) -> None:
        self.idle_by_address: dict[str, list[clientconnection.Connection]] = {}
        self.busy_by_address: dict[str, set[clientconnection.Connection]] = {}
        self.last_received_at = float('-inf')

    @property
    def received_at(self) -> float:
        """Return the event loop time at which bytes came last, in seconds."""
        busy_received_at = max(
            (
                connection.reader.received_at
                for connections in self.busy_by_address.values()
                for connection in connections
            ),
            default=self.last_received_at,
        )
        return max(busy_received_at, self.last_received_at)

    def take_idle(
        self,
        address: str,
        max_idle_ms: float = math.inf,
        started_at_ms: int | None = None,
    ) -> clientconnection.Connection | None:
        """Return an idle connection that can carry a request, or None.

        The one that was used last comes first. With a time of start, only
        connections whose other end is known to have started then are used.
        """
        now = asyncio.get_running_loop().time()
        all_connections = self.idle_by_address.get(address, [])
        connections = [
            connection
            for connection in all_connections
            if started_at_ms in (None, connection.peer_started_at_ms)
        ]
        while connections:
            idle_ms = (now - connections[-1].idle_since) * 1000
            if idle_ms > max_idle_ms:
                return None
            connection = connections.pop()
            all_connections.remove(connection)
            expired = idle_ms > connection.idle_limit_ms
            # Unread bytes do not belong to any request of this client.
            dirty = connection.reader.at_eof() or connection.reader.unread
            if expired or dirty or connection.writer.is_closing():
                connection.close()
                continue
            connection.reader.on_unexpected_data = None
            return connection
        return None

    def begin_use(
        self, address: str, connection: clientconnection.Connection
    ) -> None:
        """Record that a connection carries a request."""
        connection.request_sent_at = asyncio.get_running_loop().time()
        self.busy_by_address.setdefault(address, set()).add(connection)

    def end_use(
        self, address: str, connection: clientconnection.Connection
    ) -> None:
        """Record that a connection carries no request any more."""
        connections = self.busy_by_address.get(address, set())
        connections.discard(connection)
        if not connections:
            self.busy_by_address.pop(address, None)
        self.last_received_at = max(
            self.last_received_at, connection.reader.received_at
        )

    def release(
        self, address: str, connection: clientconnection.Connection
    ) -> None:
        """Keep a connection whose reply was read, or close it."""
        self.end_use(address, connection)
        connections = self.idle_by_address.setdefault(address, [])
        done = connection.state.their_state is h11.DONE
        leftover = (
            connection.state.trailing_data[0]
            or connection.reader.unread
            or connection.is_sending()
        )
        if not done or leftover or len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.state.start_next_cycle()
        connection.idle_since = asyncio.get_running_loop().time()
        # No request awaits more bytes, which might come without an end.
        connection.reader.on_unexpected_data = connection.close
        connections.append(connection)

    def get_silent_addresses(self, silent_ms: float) -> set[str]:
        """Return the addresses with a request that is silent for so long."""
        now = asyncio.get_running_loop().time()
        return {
            address
            for address, connections in self.busy_by_address.items()
            if any(
                connection.get_silent_ms(now) >= silent_ms
                for connection in connections
            )
        }

    def break_silent(self, address: str, silent_ms: float) -> None:
        """Abort repeatable requests that received nothing for so long.

        Idle connections to the address are closed as well.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.busy_by_address.get(address, ())):
            is_silent = connection.get_silent_ms(now) >= silent_ms
            if connection.is_repeatable and is_silent:
                connection.break_off()
        self.drop_idle(address)

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self.idle_by_address.pop(address, []):
            connection.close()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connections in self.idle_by_address.values():
            for connection in connections:
                connection.close()
        self.idle_by_address.clear()
