"""Carry calls to the table service through a peer while it refuses us."""

import asyncio
from collections import abc
import random
import struct

from thrift import Thrift

from ..edges import peerframe
from . import rows
from ..wire.gen.relay import TableRelay
from ..wire.gen.relay import ttypes

__all__ = ['RelayedTable', 'RelayServer']

CALL_TIMEOUT_MS = 2500
CONNECT_TIMEOUT_MS = 400
# Time for which a peer is not asked again after it failed.
PEER_REST_MS = 1000


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
            _decode_rows(found.rows),
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
        write = _encode_write(transaction)
        outcome = await self._call(
            lambda client: client.send_transact(write),
            lambda client: client.recv_transact(),
            writes=True,
        )
        if outcome.applied:
            return rows.Applied(outcome.rows.version, outcome.rows.now_ms)
        return rows.Conflict(_decode_rows(outcome.rows.rows))

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        found = await self._call(
            lambda client: client.send_follow(table, after, wait_ms),
            lambda client: client.recv_follow(),
        )
        return rows.Changes(
            _decode_rows(found.rows), found.version, found.now_ms
        )

    async def _call(self, send, receive, writes: bool = False):
        now = asyncio.get_running_loop().time()
        addresses = [
            one
            for one in self.get_addresses()
            if self.resting_until_by_address.get(one, 0.0) <= now
        ]
        if not addresses:
            raise rows.TableError('no peer reaches the table', False)
        address = self.rng.choice(addresses)
        sent = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                host, _, port = address.rpartition(':')
                reader, writer = await asyncio.open_connection(host, int(port))
            try:
                sent = True
                async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                    return await _swap(reader, writer, send, receive)
            finally:
                writer.close()
        except ttypes.HistoryLost:
            raise rows.HistoryLostError from None
        except ttypes.RelayFailed as failed:
            self._rest(address)
            raise rows.TableError(failed.detail, failed.may_have_run) from None
        except (
            EOFError,
            OSError,
            TimeoutError,
            ValueError,
            struct.error,
            Thrift.TException,
        ) as error:
            self._rest(address)
            detail = f'{address}: {type(error).__name__}'
            raise rows.TableError(detail, writes and sent) from None

    def _rest(self, address: str) -> None:
        now = asyncio.get_running_loop().time()
        self.resting_until_by_address[address] = now + PEER_REST_MS / 1000


class RelayServer:
    """Answer peers with this instance's own way to the table service."""

    def __init__(self, table: rows.RowTable):
        self.table = table
        self.calls = {
            'read': self._read,
            'list_parts': self._list_parts,
            'transact': self._transact,
            'follow': self._follow,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one call of a connection."""
        try:
            data = await peerframe.read_frame(reader)
            answer = await self._process(data)
            writer.write(peerframe.make_frame(answer))
            await writer.drain()
        except (
            ArithmeticError,
            AttributeError,
            EOFError,
            LookupError,
            OSError,
            TypeError,
            ValueError,
            struct.error,
            Thrift.TException,
        ):
            # A peer that sends what can't be read gets no answer.
            pass
        finally:
            writer.close()

    async def _process(self, data: bytes) -> bytes:
        source = peerframe.make_reader(data)
        name, _, number = source.readMessageBegin()
        arguments = getattr(TableRelay, f'{name}_args')()
        arguments.read(source)
        result = getattr(TableRelay, f'{name}_result')()
        try:
            result.success = await self.calls[name](arguments)
        except rows.HistoryLostError:
            result.lost = ttypes.HistoryLost()
        except rows.TableError as error:
            result.failed = ttypes.RelayFailed(
                error.detail, error.may_have_run
            )
        target = peerframe.make_writer()
        target.writeMessageBegin(name, Thrift.TMessageType.REPLY, number)
        result.write(target)
        target.writeMessageEnd()
        return target.trans.getvalue()

    async def _read(self, arguments) -> ttypes.Rows:
        query = arguments.query
        page = await self.table.read(
            rows.Range(
                query.table, query.part, query.start, query.end, query.limit
            )
        )
        return _encode_rows(
            page.rows, page.has_more, page.version, page.now_ms
        )

    async def _list_parts(self, arguments) -> list[str]:
        return list(await self.table.list_parts(arguments.table))

    async def _transact(self, arguments) -> ttypes.WriteOutcome:
        outcome = await self.table.transact(_decode_write(arguments.changes))
        if isinstance(outcome, rows.Applied):
            empty = ttypes.Rows([], False, outcome.version, outcome.now_ms)
            return ttypes.WriteOutcome(True, empty)
        found = _encode_rows(outcome.rows, False, 0, 0)
        return ttypes.WriteOutcome(False, found)

    async def _follow(self, arguments) -> ttypes.Rows:
        changes = await self.table.follow(
            arguments.table, arguments.after, arguments.wait_ms
        )
        return _encode_rows(
            changes.rows, False, changes.version, changes.now_ms
        )


async def _swap(reader, writer, send, receive):
    protocol = peerframe.make_writer()
    send(TableRelay.Client(protocol))
    writer.write(peerframe.make_frame(protocol.trans.getvalue()))
    data = await peerframe.read_frame(reader)
    return receive(TableRelay.Client(peerframe.make_reader(data)))


def _encode_rows(
    found: tuple[rows.Row, ...], has_more: bool, version: int, now_ms: int
) -> ttypes.Rows:
    encoded = [
        ttypes.RowValue(_encode_name(one.name), one.value, one.version)
        for one in found
    ]
    return ttypes.Rows(encoded, has_more, version, now_ms)


def _decode_rows(found: list[ttypes.RowValue]) -> tuple[rows.Row, ...]:
    return tuple(
        rows.Row(_decode_name(one.name), one.value, one.version)
        for one in found
    )


def _encode_name(name: rows.Key) -> ttypes.RowName:
    return ttypes.RowName(name.table, name.part, name.key)


def _decode_name(name: ttypes.RowName) -> rows.Key:
    return rows.Key(name.table, name.part, name.key)


def _encode_write(transaction: rows.Transaction) -> ttypes.Write:
    return ttypes.Write(
        [
            ttypes.RowValue(_encode_name(name), None, version)
            for name, version in transaction.expected
        ],
        [
            ttypes.RowValue(_encode_name(name), value, 0)
            for name, value in transaction.puts
        ],
        [_encode_name(name) for name in transaction.removes],
    )


def _decode_write(write: ttypes.Write) -> rows.Transaction:
    return rows.Transaction(
        tuple((_decode_name(one.name), one.version) for one in write.expected),
        tuple((_decode_name(one.name), one.value) for one in write.puts),
        tuple(_decode_name(one) for one in write.removes),
    )
