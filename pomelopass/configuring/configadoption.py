"""Adopt accepted configurations on one instance."""

import json

from returns import result

from . import configstore
from . import configuration
from ..core import adoption
from ..core import tablerow
from ..running import context as contexts

__all__ = ['adopt_at_start', 'adopt_newest']

MARKER_PREFIX = 'config/accepted/'


async def adopt_at_start(context: contexts.Context) -> bool:
    """Adopt the newest accepted version on a starting instance."""
    row_result = await context.ports.table.get(configstore.HEAD_KEY)
    markers_result = await _fetch_markers(context)
    table_answered = isinstance(row_result, result.Success)
    table_head = None
    if table_answered and row_result.unwrap() is not None:
        table_head = _read_head(row_result.unwrap())
    head = adoption.choose_at_start(
        table_head,
        table_answered,
        markers_result.value_or([]),
        isinstance(markers_result, result.Success),
    )
    return head is not None and await _adopt(context, head)


async def adopt_newest(context: contexts.Context) -> bool:
    """Adopt a newer version; return whether one was adopted."""
    if context.adoption.head is None:
        return await adopt_at_start(context)
    row_result = await context.ports.table.get(configstore.HEAD_KEY)
    if isinstance(row_result, result.Success):
        row = row_result.unwrap()
        head = _read_head(row) if row else None
    else:
        if context.adoption.highest_seen <= context.adoption.head.version:
            return False
        markers_result = await _fetch_markers(context)
        head = max(markers_result.value_or([]), default=None)
    if head is None or not adoption.may_adopt(context.adoption, head, True):
        return False
    return await _adopt(context, head)


async def _adopt(context: contexts.Context, head: adoption.Head) -> bool:
    text = await configstore.fetch_body(context, head.digest)
    check_result = configuration.check_configuration(text)
    if isinstance(check_result, result.Failure):
        detail = f'version {head.version}'
        contexts.record_event(context, 'config-unreadable', 'config', detail)
        return False
    marker_stored = await _store_marker(context, head)
    if not adoption.may_adopt(context.adoption, head, marker_stored):
        return False
    context.configuration = check_result.unwrap()
    context.configuration_text = text
    adoption.record_adopted(context.adoption, head)
    context.metrics.config_version.set({}, head.version)
    detail = f'version {head.version}'
    contexts.record_event(context, 'config-in-force', 'config', detail)
    return True


async def _store_marker(
    context: contexts.Context, head: adoption.Head
) -> bool:
    markers = (await _fetch_markers(context)).value_or([])
    if head in markers:
        return True
    key = f'{MARKER_PREFIX}{head.version:010d}-{head.digest}'
    put_result = await context.ports.objects.put(key, b'')
    if isinstance(put_result, result.Failure):
        return False
    for marker in markers:
        if marker.version <= head.version - configstore.RETAINED_VERSIONS:
            key = f'{MARKER_PREFIX}{marker.version:010d}-{marker.digest}'
            await context.ports.objects.delete(key)
    return True


async def _fetch_markers(
    context: contexts.Context,
) -> result.Result[list[adoption.Head], tablerow.StoreFault]:
    keys_result = await context.ports.objects.list(MARKER_PREFIX)
    return keys_result.map(_read_markers)


def _read_markers(keys: list[str]) -> list[adoption.Head]:
    heads = []
    for key in keys:
        version, _, digest = key.removeprefix(MARKER_PREFIX).partition('-')
        heads.append(adoption.Head(int(version), digest))
    return heads


def _read_head(row: tablerow.Row) -> adoption.Head:
    value = json.loads(row.value)
    return adoption.Head(value['version'], value['digest'])
