"""Build configurations with workspaces, and requests with keys."""

import asyncio

from pomelopass import message
from standins import virtualloop
from tests import entrybuilders

KEYS = {'red': ['red-key-1', 'red-key-2'], 'blue': ['blue-key-1']}
SCORES = '/scores/1'


def make_configuration(version=2, keys=None, anonymous=()):
    """Return a configuration with workspaces and some anonymous routes."""
    value = entrybuilders.make_configuration(version)
    value['tenants'] = [
        {'name': name, 'api_keys': list(workspace_keys)}
        for name, workspace_keys in (KEYS if keys is None else keys).items()
    ]
    for route in value['routes']:
        route['anonymous'] = route['name'] in anonymous
    return value


def make_request(
    key=None, target=SCORES, headers=(), request_id='r1', body=b'x', **changes
):
    """Return a request that presents a key."""
    if key is not None:
        headers = (('authorization', f'Bearer {key}'), *headers)
    return message.Request(
        changes.get('method', 'POST'),
        target,
        (
            ('host', entrybuilders.HOST),
            ('attempt-id', request_id),
            ('deadline-ms', '5000'),
            *headers,
        ),
        body,
    )


def get_received(cluster, request_id=None):
    """Return the headers that endpoints got, of one request or of all."""
    return [
        headers
        for endpoint in cluster.pool.endpoint_by_id.values()
        for received_id, headers in endpoint.received
        if request_id in (None, received_id)
    ]


def get_workspaces(cluster, request_id='r1'):
    """Return the names that endpoints got with a request."""
    return [
        [value for name, value in headers if name == 'tenant']
        for headers in get_received(cluster, request_id)
    ]


async def put(cluster, *arguments, **changes):
    """Write a configuration and wait until it is in force."""
    cluster.put_configuration(make_configuration(*arguments, **changes))
    await asyncio.sleep(1.0)


def set_slots(cluster, slots):
    """Let the plain endpoints take so many requests at a time."""
    for endpoint in cluster.pool.endpoint_by_id.values():
        if endpoint.service == 'desk':
            endpoint.slots = slots


def run(scenario, configuration=None, **changes):
    """Run a scenario on a cluster whose configuration has workspaces."""

    async def start():
        cluster = entrybuilders.make_cluster(**changes)
        cluster.put_configuration(configuration or make_configuration())
        await asyncio.sleep(entrybuilders.START_S)
        await scenario(cluster)
        await cluster.stop()

    virtualloop.run(start())
