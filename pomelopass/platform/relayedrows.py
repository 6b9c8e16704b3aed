"""Leave keys out of the rows that an instance relays to its peers."""

import dataclasses
import functools

import orjson

from . import names
from ..table import rows
from ..workspaces import directory

__all__ = ['KeylessTable', 'hide_keys']

# A value that no decoder accepts.
UNREADABLE = b''


class KeylessTable:
    """Table whose configuration holds digests in place of keys."""

    def __init__(self, table: rows.RowTable):
        self.table = table

    async def read(self, key_range: rows.Range) -> rows.Page:
        """Return one page of a key range."""
        page = await self.table.read(key_range)
        return dataclasses.replace(page, rows=_hide_all(page.rows))

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the names of all parts of a table."""
        return await self.table.list_parts(table)

    async def transact(
        self, transaction: rows.Transaction
    ) -> rows.Applied | rows.Conflict:
        """Apply a transaction, or return the rows that conflict."""
        outcome = await self.table.transact(transaction)
        if isinstance(outcome, rows.Conflict):
            return rows.Conflict(_hide_all(outcome.rows))
        return outcome

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> rows.Changes:
        """Wait for changes; raise HistoryLostError for an old version."""
        changes = await self.table.follow(table, after, wait_ms)
        return dataclasses.replace(changes, rows=_hide_all(changes.rows))


def _hide_all(table_rows: tuple[rows.Row, ...]) -> tuple[rows.Row, ...]:
    return tuple(
        row._replace(value=hide_keys(row.value))
        if row.name.table == names.OPERATOR_TABLE
        and row.name.key == names.CONFIG_KEY
        and row.value is not None
        else row
        for row in table_rows
    )


# Peers read the same version repeatedly, and during a change the previous one.
@functools.lru_cache(maxsize=2)
def hide_keys(value: bytes) -> bytes:
    """Return a configuration with the digest of each key in its place.

    One without workspaces is unchanged. One that an instance would reject is
    rejected in this form too.
    """
    try:
        configuration = orjson.loads(value)
    except orjson.JSONDecodeError:
        return UNREADABLE
    if not isinstance(configuration, dict):
        return UNREADABLE
    if configuration.get('tenants') is None:
        return value
    workspaces = configuration['tenants']
    if not isinstance(workspaces, list):
        return UNREADABLE
    configuration['tenants'] = [
        _hide_in_workspace(workspace) for workspace in workspaces
    ]
    return orjson.dumps(configuration)


def _hide_in_workspace(workspace: object) -> object:
    if not isinstance(workspace, dict):
        return None
    keys = workspace.pop('api_keys', None)
    if keys is None:
        return workspace
    digests = None
    if isinstance(keys, list):
        digests = [_make_digest(key) for key in keys]
    known_digests = workspace.get('api_key_digests') or []
    return {
        **workspace,
        'api_key_digests': [*known_digests, *digests]
        if digests is not None
        else False,
    }


def _make_digest(key: object) -> str | None:
    # An empty key, or one of another type, makes an invalid digest.
    if not isinstance(key, str) or not key:
        return None
    return directory.make_digest(key.encode()).hex()
