"""Bring accepted configurations into force on one instance."""

import json

from returns import result

from . import configstore
from . import configuration
from ..core import adoption
from ..core import tablerow
from ..running import context as contexts

__all__ = ['adopt_newest', 'start']

MARKER_PREFIX = 'config/accepted/'


async def start(context: contexts.Context) -> bool:
    """Bring the newest known version into force on a fresh instance."""
    row = await context.ports.table.get(configstore.HEAD_KEY)
    markers = await _fetch_markers(context)
    table_answered = isinstance(row, result.Success)
    table_head = None
    if table_answered and row.unwrap() is not None:
        table_head = _read_head(row.unwrap())
    head = adoption.choose_at_start(
        table_head,
        table_answered,
        markers.value_or([]),
        isinstance(markers, result.Success),
    )
    return head is not None and await _adopt(context, head)


async def adopt_newest(context: contexts.Context) -> bool:
    """Look for a newer version and bring it into force."""
    if context.adoption.head is None:
        return await start(context)
    found = await context.ports.table.get(configstore.HEAD_KEY)
    if isinstance(found, result.Success):
        row = found.unwrap()
        head = _read_head(row) if row else None
    else:
        if context.adoption.highest_seen <= context.adoption.head.version:
            return False
        markers = await _fetch_markers(context)
        head = max(markers.value_or([]), default=None)
    if head is None or not adoption.may_adopt(context.adoption, head, True):
        return False
    return await _adopt(context, head)


async def _adopt(context: contexts.Context, head: adoption.Head) -> bool:
    text = await configstore.fetch_body(context, head.digest)
    checked = configuration.check_configuration(text)
    if isinstance(checked, result.Failure):
        detail = f'version {head.version}'
        contexts.record_event(context, 'config-unreadable', 'config', detail)
        return False
    kept = await _keep_marker(context, head)
    if not adoption.may_adopt(context.adoption, head, kept):
        return False
    context.configuration = checked.unwrap()
    context.configuration_text = text
    adoption.record_adopted(context.adoption, head)
    context.metrics.config_version.set({}, head.version)
    detail = f'version {head.version}'
    contexts.record_event(context, 'config-in-force', 'config', detail)
    return True


async def _keep_marker(context: contexts.Context, head: adoption.Head) -> bool:
    markers = (await _fetch_markers(context)).value_or([])
    if head in markers:
        return True
    key = f'{MARKER_PREFIX}{head.version:010d}-{head.digest}'
    kept = await context.ports.objects.put(key, b'')
    if isinstance(kept, result.Failure):
        return False
    for old in markers:
        if old.version <= head.version - configstore.KEPT_VERSIONS:
            key = f'{MARKER_PREFIX}{old.version:010d}-{old.digest}'
            await context.ports.objects.delete(key)
    return True


async def _fetch_markers(
    context: contexts.Context,
) -> result.Result[list[adoption.Head], tablerow.StoreFault]:
    found = await context.ports.objects.list(MARKER_PREFIX)
    return found.map(_read_markers)


def _read_markers(keys: list[str]) -> list[adoption.Head]:
    heads = []
    for key in keys:
        number, _, digest = key.removeprefix(MARKER_PREFIX).partition('-')
        heads.append(adoption.Head(int(number), digest))
    return heads


def _read_head(row: tablerow.Row) -> adoption.Head:
    value = json.loads(row.value)
    return adoption.Head(value['version'], value['digest'])
