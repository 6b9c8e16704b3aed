"""Keys of the callers of a soak test, and the check of what they reached."""

import asyncio
from collections import abc
import zlib

from soak import clients

__all__ = [
    'KEYS',
    'check_received',
    'check_removed_keys',
    'find_workspace',
    'get_key',
    'make_workspaces',
]

NAMES = ('red', 'blue')
STOLEN = 'stolen'
# Keys that are in force in all versions.
KEYS = tuple(f'{name}-main' for name in NAMES)
# Versions in which a key of each workspace stays valid.
KEY_VERSIONS = 2
REFUSED_STATUSES = (401, 503)


def make_workspaces(version: int) -> list[dict]:
    """Return the workspaces of a version: keys come, go and move."""
    keys_by_name = {
        name: [
            f'{name}-main',
            *(
                f'{name}-{number}'
                for number in range(version - KEY_VERSIONS + 1, version + 1)
            ),
        ]
        for name in NAMES
    }
    keys_by_name[NAMES[version % 2]].append('moving')
    return [
        {'name': name, 'api_keys': keys} for name, keys in keys_by_name.items()
    ]


def find_workspace(request_id: str) -> str:
    """Return the workspace for which a request is sent, by its id.

    Items, rewards and requests that resume a stream have longer ids.
    """
    base = '-'.join(request_id.split('-')[:2])
    return NAMES[zlib.crc32(base.encode()) % 2]


def get_key(request_id: str) -> str:
    """Return the key that a request presents."""
    if request_id.startswith(STOLEN):
        return STOLEN
    return f'{find_workspace(request_id)}-main'


def get_expected(request_id: str) -> list[str]:
    """Return the names that an endpoint must get with a request."""
    if '-score-' in request_id:
        return []
    if request_id.startswith('moved'):
        return [request_id.split('-')[1]]
    return [find_workspace(request_id)]


def check_received(records: dict, fail: abc.Callable[[str], None]) -> int:
    """Check that endpoints got the right workspace and no key at all.

    Return the number of requests.
    """
    count = 0
    for name, record in records.items():
        if name == 'events':
            continue
        for request_id, workspaces, has_key in record['received']:
            count += 1
            if has_key:
                fail(f'{name} got a key with {request_id}')
            if request_id.startswith((STOLEN, 'removed')):
                fail(f'{name} got {request_id}, which has no valid key')
            elif workspaces != get_expected(request_id):
                fail(f'{name} got {request_id} for {workspaces}')
    return count


async def check_removed_keys(
    callers: clients.Clients,
    put_version: abc.Callable[[], abc.Awaitable[int]],
    apply_s: float,
    fail: abc.Callable[[str], None],
) -> None:
    """Remove and move keys without other load, then use them everywhere."""
    version = await put_version()
    await asyncio.sleep(apply_s)
    owner = NAMES[version % 2]
    for name in callers.address_by_name:
        for workspace in NAMES:
            removed = f'{workspace}-{version - KEY_VERSIONS}'
            status = await _ask(callers, name, f'removed-{workspace}', removed)
            if status not in (*REFUSED_STATUSES, 0):
                fail(f'{name} answered {status} to a removed key')
            added = f'{workspace}-{version}'
            status = await _ask(callers, name, f'moved-{workspace}', added)
            if status == 401:
                fail(f'{name} refused a key that was added')
        status = await _ask(callers, name, f'moved-{owner}', 'moving')
        if status == 401:
            fail(f'{name} refused a key that moved')


async def _ask(
    callers: clients.Clients, name: str, prefix: str, key: str
) -> int:
    callers.counter += 1
    status, _, _ = await callers.call(
        name,
        'POST',
        '/scores/1',
        b'{}',
        attempt_id=f'{prefix}-{callers.counter}',
        authorization=f'Bearer {key}',
    )
    return status
