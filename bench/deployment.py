"""Build the two example deployments on a virtual clock."""

import asyncio
import json

import jsonc

from scripts import fleet
from standins import cluster

__all__ = ['build', 'read_example']

ENTRIES = 12
ZONES_BY_NAME = {
    'sinaleira': ('recife', 'fortaleza', 'natal'),
    'al-nakheel': ('ruwi', 'seeb', 'qurum'),
}
CROSS_ZONE_MS_BY_NAME = {'sinaleira': 5.0, 'al-nakheel': 4.0}
LOSS_SHARE = 0.005
SETTLE_S = 4.0


def read_example(name: str) -> dict:
    """Return the example configuration of a deployment."""
    path = fleet.ROOT / 'examples' / f'{name}.jsonc'
    return jsonc.loads(path.read_text(encoding='utf-8'))


async def build(
    name: str,
    value: dict,
    engines: dict[str, int],
    services: dict[str, int],
    seed: int,
    entries: int = ENTRIES,
    work_ms: float = 5.0,
    **options: object,
) -> cluster.Cluster:
    """Return a running deployment with a configuration in force."""
    zones = ZONES_BY_NAME[name]
    sim_cluster = cluster.Cluster(seed, zones)
    sim_cluster.network.far_ms = CROSS_ZONE_MS_BY_NAME[name]
    sim_cluster.network.loss = LOSS_SHARE
    for pool, count in engines.items():
        for index in range(count):
            zone = zones[index % len(zones)]
            sim_cluster.add_engine(f'{pool}-{index}', pool, zone, **options)
    for pool, count in services.items():
        for index in range(count):
            zone = zones[index % len(zones)]
            sim_cluster.add_service(f'{pool}-{index}', pool, zone, work_ms)
    for index in range(entries):
        sim_cluster.add_member(f'entry-{index}', zones[index % len(zones)])
    await asyncio.sleep(SETTLE_S / 2)
    reply = await sim_cluster.propose('entry-0', 0, json.dumps(value))
    if reply.status != 200:
        raise RuntimeError(reply.body)
    await asyncio.sleep(SETTLE_S)
    return sim_cluster
