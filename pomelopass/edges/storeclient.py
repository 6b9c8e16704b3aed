"""Call the table service, the object store and the instance list."""

import json
from typing import Any
from urllib import parse

from returns import result

from .. import message
from .. import ports
from ..core import tablerow
from ..core import verdict
from . import listing

__all__ = [
    'ObjectClient',
    'TableClient',
    'make_fetch_listing',
]

CALL_TIMEOUT_MS = 1500
MAX_REPLY_BYTES = 268_435_456


class _StoreCaller:
    def __init__(self, http: ports.HttpPort, address: str):
        self.http = http
        self.address = address
        self.calls = 0

    async def call(
        self, method: str, target: str, body: bytes = b''
    ) -> result.Result[tuple[int, bytes], tablerow.StoreFault]:
        self.calls += 1
        request = message.Request(method, target, (), body)
        try:
            reply = await self.http.open(
                self.address, request, CALL_TIMEOUT_MS
            )
            data = await reply.read(MAX_REPLY_BYTES)
        except message.ExchangeError as error:
            outcome = verdict.get_attempt_verdict(error.bytes_written, False)
            return result.Failure(tablerow.StoreFault(outcome, error.kind))
        if reply.status >= 500:
            detail = f'status {reply.status}'
            outcome = verdict.Verdict.MAY_HAVE_RUN
            return result.Failure(tablerow.StoreFault(outcome, detail))
        return result.Success((reply.status, data))


class TableClient:
    """HTTP client of the table service."""

    def __init__(self, http: ports.HttpPort, address: str):
        self.caller = _StoreCaller(http, address)

    async def get(
        self, key: str
    ) -> result.Result[tablerow.Row | None, tablerow.StoreFault]:
        """Return the row of a key, or None if there is none."""
        target = f'/rows/{parse.quote(key, safe="")}'
        answer = await self.caller.call('GET', target)
        return answer.map(_read_row)

    async def scan(
        self, prefix: str
    ) -> result.Result[list[tablerow.Row], tablerow.StoreFault]:
        """Return the rows whose keys start with the prefix."""
        target = f'/rows?prefix={parse.quote(prefix, safe="")}'
        answer = await self.caller.call('GET', target)
        return answer.map(_read_rows)

    async def transact(
        self, transaction: tablerow.Transaction
    ) -> result.Result[tablerow.Conflict | None, tablerow.StoreFault]:
        """Apply a transaction; return the conflict that prevented it."""
        body = json.dumps(
            {
                'conditions': [
                    {'key': condition.key, 'version': condition.version}
                    for condition in transaction.conditions
                ],
                'puts': [
                    {'key': put.key, 'value': put.value}
                    for put in transaction.puts
                ],
            }
        )
        answer = await self.caller.call('POST', '/transact', body.encode())
        return answer.map(_read_conflict)


class ObjectClient:
    """HTTP client of the object store."""

    def __init__(self, http: ports.HttpPort, address: str):
        self.caller = _StoreCaller(http, address)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, tablerow.StoreFault]:
        """Return the body of an object, or None if there is none."""
        answer = await self.caller.call('GET', _get_object_target(key))
        return answer.map(lambda reply: reply[1] if reply[0] == 200 else None)

    async def put(
        self, key: str, body: bytes
    ) -> result.Result[None, tablerow.StoreFault]:
        """Store an object."""
        target = _get_object_target(key)
        answer = await self.caller.call('PUT', target, body)
        return answer.map(lambda reply: None)

    async def delete(
        self, key: str
    ) -> result.Result[None, tablerow.StoreFault]:
        """Delete an object."""
        answer = await self.caller.call('DELETE', _get_object_target(key))
        return answer.map(lambda reply: None)

    async def list(
        self, prefix: str
    ) -> result.Result[list[str], tablerow.StoreFault]:
        """Return the keys that start with the prefix."""
        target = f'/objects?prefix={parse.quote(prefix, safe="")}'
        answer = await self.caller.call('GET', target)
        return answer.map(lambda reply: json.loads(reply[1])['keys'])


def make_fetch_listing(http: ports.HttpPort, address: str):
    """Return a function that fetches the instance list; None on failure."""
    caller = _StoreCaller(http, address)

    async def fetch_listing() -> ports.Listing | None:
        answer = await caller.call('GET', '/instances')
        return answer.bind(listing.read_listing).value_or(None)

    return fetch_listing


def _get_object_target(key: str) -> str:
    return f'/objects/{parse.quote(key, safe="")}'


def _make_row(row: dict[str, Any]) -> tablerow.Row:
    return tablerow.Row(row['key'], row['value'], row['version'])


def _read_row(reply: tuple[int, bytes]) -> tablerow.Row | None:
    return _make_row(json.loads(reply[1])) if reply[0] == 200 else None


def _read_rows(reply: tuple[int, bytes]) -> list[tablerow.Row]:
    return [_make_row(row) for row in json.loads(reply[1])['rows']]


def _read_conflict(
    reply: tuple[int, bytes],
) -> tablerow.Conflict | None:
    if reply[0] == 409:
        return tablerow.Conflict(tuple(json.loads(reply[1])['keys']))
    return None
