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
from .edges import suspendclock
from .reporting import logs
from .reporting import problemdetails
from .running import context as contexts
from .running import gossip
from .running import instance
from .running import settings

__all__ = ['main', 'run']

OPERATOR_CONNECTIONS = 64
CLOSE_POLL_MS = 200


@cappa.command(name='pomelopassd', help='Run one instance of pomelopass.')
@dataclasses.dataclass
class Daemon:
    """Arguments of the daemon."""

    settings: Annotated[
        str, cappa.Arg(long=True, help='File with the settings.')
    ]
    check: Annotated[
        bool, cappa.Arg(long=True, help='Check the settings and exit.')
    ] = False


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    arguments = cappa.parse(Daemon, completion=False)
    load_result = settings.load_settings(arguments.settings)
    if isinstance(load_result, result.Failure):
        for settings_problem in load_result.failure():
            print(problem.format_problem(settings_problem), file=sys.stderr)
        sys.exit(exitstatus.BAD_SETTINGS)
    daemon_settings = load_result.unwrap()
    try:
        token = (
            pathlib.Path(daemon_settings.operator_token_file)
            .read_text()
            .strip()
        )
    except OSError as error:
        print(f'The token file cannot be read: {error}', file=sys.stderr)
        sys.exit(exitstatus.BAD_SETTINGS)
    if arguments.check:
        print('The settings are valid.')
        return
    logs.set_up_logs(daemon_settings.log_level)
    with asyncio.Runner(loop_factory=suspendclock.SuspendAwareLoop) as runner:
        sys.exit(runner.run(run(daemon_settings, token)))


async def run(daemon_settings: settings.Settings, token: str) -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    http = httpclient.HttpClient()
    peer_client = peerclient.PeerClient()
    daemon_ports = make_ports(daemon_settings, http, peer_client)
    context = instance.build_instance(daemon_settings, daemon_ports, token)
    try:
        servers = await _listen(context)
    except OSError as error:
        logging.getLogger(__name__).error(
            'listen-failed', extra={'detail': str(error)}
        )
        return exitstatus.ADDRESS_IN_USE
    instance.start(context)
    await _wait_for_signal()
    stop_task = asyncio.ensure_future(instance.stop(context))
    for server in servers[:2]:
        server.stop_keep_alive()
    while context.stopping.phase in (
        stopping.Phase.RUNNING,
        stopping.Phase.UNLISTED,
    ):
        await daemon_ports.clock.sleep(CLOSE_POLL_MS)
    await servers[0].close()
    await stop_task
    while servers[0].in_flight:
        await daemon_ports.clock.sleep(CLOSE_POLL_MS)
    await servers[1].close()
    servers[2].close()
    await http.close()
    await peer_client.close()
    return 0


def make_ports(
    daemon_settings: settings.Settings,
    http: httpclient.HttpClient,
    peer_client: peerclient.PeerClient,
) -> ports.Ports:
    """Return ports that use sockets and the system clocks."""
    return ports.Ports(
        clock=clock.SystemClock(),
        rng=random.SystemRandom(),
        http=http,
        table=storeclient.TableClient(http, daemon_settings.table_address),
        objects=storeclient.ObjectClient(http, daemon_settings.object_address),
        fetch_listing=storeclient.make_fetch_listing(
            http, daemon_settings.list_address
        ),
        peers=peer_client,
        write_event=logs.make_write_event(logging.getLogger('pomelopass')),
    )


async def _listen(context: contexts.Context):
    daemon_settings = context.settings

    async def serve_caller(request: message.Request) -> message.Reply:
        return await route.handle_caller(context, request)

    async def serve_operator(request: message.Request) -> message.Reply:
        return await route.handle_operator(context, request)

    callers = httpserver.HttpServer(
        serve_caller,
        problemdetails.make_status_refusal,
        daemon_settings.max_body_bytes,
        daemon_settings.max_connections,
    )
    operators = httpserver.HttpServer(
        serve_operator,
        problemdetails.make_status_refusal,
        daemon_settings.max_body_bytes,
        OPERATOR_CONNECTIONS,
    )
    peers = peerserver.PeerServer(
        gossip.PeerHandler(context),
        lambda: context.metrics.bad_frames.inc({}),
    )
    context.addresses.callers, _ = await httpserver.start_server(
        callers, daemon_settings.caller_address
    )
    context.addresses.operators, _ = await httpserver.start_server(
        operators, daemon_settings.operator_address
    )
    context.addresses.peers, _ = await peerserver.start_server(
        peers, daemon_settings.peer_address
    )
    return callers, operators, peers


async def _wait_for_signal() -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        with contextlib.suppress(NotImplementedError):
            loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
