"""Relay calls of peers to the table service."""

import asyncio
from collections import abc
import dataclasses
import types
from typing import Any

from thrift import Thrift

from ..edges import peercall
from ..edges import peerframe
from . import relaycodec
from . import rows
from ..wire.gen.relay import TableRelay
from ..wire.gen.relay import ttypes

__all__ = ['Handler', 'RelayServer', 'Takeover']

# Peers give up a call earlier.
ANSWER_TIMEOUT_MS = 5000.0

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclasses.dataclass(frozen=True, slots=True)
class Handler:
    """Generated module of a thrift service and what handles a call of it."""

    service: types.ModuleType
    handle: abc.Callable[[Any], abc.Awaitable[Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """Result of a call after which the connection carries other bytes."""

    result: Any
    run: abc.Callable[[Stream], abc.Awaitable[None]]
    # Called instead of run if the peer has left.
    drop: abc.Callable[[], None]


class RelayServer:
    """Server that forwards calls of peers to the table service.

    Calls of further services arrive at the same address.
    """

    def __init__(
        self,
        table: rows.RowTable,
        handler_by_name: abc.Mapping[str, Handler] | None = None,
    ):
        self.table = table
        self.handler_by_name = {
            'read': Handler(TableRelay, self._read),
            'list_parts': Handler(TableRelay, self._list_parts),
            'transact': Handler(TableRelay, self._transact),
            'follow': Handler(TableRelay, self._follow),
            **(handler_by_name or {}),
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read and answer the single call of a connection."""
        try:
            frame = await peerframe.read_frame(reader)
        except peercall.CALL_ERRORS:
            writer.close()
            return
        await self.serve_frame(frame, reader, writer)

    async def serve_frame(
        self,
        frame: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the call in a frame, and close its connection."""
        takeover = None
        try:
            answer, takeover = await self.process(frame)
            writer.write(peerframe.make_frame(answer))
            await _drain(writer)
            if takeover is not None:
                run, takeover = takeover.run, None
                await run((reader, writer))
        except peercall.CALL_ERRORS:
            # A malformed request gets no answer.
            pass
        finally:
            if takeover is not None:
                takeover.drop()
            writer.close()

    async def process(self, frame: bytes) -> tuple[bytes, Takeover | None]:
        """Return the answer to a call, and what then uses the connection."""
        source = peerframe.make_reader(frame)
        name, _, sequence_id = source.readMessageBegin()
        handler = self.handler_by_name[name]
        arguments = getattr(handler.service, f'{name}_args')()
        arguments.read(source)
        result = getattr(handler.service, f'{name}_result')()
        takeover = None
        try:
            outcome = await handler.handle(arguments)
            if isinstance(outcome, Takeover):
                takeover = outcome
                outcome = outcome.result
            result.success = outcome
        except rows.HistoryLostError:
            result.lost = ttypes.HistoryLost()
        except rows.TableError as error:
            result.failed = ttypes.RelayFailed(
                error.detail, error.may_have_run
            )
        target = peerframe.make_writer()
        target.writeMessageBegin(name, Thrift.TMessageType.REPLY, sequence_id)
        result.write(target)
        target.writeMessageEnd()
        return target.trans.getvalue(), takeover

    async def _read(self, arguments) -> ttypes.Rows:
        query = arguments.query
        page = await self.table.read(
            rows.Range(
                query.table, query.part, query.start, query.end, query.limit
            )
        )
        return relaycodec.encode_rows(
            page.rows, page.has_more, page.version, page.now_ms
        )

    async def _list_parts(self, arguments) -> list[str]:
        return list(await self.table.list_parts(arguments.table))

    async def _transact(self, arguments) -> ttypes.WriteOutcome:
        outcome = await self.table.transact(
            relaycodec.decode_write(arguments.changes)
        )
        if isinstance(outcome, rows.Applied):
            no_rows = ttypes.Rows([], False, outcome.version, outcome.now_ms)
            return ttypes.WriteOutcome(True, no_rows)
        conflict = relaycodec.encode_rows(outcome.rows, False, 0, 0)
        return ttypes.WriteOutcome(False, conflict)

    async def _follow(self, arguments) -> ttypes.Rows:
        changes = await self.table.follow(
            arguments.table, arguments.after, arguments.wait_ms
        )
        return relaycodec.encode_rows(
            changes.rows, False, changes.version, changes.now_ms
        )


async def _drain(writer: asyncio.StreamWriter) -> None:
    """Write an answer out; a peer that does not read it loses it."""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000):
            await writer.drain()
    except TimeoutError:
        writer.transport.abort()
        raise
