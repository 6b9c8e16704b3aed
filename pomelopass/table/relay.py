"""Send calls to the table service through a peer."""

import asyncio
import collections
from collections import abc
import dataclasses
import random

from ..edges import peercall
from ..edges import staggeredconnect
from . import relaycodec
from . import rows
from ..wire.gen.relay import TableRelay
from ..wire.gen.relay import ttypes

__all__ = ['PeerChoice', 'RelayedTable']

CALL_TIMEOUT_MS = 2500
CONNECT_TIMEOUT_MS = 400
# Of several peers, some are often reached while others are not.
MAX_PEERS_TRIED = 3
# Time for which a peer is not used again after it failed.
PEER_BACKOFF_MS = 1000


@dataclasses.dataclass(slots=True)
class PeerChoice:
    """Which peers relayed a call, and which failed to."""

    # The peer that answered last is used first.
    preferred_address: str = ''
    backoff_until_by_address: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    # Calls in progress, of which the second client must not share the peer.
    calls_by_address: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class RelayedTable:
    """Client of the table service that calls through peers.

    A second client of the same choice uses other peers than the first.
    """

    def __init__(
        self,
        get_addresses: abc.Callable[[], list[str]],
        rng: random.Random,
        choice: PeerChoice | None = None,
        is_second: bool = False,
    ):
        self.get_addresses = get_addresses
        self.rng = rng
        self.choice = choice or PeerChoice()
        self.is_second = is_second

    async def read(self, key_range: rows.Range) -> rows.Page:
        """Return one page of a key range."""
        query = ttypes.RangeQuery(
            key_range.table,
            key_range.part,
            key_range.start,
            key_range.end,
            key_range.limit,
        )
        return await self._call(
            lambda client: client.send_read(query),
            lambda client: relaycodec.decode_page(client.recv_read()),
        )

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self._call(
            lambda client: client.send_list_parts(table),
            lambda client: relaycodec.decode_parts(client.recv_list_parts()),
        )

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction, or return the rows that conflict."""
        write = relaycodec.encode_write(transaction)
        return await self._call(
            lambda client: client.send_transact(write),
            lambda client: relaycodec.decode_outcome(client.recv_transact()),
            is_write=True,
        )

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        return await self._call(
            lambda client: client.send_follow(table, after, wait_ms),
            lambda client: relaycodec.decode_changes(client.recv_follow()),
        )

    async def _call(self, send, receive, is_write: bool = False):
        connected = await staggeredconnect.connect_first(
            self._choose_peers(), self._connect, self._drop, self._record
        )
        if connected is None:
            raise rows.TableError('no peer accepts a connection', False)
        address = connected.address
        self.choice.calls_by_address[address] += 1
        try:
            answer = await self._exchange(connected.connection, send, receive)
        except asyncio.CancelledError:
            # Another path was faster.
            self._back_off(address)
            raise
        except ttypes.HistoryLost:
            raise rows.HistoryLostError from None
        except ttypes.RelayFailed as failure:
            self._back_off(address)
            raise rows.TableError(
                failure.detail, failure.may_have_run
            ) from None
        except peercall.CALL_ERRORS as error:
            raise self._make_call_error(address, error, is_write) from None
        finally:
            self.choice.calls_by_address[address] -= 1
        self.choice.preferred_address = address
        return answer

    async def _connect(self, address: str) -> peercall.Connection:
        return await peercall.connect(address, CONNECT_TIMEOUT_MS)

    async def _exchange(self, connection: peercall.Connection, send, receive):
        return await peercall.call_peer(
            connection, TableRelay.Client, send, receive, CALL_TIMEOUT_MS
        )

    def _drop(self, connection: peercall.Connection) -> None:
        connection[1].close()

    def _record(self, address: str, error: Exception) -> None:
        # The call continues at another peer, or fails with a logged error.
        self._back_off(address)

    def _choose_peers(self) -> list[str]:
        """Return the peers to try in turn, the one that answered last first.

        Raise TableError without any.
        """
        now = asyncio.get_running_loop().time()
        backoff_until_by_address = self.choice.backoff_until_by_address
        preferred_address = self.choice.preferred_address
        candidates = [
            address
            for address in self.get_addresses()
            if not (self.is_second and address == preferred_address)
        ]
        if self.is_second:
            calls_by_address = self.choice.calls_by_address
            candidates = [
                address
                for address in candidates
                if not calls_by_address[address]
            ] or candidates
        # A peer in backoff is better than none: it may only have been slower.
        addresses = [
            address
            for address in candidates
            if backoff_until_by_address.get(address, 0.0) <= now
        ] or candidates
        if not addresses:
            raise rows.TableError('no peer reaches the table', False)
        chosen = self.rng.sample(
            addresses, min(MAX_PEERS_TRIED, len(addresses))
        )
        if preferred_address in addresses:
            others = [name for name in chosen if name != preferred_address]
            chosen = [preferred_address, *others][:MAX_PEERS_TRIED]
        return chosen

    def _make_call_error(
        self, address: str, error: Exception, may_have_run: bool
    ) -> rows.TableError:
        self._back_off(address)
        detail = f'{address}: {type(error).__name__}'
        return rows.TableError(detail, may_have_run)

    def _back_off(self, address: str) -> None:
        now = asyncio.get_running_loop().time()
        until = now + PEER_BACKOFF_MS / 1000
        self.choice.backoff_until_by_address[address] = until
