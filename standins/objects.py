"""Stand in for the object store and the rate-limited weight store."""

import asyncio

from pomelopass import message
from standins import server

__all__ = ['Objects', 'main']


class Objects:
    """Objects by key; faults: down, slow_ms, refuse_prefix.

    Reads are rate-limited if reads_per_s is positive.
    """

    def __init__(self, app: server.App, reads_per_s: float = 0.0):
        self.app = app
        self.body_by_key: dict[str, bytes] = {}
        self.pause_s = 1.0 / reads_per_s if reads_per_s else 0.0
        self.next_read_at = 0.0
        app.routes.update(
            {
                ('GET', '/objects'): self.list,
                ('GET', '/objects/*'): self.get,
                ('PUT', '/objects/*'): self.put,
                ('DELETE', '/objects/*'): self.delete,
            }
        )

    async def _apply_faults(self) -> message.Reply | None:
        faults = self.app.faults
        if faults.get('slow_ms'):
            await asyncio.sleep(faults['slow_ms'] / 1000)
        if faults.get('down'):
            return server.make_json({'error': 'down'}, 503)
        return None

    async def _wait_for_rate(self) -> None:
        now = asyncio.get_running_loop().time()
        start = max(now, self.next_read_at)
        self.next_read_at = start + self.pause_s
        await asyncio.sleep(start - now)

    async def get(self, request, query) -> message.Reply:
        """Return an object."""
        error_reply = await self._apply_faults()
        if error_reply:
            return error_reply
        if self.pause_s:
            await self._wait_for_rate()
        body = self.body_by_key.get(query['rest'])
        if body is None:
            return server.make_json({'error': 'no object'}, 404)
        return message.Reply(200, (), body)

    async def put(self, request, query) -> message.Reply:
        """Store an object."""
        error_reply = await self._apply_faults()
        if error_reply:
            return error_reply
        refused_prefix = self.app.faults.get('refuse_prefix')
        if refused_prefix and query['rest'].startswith(refused_prefix):
            return server.make_json({'error': 'refused'}, 503)
        self.body_by_key[query['rest']] = request.body
        return server.make_json({})

    async def delete(self, request, query) -> message.Reply:
        """Remove an object."""
        error_reply = await self._apply_faults()
        if error_reply:
            return error_reply
        self.body_by_key.pop(query['rest'], None)
        return server.make_json({})

    async def list(self, request, query) -> message.Reply:
        """Return the keys with a prefix."""
        error_reply = await self._apply_faults()
        if error_reply:
            return error_reply
        prefix = query.get('prefix', '')
        keys = sorted(
            key for key in self.body_by_key if key.startswith(prefix)
        )
        return server.make_json({'keys': keys})


def main() -> None:
    """Run an object store or a weight store."""
    parser = server.make_parser(__doc__)
    parser.add_argument('--reads-per-s', type=float, default=0.0)
    arguments = parser.parse_args()
    app = server.App(arguments.name)
    Objects(app, arguments.reads_per_s)
    asyncio.run(server.run_app(app, arguments.address))


if __name__ == '__main__':
    main()
