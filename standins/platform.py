"""Run the platform of entry instances: its table and its endpoints."""

import asyncio
import json
import random
import signal

from pomelopass.edges import httpserver
from pomelopass import message
from standins import dutyapi
from standins import modelengines
from standins import platformendpoints
from standins import platformtable
from standins import server

__all__ = ['Platform', 'main']

MAX_BODY_BYTES = 33_554_432
MAX_CONNECTIONS = 4096


class Platform:
    """Table, endpoints, duties, and a record of what they received."""

    def __init__(self, seed: int):
        rng = random.Random(seed)
        self.table = platformtable.PlatformTable(rng)
        self.pool = modelengines.EndpointPool(self.table.service, rng)
        self.duties = dutyapi.DutyApi()
        self.server_by_id: dict[str, platformendpoints.EndpointServer] = {}

    async def add(self, endpoint: modelengines.FakeEndpoint) -> None:
        """Start an endpoint."""
        endpoint_server = platformendpoints.EndpointServer(self.pool, endpoint)
        self.server_by_id[endpoint.id] = endpoint_server
        await endpoint_server.start()

    async def handle(self, request: message.Request) -> message.Reply:
        """Answer a table call or a test's control request."""
        if request.target == '/seen':
            return platformtable.make_json(200, self._get_seen())
        if request.target == '/endpoint':
            return self._change_endpoint(request)
        if request.target in ('/usage', '/scale'):
            return await self.duties.handle(request)
        if request.target == '/duties':
            return platformtable.make_json(200, self._get_duties())
        return await self.table.handle(request)

    def _get_duties(self) -> dict:
        return {
            'calls': len(self.duties.calls),
            'violations': self.duties.find_violations(),
            'windows': sorted(self.duties.body_by_window),
        }

    def _change_endpoint(self, request: message.Request) -> message.Reply:
        changes = json.loads(request.body)
        endpoint = self.pool.endpoint_by_id[changes.pop('id')]
        for name, value in changes.items():
            setattr(endpoint, name, value)
        if endpoint.alive:
            self.pool.register(endpoint)
        else:
            self.table.service.remove(modelengines.ENDPOINT_TABLE, endpoint.id)
        return platformtable.make_json(200, {})

    def _get_seen(self) -> dict:
        return {
            endpoint.id: {
                'address': endpoint.address,
                'ran': endpoint.ran,
                'running': endpoint.running,
                'received': [
                    _summarize(request_id, headers)
                    for request_id, headers in endpoint.received
                ],
                'versions': endpoint.version_by_model,
                'orders': [
                    [order.version, order.holder, order.fence]
                    for order in endpoint.accepted_orders
                ],
            }
            for endpoint in self.pool.endpoint_by_id.values()
        } | {'events': self.pool.events_by_item}


def _summarize(request_id: str, headers: message.Headers) -> list:
    """Return the id, the names of workspaces, and whether there is a key."""
    return [
        request_id,
        [value for name, value in headers if name == 'tenant'],
        any(name == 'authorization' for name, _ in headers),
    ]


def main() -> None:
    """Run the platform until SIGTERM or SIGINT."""
    parser = server.make_parser(__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument('--services', type=int, default=2)
    parser.add_argument('--models', default='matcher')
    arguments = parser.parse_args()
    asyncio.run(_run(arguments))


async def _run(arguments) -> None:
    platform = Platform(arguments.seed)
    listener = httpserver.HttpServer(
        platform.handle,
        lambda status, detail: platformtable.make_json(
            status, {'error': detail}
        ),
        MAX_BODY_BYTES,
        MAX_CONNECTIONS,
    )
    bound_address, _ = await httpserver.start_server(
        listener, arguments.address
    )
    models = arguments.models.split(',')
    for number in range(arguments.engines):
        await platform.add(
            modelengines.FakeEndpoint(
                f'engine-{number}',
                'engines',
                version_by_model=dict.fromkeys(models, 1),
            )
        )
    for number in range(arguments.services):
        await platform.add(modelengines.FakeEndpoint(f'desk-{number}', 'desk'))
    print(
        json.dumps({'name': arguments.name, 'address': bound_address}),
        flush=True,
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


if __name__ == '__main__':
    main()
