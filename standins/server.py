"""Serve HTTP for a stand-in, with injected faults and a timeline."""

import argparse
import asyncio
from collections import abc
import dataclasses
import json
import signal
import time
from urllib import parse

from pomelopass.edges import httpserver
from pomelopass import message

__all__ = ['App', 'make_json', 'make_parser', 'run_app']

MAX_BODY_BYTES = 268_435_456
MAX_CONNECTIONS = 4096
MAX_EVENTS = 10_000

Handler = abc.Callable[
    [message.Request, dict[str, str]], abc.Awaitable[message.Reply]
]


@dataclasses.dataclass(slots=True)
class App:
    """Routes by method and path, injected faults and timeline events."""

    name: str
    routes: dict[tuple[str, str], Handler] = dataclasses.field(
        default_factory=dict
    )
    faults: dict[str, float] = dataclasses.field(default_factory=dict)
    events: list[dict] = dataclasses.field(default_factory=list)

    def record_event(self, kind: str, subject: str, detail: str) -> None:
        """Append an event to the timeline."""
        event = {
            'utc_ms': time.time() * 1000,
            'order': len(self.events),
            'process': self.name,
            'kind': kind,
            'subject': subject,
            'detail': detail,
        }
        self.events.append(event)
        del self.events[:-MAX_EVENTS]

    def take_fault(self, name: str) -> bool:
        """Consume one of a counted fault; return whether one was left."""
        count = self.faults.get(name, 0)
        if count > 0:
            self.faults[name] = count - 1
        return count > 0

    async def handle(self, request: message.Request) -> message.Reply:
        """Dispatch a request to its route."""
        path, _, text = request.target.partition('?')
        query = dict(parse.parse_qsl(text))
        if path == '/faults':
            return self._set_faults(request)
        if path == '/timeline':
            return make_json({'events': self.events})
        head, _, rest = path[1:].partition('/')
        for key in (path, f'/{head}/*'):
            handler = self.routes.get((request.method, key))
            if handler is not None:
                query['rest'] = parse.unquote(rest)
                return await handler(request, query)
        return make_json({'error': 'not found'}, 404)

    def _set_faults(self, request: message.Request) -> message.Reply:
        if request.method == 'POST':
            self.faults = json.loads(request.body)
            self.record_event('faults-set', self.name, json.dumps(self.faults))
        return make_json(self.faults)


def make_json(
    value: object, status: int = 200, headers: message.Headers = ()
) -> message.Reply:
    """Return a reply with a JSON body."""
    headers = (('content-type', 'application/json'), *headers)
    return message.Reply(status, headers, json.dumps(value).encode())


def make_parser(doc: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument('--address', default='127.0.0.1:0')
    parser.add_argument('--name', default='standin')
    return parser


async def run_app(app: App, address: str) -> None:
    """Print the address and serve until SIGTERM or SIGINT."""
    server = httpserver.HttpServer(
        app.handle,
        lambda status, detail: make_json({'error': detail}, status),
        MAX_BODY_BYTES,
        MAX_CONNECTIONS,
    )
    bound_address, _ = await httpserver.start_server(server, address)
    print(json.dumps({'name': app.name, 'address': bound_address}), flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await server.close()
