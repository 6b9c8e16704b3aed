"""Carry calls to the table service through a peer while it refuses us."""

import asyncio
from collections import abc
import random
import struct

from thrift import Thrift

from ..edges import peerframe
from . import relaycodec
from . import rows
from ..wire.gen.relay import TableRelay
from ..wire.gen.relay import ttypes

__all__ = ['RelayedTable']

CALL_TIMEOUT_MS = 2500
CONNECT_TIMEOUT_MS = 400
# Time for which a peer is not asked again after it failed.
PEER_REST_MS = 1000
BROKEN_CALLS = (
    EOFError,
    OSError,
    TimeoutError,
    ValueError,
    struct.error,
    Thrift.TException,
)


class RelayedTable:
    """Use the table service through peers."""

    def __init__(
        self,
        get_addresses: abc.Callable[[], list[str]],
        rng: random.Random,
    ):
        self.get_addresses = get_addresses
        self.rng = rng
        self.resting_until_by_address: dict[str, float] = {}
        # The peer that answered last is asked again.
        self.preferred_address = ''

    async def read(self, wanted: rows.Range) -> rows.Page:
        """Return rows of one part."""
        query = ttypes.RangeQuery(
            wanted.table, wanted.part, wanted.start, wanted.end, wanted.limit
        )
        found = await self._call(
            lambda client: client.send_read(query),
            lambda client: client.recv_read(),
        )
        return rows.Page(
            relaycodec.decode_rows(found.rows),
            found.has_more,
            found.version,
            found.now_ms,
        )

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return tuple(
            await self._call(
                lambda client: client.send_list_parts(table),
                lambda client: client.recv_list_parts(),
            )
        )

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction or return the rows that differ."""
        write = relaycodec.encode_write(transaction)
        outcome = await self._call(
            lambda client: client.send_transact(write),
            lambda client: client.recv_transact(),
            writes=True,
        )
        if outcome.applied:
            return rows.Applied(outcome.rows.version, outcome.rows.now_ms)
        return rows.Conflict(relaycodec.decode_rows(outcome.rows.rows))

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        found = await self._call(
            lambda client: client.send_follow(table, after, wait_ms),
            lambda client: client.recv_follow(),
        )
        return rows.Changes(
            relaycodec.decode_rows(found.rows), found.version, found.now_ms
        )

    async def _call(self, send, receive, writes: bool = False):
        address = self._choose()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                host, _, port = address.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as error:
            raise self._give_up(address, error, False) from None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                answer = await _swap(reader, writer, send, receive)
        except ttypes.HistoryLost:
            raise rows.HistoryLostError from None
        except ttypes.RelayFailed as failed:
            self._rest(address)
            raise rows.TableError(failed.detail, failed.may_have_run) from None
        except BROKEN_CALLS as error:
            raise self._give_up(address, error, writes) from None
        finally:
            writer.close()
        self.preferred_address = address
        return answer

    def _choose(self) -> str:
        now = asyncio.get_running_loop().time()
        addresses = [
            one
            for one in self.get_addresses()
            if self.resting_until_by_address.get(one, 0.0) <= now
        ]
        if not addresses:
            raise rows.TableError('no peer reaches the table', False)
        if self.preferred_address in addresses:
            return self.preferred_address
        return self.rng.choice(addresses)

    def _give_up(
        self, address: str, error: Exception, may_have_run: bool
    ) -> rows.TableError:
        self._rest(address)
        detail = f'{address}: {type(error).__name__}'
        return rows.TableError(detail, may_have_run)

    def _rest(self, address: str) -> None:
        now = asyncio.get_running_loop().time()
        self.resting_until_by_address[address] = now + PEER_REST_MS / 1000


async def _swap(reader, writer, send, receive):
    protocol = peerframe.make_writer()
    send(TableRelay.Client(protocol))
    writer.write(peerframe.make_frame(protocol.trans.getvalue()))
    data = await peerframe.read_frame(reader)
    return receive(TableRelay.Client(peerframe.make_reader(data)))
