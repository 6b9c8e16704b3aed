"""Loopback TCP proxy with fault injection."""

import asyncio
from collections import abc
import contextlib

__all__ = ['CUT_KINDS', 'Proxy']

# What happens to the connections of an owner that is cut off. New ones are
# reset; the open ones hang, are reset, or live on.
CUT_KINDS = ('hang', 'reset', 'live-on')

READ_BYTES = 65_536
POLL_S = 0.05


class Proxy:
    """Proxy to one target, with faults of all or of one owner's connections.

    The owner is the process that connected, by name.
    """

    def __init__(
        self,
        target: str,
        find_owner: abc.Callable[[int, int], str | None] | None = None,
    ):
        self.target = target
        self.find_owner = find_owner
        self.cut_kind_by_owner: dict[str, str] = {}
        self.owner_by_writer: dict[asyncio.StreamWriter, str | None] = {}
        # Bytes of the next reply to pass on before its connection ends.
        self.cut_reply_after: int | None = None
        self.address = ''
        self.delay_s = 0.0
        self.stall_requests = False
        self.stall_replies = False
        self.refuse = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.clear_faults()
        self.server.close()
        self.reset_all()
        await asyncio.sleep(2 * POLL_S)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    def cut_owner(self, owner: str, kind: str) -> None:
        """Cut the connections of one owner."""
        self.cut_kind_by_owner[owner] = kind
        if kind == 'reset':
            for writer, writer_owner in list(self.owner_by_writer.items()):
                if writer_owner == owner:
                    writer.transport.abort()

    def heal_owner(self, owner: str) -> None:
        """Let the connections of an owner pass; held data is delivered."""
        self.cut_kind_by_owner.pop(owner, None)

    def clear_faults(self) -> None:
        """Clear all faults; stalled data is then delivered."""
        self.cut_kind_by_owner.clear()
        self.cut_reply_after = None
        self.delay_s = 0.0
        self.stall_requests = False
        self.stall_replies = False
        self.refuse = False

    async def _serve(self, reader, writer) -> None:
        owner = None
        if self.find_owner is not None:
            port = writer.get_extra_info('peername')[1]
            own_port = writer.get_extra_info('sockname')[1]
            owner = self.find_owner(port, own_port)
        if self.refuse or owner in self.cut_kind_by_owner:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        self.owner_by_writer[writer] = owner
        # The event loop cancels open connections at its end: no error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._relay(
                reader, writer, target_reader, target_writer, owner
            )

    async def _relay(
        self, reader, writer, target_reader, target_writer, owner
    ) -> None:
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, 'stall_requests', owner),
                self._forward(target_reader, writer, 'stall_replies', owner),
            )
        finally:
            writer.close()
            target_writer.close()
            self.writers -= {writer, target_writer}
            self.owner_by_writer.pop(writer, None)

    async def _forward(
        self, reader, writer, stall_flag: str, owner: str | None
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while (
                    getattr(self, stall_flag)
                    or self.cut_kind_by_owner.get(owner) == 'hang'
                ):
                    await asyncio.sleep(POLL_S)
                cut_after = self.cut_reply_after
                if cut_after is not None and stall_flag == 'stall_replies':
                    self.cut_reply_after = None
                    writer.write(data[:cut_after])
                    break
                writer.write(data)
                await writer.drain()
        writer.close()
