"""Call the platform's table service over HTTP."""

import base64
import binascii
from collections import abc
import contextlib
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
PART_PAGE_SIZE = 1000


class RowClient:
    """Table port that sends each call as one HTTP request."""

    def __init__(
        self,
        http: httpclient.HttpClient,
        address: str,
        reuses_connections: bool = True,
    ):
        self.http = http
        self.address = address
        self.reuses_connections = reuses_connections

    def make_fresh(self) -> 'RowClient':
        """Return a client that opens a connection for each call."""
        return RowClient(self.http, self.address, reuses_connections=False)

    async def read(self, row_range: rows.Range) -> rows.Page:
        """Return a page of rows of one part."""
        query = {'table': row_range.table, 'part': row_range.part}
        if row_range.start:
            query['from'] = row_range.start
        if row_range.end:
            query['to'] = row_range.end
        query['limit'] = str(row_range.limit)
        content = await self._get(names.READ_PATH, query)
        with _reject_malformed():
            return rows.Page(
                _decode_rows(content['rows']),
                bool(content.get('has_more')),
                _get_number(content, 'ver'),
                _get_number(content, 'now_ms'),
            )

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        parts: list[str] = []
        while True:
            query = {'table': table}
            if parts:
                query['after'] = parts[-1]
            content = await self._get(names.PARTS_PATH, query)
            with _reject_malformed():
                page = [str(name) for name in content['parts']]
            parts.extend(page)
            if len(page) < PART_PAGE_SIZE:
                return tuple(parts)

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction, or return the rows in conflict."""
        body = orjson.dumps(
            {
                'expected': [
                    {**_encode_key(key), 'ver': version}
                    for key, version in transaction.expected
                ],
                'put': [
                    {
                        **_encode_key(key),
                        'value': base64.b64encode(value).decode(),
                    }
                    for key, value in transaction.puts
                ],
                'remove': [_encode_key(key) for key in transaction.removes],
            }
        )
        request = message.Request(
            'POST',
            names.TRANSACTION_PATH,
            (('content-type', 'application/json'),),
            body,
        )
        status, content = await self._send(request, CALL_TIMEOUT_MS, True)
        with _reject_malformed(is_write=status == 200):
            if status == 412:
                return rows.Conflict(_decode_rows(content.get('rows', ())))
            return rows.Applied(
                _get_number(content, 'ver'), _get_number(content, 'now_ms')
            )

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError if after is too old."""
        content = await self._get(
            names.FEED_PATH,
            {'table': table, 'after': str(after), 'wait_ms': str(wait_ms)},
            wait_ms + FOLLOW_MARGIN_MS,
        )
        with _reject_malformed():
            return rows.Changes(
                _decode_rows(content['rows']),
                _get_number(content, 'ver'),
                _get_number(content, 'now_ms'),
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
        self, request: message.Request, timeout_ms: float, is_write: bool
    ) -> tuple[int, dict]:
        try:
            # Writes use a new connection: on a pooled one that the server
            # has closed, the outcome would be needlessly unknown.
            fresh = is_write or not self.reuses_connections
            reply = await self.http.open(
                self.address, request, timeout_ms, fresh=fresh
            )
            body = await reply.read(MAX_REPLY_BYTES)
        except message.ExchangeError as error:
            # What ended or silenced one connection may have hit them all.
            self.http.pool.drop_idle(self.address)
            may_have_run = is_write and error.bytes_written > 0
            raise rows.TableError(error.kind, may_have_run) from None
        if reply.status == 410:
            raise rows.HistoryLostError
        if reply.status not in (200, 412):
            # With these statuses the service has applied nothing.
            is_rejected = reply.status in (400, 403, 404, 429, 503, 507)
            detail = f'status {reply.status}'
            raise rows.TableError(
                detail, is_write and not is_rejected, reply.status == 429
            )
        try:
            return reply.status, orjson.loads(body)
        except orjson.JSONDecodeError:
            raise rows.TableError('unreadable reply', is_write) from None


@contextlib.contextmanager
def _reject_malformed(is_write: bool = False) -> abc.Iterator[None]:
    """Raise TableError for a reply that lacks a field or has an odd one."""
    try:
        yield
    except (AttributeError, LookupError, TypeError, ValueError) as error:
        detail = f'unreadable reply: {type(error).__name__}'
        raise rows.TableError(detail, is_write) from None


def _get_number(content: dict, name: str) -> int:
    number = content[name]
    if type(number) is not int:
        raise TypeError(f'{name} is no whole number')
    return number


def _encode_key(key: rows.Key) -> dict[str, str]:
    return {'table': key.table, 'part': key.part, 'key': key.key}


def _decode_rows(encoded_rows: list[dict]) -> tuple[rows.Row, ...]:
    return tuple(_decode_row(row) for row in encoded_rows)


def _decode_row(row: dict) -> rows.Row:
    key = rows.Key(
        row.get('table', ''), row.get('part', ''), row.get('key', '')
    )
    for text in key:
        if type(text) is not str:
            raise TypeError(f'{text!r} is no text')
    value = None
    if not row.get('removed') and row.get('value') is not None:
        value = binascii.a2b_base64(row['value'])
    return rows.Row(key, value, _get_number(row, 'ver'))
