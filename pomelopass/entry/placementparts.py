"""Assemble the placement of an instance."""

import asyncio
import collections
from collections import abc

from .. import message
from . import connecttimes
from ..fleet import member
from ..placement import placer as placers
from ..placement import snapshot as snapshots
from ..registry import registry as registries
from ..reporting import logevents
from ..requests import routes
from . import settings as entrysettings

__all__ = [
    'build_placer',
    'make_state_reply',
    'run_reports',
    'take_snapshot',
]

REPORT_INTERVAL_S = 10.0
MAX_ADDRESSES = 4096


def build_placer(
    settings: entrysettings.EntrySettings,
    times: connecttimes.ConnectTimes,
    registry: registries.Registry,
    get_carrier: abc.Callable[[str], str | None],
    membership: member.Membership,
) -> placers.Placer:
    """Return the placement, which measures latency by opened connections."""
    placer = placers.Placer(
        settings.availability_zone, settings.zone_transfer_ms_per_mb
    )

    # A search among 3,000 endpoints for each connection would take longer
    # than the connection.
    zone_by_address: dict[str, str | None] = {}

    def record_connected(address: str, took_ms: float) -> None:
        if not placer.is_enabled:
            return
        if address not in zone_by_address:
            if len(zone_by_address) >= MAX_ADDRESSES:
                zone_by_address.clear()
            zone_by_address[address] = _find_zone(registry, address)
        zone = zone_by_address[address]
        if zone is None:
            # The entry of the endpoint may be read later.
            del zone_by_address[address]
            return
        placer.latencies.record(zone, took_ms)

    def get_carrier_zone(endpoint_id: str) -> str | None:
        name = get_carrier(endpoint_id)
        if name is None:
            return None
        now = asyncio.get_running_loop().time()
        return next(
            (
                peer.availability_zone
                for peer in membership.get_helpers(now)
                if peer.name == name
            ),
            None,
        )

    times.on_connected = record_connected
    placer.get_carrier_zone = get_carrier_zone
    return placer


def _find_zone(registry: registries.Registry, address: str) -> str | None:
    return next(
        (
            state.endpoint.availability_zone
            for state in registry.state_by_id.values()
            if state.endpoint.address == address
        ),
        None,
    )


async def run_reports(
    placer: placers.Placer, write_event: logevents.WriteEvent
) -> None:
    """Log what left the zone in each interval, until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for event in placer.traffic.take_events():
            write_event(event)


def take_snapshot(
    instance: str,
    placer: placers.Placer,
    registry: registries.Registry,
    configuration: routes.Configuration | None,
    waiting_services: abc.Iterable[str],
) -> snapshots.Snapshot:
    """Return the state by which an instance places its work."""
    routes_by_host = {}
    if configuration is not None:
        routes_by_host = configuration.routes_by_host
    return snapshots.take(
        instance,
        placer,
        registry.state_by_id.values(),
        [
            snapshots.RouteServices(
                name=route.name,
                services=[share.service for share in route.shares],
                is_jobs=route.route_type is routes.RouteType.JOBS,
            )
            for host_routes in routes_by_host.values()
            for route in host_routes
        ],
        dict(collections.Counter(waiting_services)),
        asyncio.get_running_loop().time(),
    )


def make_state_reply(snapshot: snapshots.Snapshot) -> message.Reply:
    """Return the state as JSON."""
    headers = (('content-type', 'application/json'),)
    return message.Reply(200, headers, snapshot.model_dump_json().encode())
