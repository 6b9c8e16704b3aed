"""Stand in for the transactional table service."""

import asyncio
import json

from pomelopass import message
from standins import server

__all__ = ['Table', 'main']

DOWN_S = 3600


class Table:
    """Hold rows; faults: down, slow_ms, lose_answers, stop_before_write."""

    def __init__(self, app: server.App):
        self.app = app
        self.row_by_key: dict[str, tuple[str, int]] = {}
        self.reads = 0
        self.writes = 0
        self.rows_written = 0
        self.log: list[tuple[str, str | None]] = []
        app.routes.update(
            {
                ('GET', '/rows'): self.scan,
                ('GET', '/rows/*'): self.get,
                ('POST', '/transact'): self.transact,
                ('GET', '/counts'): self.count,
            }
        )

    async def _suffer(self) -> message.Reply | None:
        faults = self.app.faults
        if faults.get('slow_ms'):
            await asyncio.sleep(faults['slow_ms'] / 1000)
        if faults.get('hang'):
            await asyncio.sleep(DOWN_S)
        if faults.get('down'):
            return server.make_json({'error': 'down'}, 503)
        return None

    async def get(self, request, query) -> message.Reply:
        """Return one row."""
        failed = await self._suffer()
        if failed:
            return failed
        self.reads += 1
        key = query['rest']
        if key not in self.row_by_key:
            return server.make_json({'error': 'no row'}, 404)
        return server.make_json(self._make_row(key))

    async def scan(self, request, query) -> message.Reply:
        """Return the rows with a prefix."""
        failed = await self._suffer()
        if failed:
            return failed
        self.reads += 1
        prefix = query.get('prefix', '')
        keys = sorted(key for key in self.row_by_key if key.startswith(prefix))
        rows = [self._make_row(key) for key in keys]
        return server.make_json({'rows': rows})

    async def transact(self, request, query) -> message.Reply:
        """Apply all writes when all conditions hold."""
        failed = await self._suffer()
        if failed:
            return failed
        value = json.loads(request.body)
        bad = self.apply(value['conditions'], value['puts'])
        if bad:
            return server.make_json({'keys': bad}, 409)
        if self.app.take_fault('lose_answers'):
            return server.make_json({'error': 'lost'}, 504)
        return server.make_json({})

    def apply(self, conditions: list, puts: list) -> list[str]:
        """Apply a transaction; return the keys of failed conditions."""
        self.writes += 1
        bad = [
            one['key']
            for one in conditions
            if self._get_version(one['key']) != one['version']
        ]
        if bad:
            return bad
        self.rows_written += len(puts)
        for one in puts:
            self.log.append((one['key'], one['value']))
            if one['value'] is None:
                self.row_by_key.pop(one['key'], None)
                continue
            version = self._get_version(one['key']) + 1
            self.row_by_key[one['key']] = (one['value'], version)
        return []

    async def count(self, request, query) -> message.Reply:
        """Return how often the table was used."""
        counts = {
            'reads': self.reads,
            'writes': self.writes,
            'rows_written': self.rows_written,
        }
        return server.make_json(counts)

    def _get_version(self, key: str) -> int:
        return self.row_by_key.get(key, ('', 0))[1]

    def _make_row(self, key: str) -> dict[str, object]:
        value, version = self.row_by_key[key]
        return {'key': key, 'value': value, 'version': version}


def main() -> None:
    """Run the table service."""
    arguments = server.make_parser(__doc__).parse_args()
    app = server.App(arguments.name)
    Table(app)
    asyncio.run(server.run_app(app, arguments.address))


if __name__ == '__main__':
    main()
