"""Run an entry instance as a process."""

import asyncio
import contextlib
import logging
import os
import random
import signal
import sys
import time

from returns import result

from .. import exitstatus
from ..configuring import problem
from ..edges import httpclient
from ..edges import httpserver
from ..edges import requestreader
from . import eventlog
from . import node as nodes
from ..platform import endpointclient
from ..platform import ingress
from ..platform import rowclient
from . import reload
from ..reporting import logevents
from . import settings as entrysettings
from . import telemetry

__all__ = ['main']

USAGE = 'usage: python3 -m pomelopass.entry --settings PATH [--check]'
MAX_BODY_BYTES = 33_554_432
MAX_CONNECTIONS = 6000
POLL_MS = 100.0
# Shown for a table that has never answered.
MAX_AGE_S = 86_400.0
# Callers that hold an older answer of the directory still come this long.
LINGER_MS = 3500.0
# A time without a request after which no caller seems to come any more.
QUIET_MS = 1500.0
# Time kept back at the end of the stop limit.
STOP_MARGIN_MS = 700.0


def main() -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    words = sys.argv[1:]
    if len(words) < 2 or words[0] != '--settings':
        print(USAGE, file=sys.stderr)
        return exitstatus.BAD_SETTINGS
    loaded = entrysettings.load_entry_settings(words[1])
    if isinstance(loaded, result.Failure):
        for one in loaded.failure():
            print(problem.format_problem(one), file=sys.stderr)
        return exitstatus.BAD_SETTINGS
    if '--check' in words:
        print('The settings are valid.')
        return 0
    return asyncio.run(run(loaded.unwrap(), words[1]))


async def run(given: entrysettings.EntrySettings, path: str) -> int:
    """Serve until a signal comes."""
    log = eventlog.set_up_event_log(given.log_level)
    logger = logging.getLogger('pomelopass')
    counted = telemetry.Telemetry(given.name)
    write_event = counted.wrap(eventlog.make_write_event(logger, given.name))
    log_task = asyncio.ensure_future(log.run())
    rng = random.SystemRandom()
    http = httpclient.HttpClient()
    ports = nodes.NodePorts(
        table=rowclient.RowClient(http, given.table_address),
        endpoints=endpointclient.EndpointClient(http),
        rng=rng,
        write_event=write_event,
        get_lease_now=lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
        incarnation=f'{given.name}-{rng.getrandbits(48):012x}',
    )
    node = nodes.build_node(given, ports)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    watch = reload.SettingsWatch(path, node.apply_settings, write_event)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    try:
        servers = await _listen(node, counted)
    except OSError as error:
        write_event(logevents.ListenFailed(detail=str(error)))
        log.write_pending()
        return exitstatus.ADDRESS_IN_USE
    node.start()
    watching = asyncio.ensure_future(watch.run())
    write_event(
        logevents.Started(start=ports.incarnation, process=os.getpid())
    )
    await stopped.wait()
    await _stop(node, servers, write_event)
    await http.close()
    watching.cancel()
    log_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await log_task
    log.write_pending()
    return 0


async def _listen(
    node: nodes.Node, counted: telemetry.Telemetry
) -> list[httpserver.HttpServer]:
    given = node.settings
    handlers = [
        (given.caller_address, node.ingress.handle),
        (given.readiness_address, node.ingress.handle_readiness),
        (given.directory_address, node.ingress.handle_directory),
    ]

    async def handle_metrics(request):
        for name, age_s in node.get_ages_s().items():
            counted.ages.set({'table': name}, min(age_s, MAX_AGE_S))
        counted.open.set({'kind': 'jobs'}, len(node.keeper.task_by_id))
        counted.open.set({'kind': 'waiting'}, len(node.scheduler.waiting))
        return await counted.handle(request)

    if given.metrics_address is not None:
        handlers.append((given.metrics_address, handle_metrics))
    servers = []
    for address, handler in handlers:
        server = httpserver.HttpServer(
            _make_guarded(handler, node.write_event),
            ingress.make_refusal,
            MAX_BODY_BYTES,
            MAX_CONNECTIONS,
        )
        await httpserver.start_server(server, address)
        servers.append(server)
    node.view.on_limits = lambda limits: _set_limits(servers[0], limits)
    host, _, port = given.relay_address.rpartition(':')
    await asyncio.start_server(node.relay_server.serve, host, int(port))
    return servers


def _set_limits(server: httpserver.HttpServer, limits) -> None:
    server.limits = requestreader.Limits(
        limits.max_head_bytes,
        limits.max_body_bytes,
        limits.head_timeout_ms,
        limits.idle_timeout_ms,
    )


def _make_guarded(
    handler: httpserver.Handler, write_event: logevents.WriteEvent
) -> httpserver.Handler:
    async def handle(request):
        try:
            return await handler(request)
        except OSError:
            raise
        except Exception as error:
            # One request must not end the process; its cause is logged.
            logging.getLogger('pomelopass').exception('request-failed')
            write_event(logevents.RequestFailed(detail=repr(error)))
            return ingress.make_refusal(500, 'The instance failed.')

    return handle


def _is_busy(server: httpserver.HttpServer) -> bool:
    idle_ms = (asyncio.get_running_loop().time() - server.last_at) * 1000
    return server.in_flight > 0 or idle_ms < QUIET_MS


async def _stop(
    node: nodes.Node,
    servers: list[httpserver.HttpServer],
    write_event: logevents.WriteEvent,
) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    limit = began + node.settings.stop_limit_s - STOP_MARGIN_MS / 1000
    write_event(logevents.Stopping(owned=len(node.keeper.task_by_id)))
    node.begin_stop()
    servers[0].stop_keeping()
    while loop.time() < min(began + LINGER_MS / 1000, limit):
        await asyncio.sleep(POLL_MS / 1000)
    await node.keeper.stop()
    while _is_busy(servers[0]) and loop.time() < limit:
        await asyncio.sleep(POLL_MS / 1000)
    for server in servers:
        await server.close()
    await node.end_stop()
    write_event(logevents.Stopped(in_flight=servers[0].in_flight))


if __name__ == '__main__':
    sys.exit(main())
