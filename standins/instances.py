"""Stand in for the platform's lagging list of instances."""

import asyncio
import json

from pomelopass import message
from standins import server

__all__ = ['Instances', 'main']


class Instances:
    """List whose changes become visible after a lag; faults: down."""

    def __init__(self, app: server.App, lag_ms: float):
        self.app = app
        self.lag_ms = lag_ms
        self.listed_by_name: dict[str, dict] = {}
        self.number = 0
        app.routes.update(
            {
                ('GET', '/instances'): self.get,
                ('PUT', '/instances/*'): self.put,
                ('DELETE', '/instances/*'): self.delete,
            }
        )

    async def get(self, request, query) -> message.Reply:
        """Return the list without changes newer than the lag."""
        if self.app.faults.get('down'):
            return server.make_json({'error': 'down'}, 503)
        body = {
            'number': self.number,
            'instances': list(self.listed_by_name.values()),
        }
        return server.make_json(body)

    async def put(self, request, query) -> message.Reply:
        """Add or change one instance after the lag."""
        value = json.loads(request.body)
        self._change_later(query['rest'], value)
        return server.make_json({})

    async def delete(self, request, query) -> message.Reply:
        """Remove one instance after the lag."""
        self._change_later(query['rest'], None)
        return server.make_json({})

    def _change_later(self, name: str, value: dict | None) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_ms / 1000, self.change, name, value)

    def change(self, name: str, value: dict | None) -> None:
        """Change one instance immediately; None removes it."""
        self.number += 1
        if value is None:
            self.listed_by_name.pop(name, None)
        else:
            self.listed_by_name[name] = value


def main() -> None:
    """Run the instance list."""
    parser = server.make_parser(__doc__)
    parser.add_argument('--lag-ms', type=float, default=500.0)
    arguments = parser.parse_args()
    app = server.App(arguments.name)
    Instances(app, arguments.lag_ms)
    asyncio.run(server.run_app(app, arguments.address))


if __name__ == '__main__':
    main()
