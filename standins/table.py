"""Stand in for the transactional table service."""

import asyncio
import json

from pomelopass import message
from standins import server

__all__ = ['Table', 'main']

HANG_S = 3600


class Table:
    """Rows by key; faults: down, slow_ms, lose_answers, stop_before_write."""

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

    async def _apply_faults(self) -> message.Reply | None:
        faults = self.app.faults
        if faults.get('slow_ms'):
            await asyncio.sleep(faults['slow_ms'] / 1000)
        if faults.get('hang'):
            await asyncio.sleep(HANG_S)
        if faults.get('down'):
            return server.make_json({'error': 'down'}, 503)
        return None

    async def get(self, request, query) -> message.Reply:
        """Return one row."""
        error_reply = await self._apply_faults()
        if error_reply:
            return error_reply
        self.reads += 1
        key = query['rest']
        if key not in self.row_by_key:
            return server.make_json({'error': 'no row'}, 404)
        return server.make_json(self._make_row(key))

    async def scan(self, request, query) -> message.Reply:
        """Return the rows with a prefix."""
        error_reply = await self._apply_faults()
        if error_reply:
            return error_reply
        self.reads += 1
        prefix = query.get('prefix', '')
        keys = sorted(key for key in self.row_by_key if key.startswith(prefix))
        rows = [self._make_row(key) for key in keys]
        return server.make_json({'rows': rows})

    async def transact(self, request, query) -> message.Reply:
        """Apply all writes if all conditions hold."""
        error_reply = await self._apply_faults()
        if error_reply:
            return error_reply
        value = json.loads(request.body)
        failed_keys = self.apply(value['conditions'], value['puts'])
        if failed_keys:
            return server.make_json({'keys': failed_keys}, 409)
        if self.app.take_fault('lose_answers'):
            return server.make_json({'error': 'lost'}, 504)
        return server.make_json({})

    def apply(self, conditions: list, puts: list) -> list[str]:
        """Apply a transaction; return the keys of failed conditions."""
        self.writes += 1
        failed_keys = [
            condition['key']
            for condition in conditions
            if self._get_version(condition['key']) != condition['version']
        ]
        if failed_keys:
            return failed_keys
        self.rows_written += len(puts)
        for put in puts:
            self.log.append((put['key'], put['value']))
            if put['value'] is None:
                self.row_by_key.pop(put['key'], None)
                continue
            version = self._get_version(put['key']) + 1
            self.row_by_key[put['key']] = (put['value'], version)
        return []

    async def count(self, request, query) -> message.Reply:
        """Return the numbers of reads, writes and rows written."""
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
