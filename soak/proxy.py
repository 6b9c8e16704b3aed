"""Pass TCP connections on over loopback, with faults on the way."""

import asyncio
import contextlib

__all__ = ['Proxy']

READ_BYTES = 65_536
POLL_S = 0.05


class Proxy:
    """Hold the connections to one target and what goes wrong with them."""

    def __init__(self, target: str):
        self.target = target
        self.address = ''
        self.delay_s = 0.0
        self.cut_out = False
        self.cut_back = False
        self.refuse = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Stop listening and let all connections end."""
        self.mend()
        self.server.close()
        self.reset_all()
        await asyncio.sleep(2 * POLL_S)

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    def mend(self) -> None:
        """End all faults."""
        self.delay_s = 0.0
        self.cut_out = False
        self.cut_back = False
        self.refuse = False

    async def _serve(self, reader, writer) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        # The loop ends with connections open: that is no fault.
        with contextlib.suppress(asyncio.CancelledError):
            await self._pump_both(reader, writer, far_reader, far_writer)

    async def _pump_both(self, reader, writer, far_reader, far_writer) -> None:
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, 'cut_out'),
                self._pump(far_reader, writer, 'cut_back'),
            )
        finally:
            self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer, cut: str) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while getattr(self, cut):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        writer.close()
