"""Loopback TCP proxy with fault injection."""

import asyncio
import contextlib

__all__ = ['Proxy']

READ_BYTES = 65_536
POLL_S = 0.05


class Proxy:
    """Proxy to one target, with faults that apply to all connections."""

    def __init__(self, target: str):
        self.target = target
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

    def clear_faults(self) -> None:
        """Clear all faults; stalled data is then delivered."""
        self.delay_s = 0.0
        self.stall_requests = False
        self.stall_replies = False
        self.refuse = False

    async def _serve(self, reader, writer) -> None:
        if self.refuse:
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
        # The event loop cancels open connections at its end: no error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._relay(reader, writer, target_reader, target_writer)

    async def _relay(
        self, reader, writer, target_reader, target_writer
    ) -> None:
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, 'stall_requests'),
                self._forward(target_reader, writer, 'stall_replies'),
            )
        finally:
            self.writers -= {writer, target_writer}

    async def _forward(self, reader, writer, stall_flag: str) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while getattr(self, stall_flag):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        writer.close()
