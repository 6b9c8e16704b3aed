"""Speak the platform's protocol of its table service."""

import base64
import urllib.parse

import orjson

from .. import message
from ..edges import httpclient
from . import names
from ..table import rows

__all__ = ['RowClient']

CALL_TIMEOUT_MS = 1200
FOLLOW_MARGIN_MS = 700
MAX_REPLY_BYTES = 8_388_608
PART_PAGE = 1000


class RowClient:
    """Send each call of the table port as one HTTP request."""

    def __init__(self, http: httpclient.HttpClient, address: str):
        self.http = http
        self.address = address

    async def read(self, wanted: rows.Range) -> rows.Page:
        """Return rows of one part."""
        query = {'table': wanted.table, 'part': wanted.part}
        if wanted.start:
            query['from'] = wanted.start
        if wanted.end:
            query['to'] = wanted.end
        query['limit'] = str(wanted.limit)
        found = await self._get(names.READ_PATH, query)
        return rows.Page(
            _decode_rows(found['rows']),
            bool(found.get('has_more')),
            found['ver'],
            found['now_ms'],
        )

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        parts: list[str] = []
        while True:
            query = {'table': table}
            if parts:
                query['after'] = parts[-1]
            found = await self._get(names.PARTS_PATH, query)
            parts.extend(found['parts'])
            if len(found['parts']) < PART_PAGE:
                return tuple(parts)

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction or return the rows that differ."""
        body = orjson.dumps(
            {
                'expected': [
                    {**_encode_name(name), 'ver': version}
                    for name, version in transaction.expected
                ],
                'put': [
                    {
                        **_encode_name(name),
                        'value': base64.b64encode(value).decode(),
                    }
                    for name, value in transaction.puts
                ],
                'remove': [_encode_name(one) for one in transaction.removes],
            }
        )
        request = message.Request(
            'POST',
            names.TRANSACTION_PATH,
            (('content-type', 'application/json'),),
            body,
        )
        status, found = await self._send(request, CALL_TIMEOUT_MS, True)
        if status == 412:
            return rows.Conflict(_decode_rows(found.get('rows', ())))
        return rows.Applied(found['ver'], found['now_ms'])

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        found = await self._get(
            names.FEED_PATH,
            {'table': table, 'after': str(after), 'wait_ms': str(wait_ms)},
            wait_ms + FOLLOW_MARGIN_MS,
        )
        return rows.Changes(
            _decode_rows(found['rows']), found['ver'], found['now_ms']
        )

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout_ms: float = CALL_TIMEOUT_MS,
    ) -> dict:
        target = f'{path}?{urllib.parse.urlencode(query)}'
        request = message.Request('GET', target)
        return (await self._send(request, timeout_ms, False))[1]

    async def _send(
        self, request: message.Request, timeout_ms: float, writes: bool
    ) -> tuple[int, dict]:
        try:
            # A write goes out on a new connection: one that was closed
            # meanwhile would leave its outcome open for no reason.
            reply = await self.http.open(
                self.address, request, timeout_ms, fresh=writes
            )
            body = await reply.read(MAX_REPLY_BYTES)
        except message.ExchangeError as error:
            may_have_run = writes and error.bytes_written > 0
            raise rows.TableError(error.kind, may_have_run) from None
        if reply.status == 410:
            raise rows.HistoryLostError
        if reply.status not in (200, 412):
            # The service answers so only before it has done anything.
            done_nothing = reply.status in (400, 403, 404, 429, 503, 507)
            detail = f'status {reply.status}'
            raise rows.TableError(detail, writes and not done_nothing)
        try:
            return reply.status, orjson.loads(body)
        except orjson.JSONDecodeError:
            raise rows.TableError('unreadable reply', writes) from None


def _encode_name(name: rows.Key) -> dict[str, str]:
    return {'table': name.table, 'part': name.part, 'key': name.key}


def _decode_rows(found: list[dict]) -> tuple[rows.Row, ...]:
    return tuple(_decode_row(one) for one in found)


def _decode_row(row: dict) -> rows.Row:
    name = rows.Key(row['table'], row.get('part', ''), row['key'])
    value = None
    if not row.get('removed') and row.get('value') is not None:
        value = base64.b64decode(row['value'])
    return rows.Row(name, value, row['ver'])
