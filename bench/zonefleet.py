"""Run the fleet of a pattern with several zones, and its faults."""

import asyncio
import random

from bench import stepdata
from bench import zonedata
from standins import entries
from standins import modelengines

__all__ = ['inject', 'make_cluster', 'run_turns']

SERVICE = 'desk'
ENGINES = 'engines'
MODEL = 'a'


def make_cluster(
    pattern: zonedata.ZonePattern, seed: int, has_price: bool
) -> entries.EntryCluster:
    """Return a running fleet in the zones of a pattern."""
    cluster = entries.EntryCluster(seed)
    cluster.put_configuration(_make_configuration(pattern))
    cluster.pool.way_s = pattern.one_way_ms / 1000
    cluster.pool.way_jitter = pattern.jitter
    for zone in pattern.zones:
        for number in range(zone.endpoints):
            endpoint = _make_endpoint(pattern, zone, number)
            # Calls to an address are taken for calls to its zone.
            count = len(cluster.pool.endpoint_by_id)
            endpoint.address = f'10.0.0.{count + 1}:8000'
            cluster.pool.add(endpoint)
    settings = {}
    if has_price:
        settings['zone_transfer_ms_per_mb'] = pattern.transfer_ms_per_mb
    for zone in pattern.zones:
        for number in range(zone.instances):
            cluster.start(f'{zone.name}-{number}', zone.name, **settings)
    return cluster


def _make_endpoint(
    pattern: zonedata.ZonePattern, zone: zonedata.Zone, number: int
) -> modelengines.FakeEndpoint:
    endpoint = modelengines.FakeEndpoint(
        f'{zone.name}-server-{number}',
        SERVICE,
        pattern.slots,
        slowness=1.0 / zone.pace,
        availability_zone=zone.name,
        queue=pattern.queue,
    )
    if pattern.steps is not None:
        endpoint.service = ENGINES
        endpoint.version_by_model = {MODEL: 1}
        endpoint.queue = 0
        endpoint.marks_end = True
    for work in pattern.work:
        endpoint.work_s_by_path[work.route] = work.work_ms / 1000
        endpoint.answer_bytes = work.answer_bytes
    return endpoint


def _make_configuration(pattern: zonedata.ZonePattern) -> dict:
    common = {
        'hostname': stepdata.HOST,
        'timeout_ms': 4000,
        'target_latency_ms': 400,
        'max_attempts': 3,
    }
    work_routes = [
        {
            **common,
            'name': work.route,
            'path_prefix': f'/{work.route}/',
            'route_type': 'idempotent',
            'service': SERVICE,
        }
        for work in pattern.work
    ]
    job_route = {
        **common,
        'name': 'jobs',
        'path_prefix': '/jobs/',
        'route_type': 'rollout',
        'service': ENGINES,
        'timeout_ms': 10_000,
        'result_deadline_ms': stepdata.GROUP_DEADLINE_S * 1000,
        'item_ttl_s': 40,
    }
    limits = {
        'max_header_bytes': 16_384,
        'max_body_bytes': 1_000_000,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15_000,
    }
    engines = {'name': ENGINES, 'engine': {'models': [{'name': MODEL}]}}
    return {
        'version': 1,
        'routes': [*work_routes, job_route],
        'services': [engines, {'name': SERVICE}],
        'limits': limits,
    }


async def run_turns(
    cluster: entries.EntryCluster, turns: zonedata.Turns, rng: random.Random
) -> None:
    """Make servers slower by turns until cancelled."""
    names = list(cluster.pool.endpoint_by_id)
    while True:
        slow = [name for name in names if rng.random() < turns.share]
        for name in slow:
            cluster.pool.endpoint_by_id[name].slowness *= turns.factor
        try:
            await asyncio.sleep(turns.turn_ms / 1000)
        finally:
            for name in slow:
                cluster.pool.endpoint_by_id[name].slowness /= turns.factor


async def inject(
    cluster: entries.EntryCluster,
    fault: zonedata.ZoneFault,
    demand_by_zone: dict[str, float],
) -> None:
    """Begin a fault at its time and end it after its duration."""
    await asyncio.sleep(fault.at_s)
    in_zone = [
        endpoint
        for endpoint in cluster.pool.endpoint_by_id.values()
        if endpoint.availability_zone == fault.zone
    ]
    if fault.kind == 'demand':
        demand_by_zone[fault.zone] *= fault.factor
        await asyncio.sleep(fault.for_s)
        demand_by_zone[fault.zone] /= fault.factor
    elif fault.kind == 'lost':
        for endpoint in in_zone:
            cluster.pool.crash(endpoint.id)
    elif fault.kind == 'slow':
        for endpoint in in_zone:
            endpoint.slowness *= fault.factor
        await asyncio.sleep(fault.for_s)
        for endpoint in in_zone:
            endpoint.slowness /= fault.factor
    elif fault.kind == 'slow-way':
        cluster.pool.way_factor_by_zone[fault.zone] = fault.factor
        await asyncio.sleep(fault.for_s)
        del cluster.pool.way_factor_by_zone[fault.zone]
    else:
        await _partition(cluster, fault)


async def _partition(
    cluster: entries.EntryCluster, fault: zonedata.ZoneFault
) -> None:
    """Cut the ways between a zone and all others."""
    zones = {
        endpoint.availability_zone
        for endpoint in cluster.pool.endpoint_by_id.values()
    }
    all_links = [entry.links for entry in cluster.entry_by_name.values()]
    for links in all_links:
        lost = {fault.zone} if links.zone != fault.zone else zones
        links.lost_zones = lost - {links.zone}
        links.idle_ids.clear()
    await asyncio.sleep(fault.for_s)
    for links in all_links:
        links.lost_zones = set()
