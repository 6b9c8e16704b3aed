"""Serve the in-memory row service over the platform's HTTP protocol."""

import base64
import json
import random
from urllib import parse

import orjson

from pomelopass import message
from pomelopass.table import rows
from standins import rowtable

__all__ = ['PlatformTable']


class PlatformTable:
    """Row service and the faults injected into all its calls.

    Faults: down, silent, lose_answers, late_writes.
    """

    def __init__(self, rng: random.Random):
        self.service = rowtable.RowService()
        self.client = rowtable.RowClient(self.service, rng)

    async def handle(self, request: message.Request) -> message.Reply:
        """Answer a call of the table service or a control request."""
        path, _, text = request.target.partition('?')
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if path == '/faults':
            return self._set_faults(request)
        if path == '/rows':
            return self._put_as_operator(request)
        try:
            if path == '/-/rows-tx':
                return await self._transact(request)
            if path == '/-/rows-get':
                return await self._read(query)
            if path == '/-/rows-feed':
                return await self._follow(query)
        except rows.HistoryLostError:
            return make_json(410, {'error': 'history'})
        except rows.TableError as error:
            if error.may_have_run:
                # The answer is lost: close without a reply.
                raise ConnectionResetError from None
            return make_json(503, {'error': error.detail})
        return make_json(404, {'error': 'path'})

    def _set_faults(self, request: message.Request) -> message.Reply:
        faults = json.loads(request.body)
        if faults.pop('forget_history', False):
            self.service.forget_history()
        for name, value in faults.items():
            setattr(self.client.faults, name, value)
        return make_json(200, {})

    def _put_as_operator(self, request: message.Request) -> message.Reply:
        row = json.loads(request.body)
        value = orjson.dumps(row['value'])
        version = self.service.put(row['table'], row['key'], value)
        return make_json(200, {'ver': version})

    async def _transact(self, request: message.Request) -> message.Reply:
        body = orjson.loads(request.body)
        outcome = await self.client.transact(
            rows.Transaction(
                tuple(
                    (_decode_name(row), row['ver'])
                    for row in body.get('expected', ())
                ),
                tuple(
                    (_decode_name(row), base64.b64decode(row['value']))
                    for row in body.get('put', ())
                ),
                tuple(_decode_name(row) for row in body.get('remove', ())),
            )
        )
        if isinstance(outcome, rows.Conflict):
            return make_json(412, {'rows': _encode_rows(outcome.rows)})
        return make_json(
            200, {'ver': outcome.version, 'now_ms': outcome.now_ms}
        )

    async def _read(self, query: dict[str, str]) -> message.Reply:
        page = await self.client.read(
            rows.Range(
                query['table'],
                query.get('part', ''),
                query.get('from', ''),
                query.get('to', ''),
                int(query.get('limit', '500')),
            )
        )
        return make_json(
            200,
            {
                'rows': _encode_rows(page.rows),
                'has_more': page.has_more,
                'ver': page.version,
                'now_ms': page.now_ms,
            },
        )

    async def _follow(self, query: dict[str, str]) -> message.Reply:
        changes = await self.client.follow(
            query['table'], int(query['after']), int(query['wait_ms'])
        )
        return make_json(
            200,
            {
                'rows': _encode_rows(changes.rows),
                'ver': changes.version,
                'now_ms': changes.now_ms,
            },
        )


def make_json(status: int, value: object) -> message.Reply:
    """Return a reply with a JSON body."""
    headers = (('content-type', 'application/json'),)
    return message.Reply(status, headers, orjson.dumps(value))


def _decode_name(row: dict) -> rows.Key:
    return rows.Key(row['table'], row.get('part', ''), row['key'])


def _encode_rows(table_rows: tuple[rows.Row, ...]) -> list[dict]:
    return [_encode_row(row) for row in table_rows]


def _encode_row(row: rows.Row) -> dict:
    encoded = {
        'table': row.name.table,
        'part': row.name.part,
        'key': row.name.key,
        'ver': row.version,
    }
    if row.value is None:
        encoded['removed'] = True
    else:
        encoded['value'] = base64.b64encode(row.value).decode()
    return encoded
