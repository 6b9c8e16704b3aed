"""Run one instance as a daemon."""

import asyncio
import contextlib
import dataclasses
import logging
import pathlib
import random
import signal
import sys
from typing import Annotated

import cappa
from returns import result

from . import exitstatus
from . import message
from . import ports
from . import route
from .configuring import problem
from .core import stopping
from .edges import clock
from .edges import httpclient
from .edges import httpserver
from .edges import peerclient
from .edges import peerserver
from .edges import storeclient
from .reporting import logs
from .reporting import problemdetails
from .running import context as contexts
from .running import gossip
from .running import instance
from .running import settings

__all__ = ['main', 'run']

OPERATOR_CONNECTIONS = 64
CLOSE_WAIT_MS = 200


@cappa.command(name='pomelopassd', help='Run one instance of pomelopass.')
@dataclasses.dataclass
class Daemon:
    """Hold the arguments of the daemon."""

    settings: Annotated[
        str, cappa.Arg(long=True, help='File with the settings.')
    ]
    check: Annotated[
        bool, cappa.Arg(long=True, help='Check the settings and end.')
    ] = False


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    arguments = cappa.parse(Daemon, completion=False)
    loaded = settings.load_settings(arguments.settings)
    if isinstance(loaded, result.Failure):
        for one in loaded.failure():
            print(problem.format_problem(one), file=sys.stderr)
        sys.exit(exitstatus.BAD_SETTINGS)
    given = loaded.unwrap()
    try:
        token = pathlib.Path(given.operator_token_file).read_text().strip()
    except OSError as error:
        print(f'The token file cannot be read: {error}', file=sys.stderr)
        sys.exit(exitstatus.BAD_SETTINGS)
    if arguments.check:
        print('The settings are valid.')
        return
    logs.set_up_logs(given.log_level)
    sys.exit(asyncio.run(run(given, token)))


async def run(given: settings.Settings, token: str) -> int:
    """Serve until a signal comes; return the exit status."""
    http = httpclient.HttpClient()
    peer_client = peerclient.PeerClient()
    bundle = make_ports(given, http, peer_client)
    context = instance.build_instance(given, bundle, token)
    try:
        servers = await _listen(context)
    except OSError as error:
        logging.getLogger(__name__).error(
            'listen-failed', extra={'detail': str(error)}
        )
        return exitstatus.ADDRESS_IN_USE
    instance.start(context)
    await _wait_for_signal()
    stop = asyncio.ensure_future(instance.stop(context))
    for server in servers[:2]:
        server.stop_keep_alive()
    while context.stopping.phase in (
        stopping.Phase.RUNNING,
        stopping.Phase.UNLISTED,
    ):
        await bundle.clock.sleep(CLOSE_WAIT_MS)
    await servers[0].close()
    await stop
    while servers[0].in_flight:
        await bundle.clock.sleep(CLOSE_WAIT_MS)
    await servers[1].close()
    servers[2].close()
    await http.close()
    await peer_client.close()
    return 0


def make_ports(
    given: settings.Settings,
    http: httpclient.HttpClient,
    peer_client: peerclient.PeerClient,
) -> ports.Ports:
    """Return ports that use sockets and the clocks of the machine."""
    return ports.Ports(
        clock=clock.SystemClock(),
        rng=random.SystemRandom(),
        http=http,
        table=storeclient.TableClient(http, given.table_address),
        objects=storeclient.ObjectClient(http, given.object_address),
        fetch_listing=storeclient.make_fetch_listing(http, given.list_address),
        peers=peer_client,
        write_event=logs.make_write_event(logging.getLogger('pomelopass')),
    )


async def _listen(context: contexts.Context):
    given = context.settings

    async def serve_caller(request: message.Request) -> message.Reply:
        return await route.handle_caller(context, request)

    async def serve_operator(request: message.Request) -> message.Reply:
        return await route.handle_operator(context, request)

    callers = httpserver.HttpServer(
        serve_caller,
        problemdetails.make_status_refusal,
        given.max_body_bytes,
        given.max_connections,
    )
    operators = httpserver.HttpServer(
        serve_operator,
        problemdetails.make_status_refusal,
        given.max_body_bytes,
        OPERATOR_CONNECTIONS,
    )
    peer = peerserver.PeerServer(
        gossip.PeerHandler(context),
        lambda: context.metrics.bad_frames.inc({}),
    )
    context.addresses.callers, _ = await httpserver.start_server(
        callers, given.caller_address
    )
    context.addresses.operators, _ = await httpserver.start_server(
        operators, given.operator_address
    )
    context.addresses.peers, _ = await peerserver.start_server(
        peer, given.peer_address
    )
    return callers, operators, peer


async def _wait_for_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        with contextlib.suppress(NotImplementedError):
            loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
