"""Call the table service, the object store and the instance list."""

import json
from typing import Any
from urllib import parse

from returns import result

from .. import message
from .. import ports
from ..core import endpoint
from ..core import tablerow
from ..core import verdict

__all__ = [
    'ObjectClient',
    'TableClient',
    'make_fetch_listing',
    'read_listing',
]

CALL_TIMEOUT_MS = 1500
MAX_REPLY_BYTES = 268_435_456


class _Caller:
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
    """Call the table service over HTTP."""

    def __init__(self, http: ports.HttpPort, address: str):
        self.caller = _Caller(http, address)

    async def get(
        self, key: str
    ) -> result.Result[tablerow.Row | None, tablerow.StoreFault]:
        """Return a row."""
        target = f'/rows/{parse.quote(key, safe="")}'
        answer = await self.caller.call('GET', target)
        return answer.map(_read_row)

    async def scan(
        self, prefix: str
    ) -> result.Result[list[tablerow.Row], tablerow.StoreFault]:
        """Return the rows whose keys have the prefix."""
        target = f'/rows?prefix={parse.quote(prefix, safe="")}'
        answer = await self.caller.call('GET', target)
        return answer.map(_read_rows)

    async def transact(
        self, transaction: tablerow.Transaction
    ) -> result.Result[tablerow.Conflict | None, tablerow.StoreFault]:
        """Apply a transaction; return None when it was applied."""
        body = json.dumps(
            {
                'conditions': [
                    {'key': one.key, 'version': one.version}
                    for one in transaction.conditions
                ],
                'puts': [
                    {'key': one.key, 'value': one.value}
                    for one in transaction.puts
                ],
            }
        )
        answer = await self.caller.call('POST', '/transact', body.encode())
        return answer.map(_read_conflict)


class ObjectClient:
    """Call the object store over HTTP."""

    def __init__(self, http: ports.HttpPort, address: str):
        self.caller = _Caller(http, address)

    async def get(
        self, key: str
    ) -> result.Result[bytes | None, tablerow.StoreFault]:
        """Return an object, or None when there is none."""
        answer = await self.caller.call('GET', _get_object_target(key))
        return answer.map(lambda pair: pair[1] if pair[0] == 200 else None)

    async def put(
        self, key: str, body: bytes
    ) -> result.Result[None, tablerow.StoreFault]:
        """Keep an object."""
        target = _get_object_target(key)
        answer = await self.caller.call('PUT', target, body)
        return answer.map(lambda pair: None)

    async def delete(
        self, key: str
    ) -> result.Result[None, tablerow.StoreFault]:
        """Remove an object."""
        answer = await self.caller.call('DELETE', _get_object_target(key))
        return answer.map(lambda pair: None)

    async def list(
        self, prefix: str
    ) -> result.Result[list[str], tablerow.StoreFault]:
        """Return the keys with a prefix."""
        target = f'/objects?prefix={parse.quote(prefix, safe="")}'
        answer = await self.caller.call('GET', target)
        return answer.map(lambda pair: json.loads(pair[1])['keys'])


def make_fetch_listing(http: ports.HttpPort, address: str):
    """Return a function that fetches the list of instances."""
    caller = _Caller(http, address)

    async def fetch_listing() -> ports.Listing | None:
        answer = await caller.call('GET', '/instances')
        return answer.map(read_listing).value_or(None)

    return fetch_listing


def _get_object_target(key: str) -> str:
    return f'/objects/{parse.quote(key, safe="")}'


def _make_row(value: dict[str, Any]) -> tablerow.Row:
    return tablerow.Row(value['key'], value['value'], value['version'])


def _read_row(pair: tuple[int, bytes]) -> tablerow.Row | None:
    return _make_row(json.loads(pair[1])) if pair[0] == 200 else None


def _read_rows(pair: tuple[int, bytes]) -> list[tablerow.Row]:
    return [_make_row(one) for one in json.loads(pair[1])['rows']]


def _read_conflict(
    pair: tuple[int, bytes],
) -> tablerow.Conflict | None:
    if pair[0] == 409:
        return tablerow.Conflict(tuple(json.loads(pair[1])['keys']))
    return None


def read_listing(pair: tuple[int, bytes]) -> ports.Listing:
    """Return the list in a reply, given as status and body."""
    value = json.loads(pair[1])
    entries = tuple(
        ports.EntryAddress(one['id'], one['address'], one['availability_zone'])
        for one in value['instances']
        if one['kind'] == 'entry'
    )
    endpoints = tuple(
        endpoint.Endpoint(
            one['id'],
            one['incarnation'],
            one['pool'],
            one['address'],
            one['availability_zone'],
            one['leaving'],
        )
        for one in value['instances']
        if one['kind'] == 'endpoint'
    )
    return ports.Listing(value['number'], entries, endpoints)
