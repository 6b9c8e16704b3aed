"""Serve callers and peers until the process is stopped."""

import asyncio
import contextlib
import logging
import os
import resource
import signal
import sys

from returns import result

from .. import exitstatus
from . import clients
from . import clientwatch
from ..configuring import problem
from . import connectionshares
from ..edges import callerload
from ..edges import callermemory
from ..edges import frameguard
from ..edges import httpserver
from ..edges import requestbody
from ..edges import requestreader
from ..edges import suspendclock
from . import eventlog
from . import node as nodes
from ..placement import snapshot as snapshots
from . import placementparts
from ..platform import ingress
from . import reload
from ..reporting import logevents
from . import settings as entrysettings
from . import telemetry

__all__ = ['main']

USAGE = 'usage: python3 -m pomelopass.entry --settings PATH [--check]'
# Limit in force before a configuration is known, in bytes.
MAX_BODY_BYTES = 33_554_432
# Requests to the other addresses have no bodies.
MAX_PROBE_BODY_BYTES = 16_384
# Share of the memory limit for what callers' connections hold. On the
# smallest instance (160 MB) one body of the largest legal size fits.
CALLER_SHARE = 0.25
POLL_INTERVAL_MS = 100.0
# Upper bound of reported ages; the age of a table never read is infinite.
MAX_AGE_S = 86_400.0
# Callers may use addresses cached from the directory for this long.
DIRECTORY_DRAIN_MS = 3500.0
# Idle time after which no more requests are expected.
QUIET_PERIOD_MS = 1500.0
# Part of the stop limit reserved for closing servers and tasks.
STOP_MARGIN_MS = 700.0


def main() -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    arguments = sys.argv[1:]
    if len(arguments) < 2 or arguments[0] != '--settings':
        print(USAGE, file=sys.stderr)
        return exitstatus.BAD_SETTINGS
    loaded = entrysettings.load_entry_settings(arguments[1])
    if isinstance(loaded, result.Failure):
        for settings_problem in loaded.failure():
            print(problem.format_problem(settings_problem), file=sys.stderr)
        return exitstatus.BAD_SETTINGS
    if '--check' in arguments:
        print('The settings are valid.')
        return 0
    with asyncio.Runner(loop_factory=suspendclock.SuspendAwareLoop) as runner:
        return runner.run(run(loaded.unwrap(), arguments[1]))


async def run(settings: entrysettings.EntrySettings, path: str) -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    log = eventlog.set_up_event_log(settings.log_level)
    logger = logging.getLogger('pomelopass')
    metrics = telemetry.Telemetry(settings.name)
    write_event = metrics.wrap(
        eventlog.make_write_event(logger, settings.name)
    )
    log_task = asyncio.ensure_future(log.run())
    http_clients = clients.HttpClients()
    ports = clients.make_ports(settings, http_clients, write_event)
    node = nodes.build_node(settings, ports)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    settings_watch = reload.SettingsWatch(
        path, node.apply_settings, write_event
    )
    loop.add_signal_handler(signal.SIGHUP, settings_watch.reload)
    try:
        servers, client_watch = await _listen(node, metrics)
    except OSError as error:
        write_event(logevents.ListenFailed(detail=str(error)))
        log.write_pending()
        return exitstatus.ADDRESS_IN_USE
    node.start()
    watch_task = asyncio.ensure_future(settings_watch.run())
    client_task = asyncio.ensure_future(client_watch.run())
    write_event(
        logevents.Started(start=ports.incarnation, process=os.getpid())
    )
    await stop_requested.wait()
    await _stop(node, servers, write_event)
    await http_clients.close()
    watch_task.cancel()
    client_task.cancel()
    log_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await log_task
    log.write_pending()
    return 0


async def _listen(
    node: nodes.Node, metrics: telemetry.Telemetry
) -> tuple[list[httpserver.HttpServer], clientwatch.ClientWatch]:
    settings = node.settings
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    shares = connectionshares.make_shares(settings, soft_limit)
    handlers = [
        (settings.caller_address, node.ingress.handle, shares.caller),
        (
            settings.readiness_address,
            node.ingress.handle_readiness,
            shares.probe,
        ),
        (
            settings.directory_address,
            node.ingress.handle_directory,
            shares.directory,
        ),
    ]

    async def handle_metrics(request):
        if request.target == snapshots.STATE_PATH:
            return placementparts.make_state_reply(node.take_placement())
        _set_gauges(metrics, node, servers[0], watch)
        return await metrics.handle(request)

    if settings.metrics_address is not None:
        handlers.append(
            (settings.metrics_address, handle_metrics, shares.probe)
        )
    load = callerload.CallerLoad(
        callermemory.CallerMemory(
            CALLER_SHARE * settings.memory_mb * nodes.BYTES_PER_MB
        )
    )
    # The server of the caller address is the first.
    servers: list[httpserver.HttpServer] = []
    for address, handler, max_connections in handlers:
        server = httpserver.HttpServer(
            _guard_handler(handler, node.write_event),
            ingress.make_refusal,
            MAX_PROBE_BODY_BYTES if servers else MAX_BODY_BYTES,
            max_connections,
            load,
        )
        await httpserver.start_server(server, address)
        servers.append(server)
    node.view.on_limits = lambda limits: _set_limits(servers[0], limits)
    guard = await _listen_to_peers(node, load, shares.relay)
    limits = [server.connections for server in servers]
    watch = clientwatch.ClientWatch(
        load.memory, [*limits, guard.connections], node.write_event
    )
    return servers, watch


async def _listen_to_peers(
    node: nodes.Node, load: callerload.CallerLoad, max_connections: int
) -> frameguard.FrameGuard:
    host, _, port = node.settings.relay_address.rpartition(':')
    guard = frameguard.FrameGuard(
        node.relay_server.serve_frame, load, max_connections
    )
    await asyncio.start_server(
        guard.serve, host, int(port), limit=frameguard.READ_BYTES
    )
    return guard


def _set_gauges(
    metrics: telemetry.Telemetry,
    node: nodes.Node,
    caller_server: httpserver.HttpServer,
    watch: clientwatch.ClientWatch,
) -> None:
    for table_name, age_s in node.get_ages_s().items():
        metrics.ages.set({'table': table_name}, min(age_s, MAX_AGE_S))
    metrics.open.set({'kind': 'jobs'}, len(node.job_manager.task_by_id))
    metrics.open.set({'kind': 'waiting'}, len(node.scheduler.waiting))
    metrics.open.set({'kind': 'usage-reports'}, node.usage.count_unreported())
    for outcome, count in caller_server.connections.count_by_outcome.items():
        metrics.connections.set({'outcome': outcome}, count)
    for outcome, count in watch.get_counts().items():
        metrics.limited.set({'outcome': outcome}, count)
    metrics.client_bytes.set({}, watch.memory.total)


def _set_limits(server: httpserver.HttpServer, limits) -> None:
    # One body of the largest legal size fits, however small the instance is. A
    # chunked one reserves up to one step more than its size.
    memory = server.load.memory
    memory.max_bytes = max(
        memory.max_bytes, limits.max_body_bytes + requestbody.STEP_BYTES
    )
    server.limits = requestreader.Limits(
        limits.max_head_bytes,
        limits.max_body_bytes,
        limits.head_timeout_ms,
        limits.idle_timeout_ms,
    )


def _guard_handler(
    handler: httpserver.Handler, write_event: logevents.WriteEvent
) -> httpserver.Handler:
    async def handle(request):
        try:
            return await handler(request)
        except OSError:
            raise
        except Exception as error:
            # An error in one request must not end the process; it is logged.
            logging.getLogger('pomelopass').exception('request-failed')
            write_event(logevents.RequestFailed(detail=repr(error)))
            return ingress.make_refusal(500, 'The instance failed.')

    return handle


def _is_busy(server: httpserver.HttpServer) -> bool:
    idle_ms = (
        asyncio.get_running_loop().time() - server.last_request_at_s
    ) * 1000
    return server.in_flight > 0 or idle_ms < QUIET_PERIOD_MS


async def _stop(
    node: nodes.Node,
    servers: list[httpserver.HttpServer],
    write_event: logevents.WriteEvent,
) -> None:
    loop = asyncio.get_running_loop()
    stopping_since = loop.time()
    deadline = (
        stopping_since + node.settings.stop_limit_s - STOP_MARGIN_MS / 1000
    )
    write_event(logevents.Stopping(owned=len(node.job_manager.task_by_id)))
    node.begin_stop(deadline)
    servers[0].stop_keep_alive()
    while loop.time() < min(
        stopping_since + DIRECTORY_DRAIN_MS / 1000, deadline
    ):
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)
    await node.job_manager.stop()
    while (
        _is_busy(servers[0]) or node.paths.tunnels.is_busy()
    ) and loop.time() < deadline:
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)
    for server in servers:
        await server.close()
    await node.end_stop()
    write_event(logevents.Stopped(in_flight=servers[0].in_flight))
