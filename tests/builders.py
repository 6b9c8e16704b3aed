"""Build configurations and simulated clusters for tests."""

import json

from standins import cluster

ZONES = ('north', 'middle', 'south')
KEY = 'idempotency-key'


def make_configuration_text(**changes: dict[str, object]) -> str:
    """Return a small configuration with an order service and a trainer."""
    value = {
        'format': 1,
        'services': _make_services(changes.get('service', {})),
        'pools': _make_pools(changes.get('pool', {})),
        'trainers': {
            'learner': {
                'pool': 'engines',
                'model': 'matcher',
                'start_weights': 'matcher-start',
                'scorer': 'scores',
                'group_size': 2,
                'max_tokens': 8,
                'max_staleness_versions': 1,
                **changes.get('trainer', {}),
            }
        },
        'weight_versions': {
            'matcher-start': {'model': 'matcher', 'number': 1, 'object': 'w1'}
        },
        'placement_rules': {},
    }
    return json.dumps(value)


def _make_services(changes: dict[str, object]) -> dict[str, dict]:
    plain_service = {'pool': 'desk', 'kind': 'plain', 'timeout_ms': 3000}
    return {
        'orders': {**plain_service, 'repeatable': False},
        'stock': plain_service,
        'scores': plain_service,
        'matching': {
            'pool': 'engines',
            'kind': 'model',
            'model': 'matcher',
            **changes,
        },
    }


def _make_pools(changes: dict[str, object]) -> dict[str, dict]:
    return {
        'desk': {
            'kind': 'plain',
            'slots_per_endpoint': 16,
            'echoes_request_id': True,
        },
        'engines': {
            'kind': 'model',
            'models': ['matcher'],
            'resumes': True,
            'honours_priority': True,
            'echoes_request_id': True,
            'max_concurrent_loads': 3,
            **changes,
        },
    }


async def start_cluster(
    seed: int = 1,
    members: int = 3,
    engines: int = 3,
    services: int = 2,
    checks_fencing: bool = False,
    text: str | None = None,
    **options: object,
) -> cluster.Cluster:
    """Start a cluster, accept a configuration and return the cluster."""
    sim_cluster = cluster.Cluster(seed, ZONES)
    for index in range(engines):
        sim_cluster.add_engine(
            f'engine-{index}',
            'engines',
            ZONES[index % 3],
            checks_fencing=checks_fencing,
            **options,
        )
    for index in range(services):
        sim_cluster.add_service(f'desk-{index}', 'desk', ZONES[index % 3])
    for index in range(members):
        sim_cluster.add_member(f'entry-{index}', ZONES[index % 3])
    text = text or make_configuration_text()
    clock = sim_cluster.member_by_name['entry-0'].clock
    await clock.sleep(1500)
    reply = await sim_cluster.propose('entry-0', 0, text)
    assert reply.status == 200, reply.body
    await clock.sleep(3500)
    return sim_cluster


async def send_order(
    sim_cluster: cluster.Cluster, name: str, order: str, key: str
) -> tuple[int, dict]:
    """Send an order with an idempotency key; return status and body."""
    reply = await sim_cluster.send_request(
        name,
        'POST',
        '/services/orders/orders',
        {'order': order},
        ((KEY, key),),
    )
    return reply.status, json.loads(reply.body)


async def issue_key(sim_cluster: cluster.Cluster, name: str) -> str:
    """Return an idempotency key issued by an instance."""
    reply = await sim_cluster.send_request(name, 'POST', '/idempotency-keys')
    return json.loads(reply.body)['key']


async def request_batch(
    sim_cluster: cluster.Cluster, name: str, step: int, prompts: int = 2
) -> tuple[int, dict]:
    """Request the batch of a step; return status and body."""
    value = {'prompts': [f'step {step} {index}' for index in range(prompts)]}
    target = f'/trainers/learner/batches/{step}'
    reply = await sim_cluster.send_request(name, 'POST', target, value)
    return reply.status, json.loads(reply.body)


async def publish(
    sim_cluster: cluster.Cluster, name: str, version: int
) -> int:
    """Publish a weight version of the learner; return the status."""
    value = {'version': version, 'object': f'w{version}'}
    reply = await sim_cluster.send_request(
        name, 'POST', '/trainers/learner/weights', value
    )
    return reply.status


def count_orders(sim_cluster: cluster.Cluster) -> dict[str, int]:
    """Return how often each order ran, as counted by the services."""
    counts: dict[str, int] = {}
    for service in sim_cluster.service_by_name.values():
        for key, count in service.count_by_key.items():
            counts[key] = counts.get(key, 0) + count
    return counts
