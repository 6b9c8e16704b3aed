"""Define the interfaces of an instance to its environment."""

from collections import abc
import dataclasses
import random
from typing import Protocol

from returns import result

from . import message
from .core import endpoint
from .core import tablerow
from .wire.gen.peer import ttypes

__all__ = ['Clock', 'HttpPort', 'Listing', 'ObjectPort', 'Ports', 'TablePort']


class Clock(Protocol):
    """Read the time and wait."""

    def now_ms(self) -> float:
        """Return milliseconds on a monotonic clock."""

    def utc_ms(self) -> float:
        """Return milliseconds since 1970 in UTC."""

    async def sleep(self, duration_ms: float) -> None:
        """Wait for a number of milliseconds."""


class HttpPort(Protocol):
    """Send HTTP requests."""

    async def open(
        self,
        address: str,
        request: message.Request,
        timeout_ms: float,
        fresh: bool = False,
    ) -> message.OpenReply:
        """Return the reply after its head; raise ExchangeError."""

    async def is_refused(self, address: str, timeout_ms: float) -> bool:
        """Return whether an address refuses connections."""


class TablePort(Protocol):
    """Use the transactional table service."""

    async def get(
        self, key: str
    ) -> result.Result[tablerow.Row | None, tablerow.StoreFault]:
        """Return a row."""

    async def scan(
        self, prefix: str
    ) -> result.Result[list[tablerow.Row], tablerow.StoreFault]:
        """Return the rows whose keys have the prefix."""

    async def transact(
        self, transaction: tablerow.Transaction
    ) -> result.Result[tablerow.Conflict | None, tablerow.StoreFault]:
        """Apply a transaction; return None when it was applied."""


class ObjectPort(Protocol):
    """Use the object store."""

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, tablerow.StoreFault]:
        """Return an object, or None when there is none."""

    async def put(
        self, key: str, body: bytes
    ) -> result.Result[None, tablerow.StoreFault]:
        """Store an object."""

    async def delete(
        self, key: str
    ) -> result.Result[None, tablerow.StoreFault]:
        """Remove an object."""

    async def list(
        self, prefix: str
    ) -> result.Result[list[str], tablerow.StoreFault]:
        """Return the keys with a prefix."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry instance in the platform's list."""

    id: str
    peer_address: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """One state of the platform's list of instances."""

    number: int
    entries: tuple[EntryAddress, ...]
    endpoints: tuple[endpoint.Endpoint, ...]


class PeerPort(Protocol):
    """Call other instances."""

    async def exchange(
        self, address: str, digest: ttypes.Digest
    ) -> ttypes.Digest | None:
        """Exchange digests; return None when the peer does not answer."""

    async def ask_claim(
        self, address: str, key: str, fingerprint: str
    ) -> ttypes.ClaimAnswer | None:
        """Query the owner of a key; return None without an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """All ports of one instance."""

    clock: Clock
    rng: random.Random
    http: HttpPort
    table: TablePort
    objects: ObjectPort
    fetch_listing: abc.Callable[[], abc.Awaitable[Listing | None]]
    peers: PeerPort
    write_event: abc.Callable[[str, dict[str, str]], None]
