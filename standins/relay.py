"""Relay TCP between two addresses with injected faults."""

import asyncio
import contextlib

from standins import server

__all__ = ['Relay', 'main']

READ_BYTES = 65_536


class Relay:
    """Forward bytes; faults: cut (forwarding stops), delay_ms."""

    def __init__(self, app: server.App, target: str):
        self.app = app
        self.target = target

    async def serve(self, reader, writer) -> None:
        """Forward one connection in both directions."""
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )

    async def _pump(self, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                delay_ms = self.app.faults.get('delay_ms', 0)
                await asyncio.sleep(delay_ms / 1000)
                while self.app.faults.get('cut'):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        writer.close()


def main() -> None:
    """Run a relay; faults are set at --address."""
    parser = server.make_parser(__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--target', required=True)
    arguments = parser.parse_args()
    app = server.App(arguments.name)
    relay = Relay(app, arguments.target)

    async def run() -> None:
        host, _, port = arguments.listen.rpartition(':')
        await asyncio.start_server(relay.serve, host, int(port))
        await server.run_app(app, arguments.address)

    asyncio.run(run())


if __name__ == '__main__':
    main()
