"""Describe a fleet of processes and send requests to it."""

import time

from scripts import fleet
from scripts import layout
from scripts import probe

EXAMPLE = fleet.ROOT / 'examples' / 'sinaleira.jsonc'
ORDER_TARGET = '/services/crossing-orders/orders'
TRAINER_TARGET = '/trainers/part-matching-trainer'
DUTY = 'batches/part-engines'


def make_deployment(checks_fencing: bool = True) -> layout.Deployment:
    """Return a fleet of three instances, two engines and an order service."""
    return layout.Deployment(
        ('recife', 'fortaleza', 'natal'),
        {'part-engines': 2},
        {'order-desk': 1},
        ('part-engines',) if checks_fencing else (),
        EXAMPLE,
        3,
    )


def get_entries(running_fleet: fleet.Fleet) -> list[str]:
    """Return the addresses that the first instance lists to callers."""
    address = running_fleet.get_entries()[0].address
    body = probe.call(address, 'GET', '/entries')[1]
    return [entry['address'] for entry in body.get('entries', [])]


def get_status(process: layout.Process) -> dict:
    """Return the status of one instance."""
    headers = {'authorization': f'Bearer {fleet.TOKEN}'}
    return probe.call(
        process.operator_address, 'GET', '/status', None, headers, 2.0
    )[1]


def find_duty_holder(running_fleet: fleet.Fleet) -> layout.Process | None:
    """Return the instance that holds the batches duty, if any."""
    for process in running_fleet.get_entries():
        if DUTY in get_status(process).get('duties', []):
            return process
    return None


def send_order(
    process: layout.Process, order: str, key: str, timeout_s: float = 12.0
) -> tuple[int, dict]:
    """Send an order with an idempotency key."""
    headers = {'Idempotency-Key': key}
    return probe.call(
        process.address,
        'POST',
        ORDER_TARGET,
        {'order': order},
        headers,
        timeout_s,
    )


def count_orders(running_fleet: fleet.Fleet) -> dict[str, int]:
    """Return how often each order ran, as counted by the service."""
    address = running_fleet.process_by_name['order-desk-0'].address
    return probe.call(address, 'GET', '/ran')[1]['counts']


def request_batch(process: layout.Process, step: int) -> tuple[int, dict]:
    """Request the batch of a step from an instance."""
    value = {'prompts': [f'{step} a', f'{step} b', f'{step} c']}
    target = f'{TRAINER_TARGET}/batches/{step}'
    return probe.call(process.address, 'POST', target, value)


def has_started_sample(running_fleet: fleet.Fleet) -> bool:
    """Return whether the first engine has started a sample."""
    address = running_fleet.process_by_name['part-engines-0'].address
    return bool(probe.call(address, 'GET', '/ran')[1]['ran'])


def wait_for_batch(process: layout.Process, step: int) -> dict:
    """Request a batch until it is ready; raise TimeoutError after 60 s."""
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        status, body = request_batch(process, step)
        if status == 200:
            return body
        time.sleep(0.2)
    raise TimeoutError('batch not ready after 60 s')


def get_leaving(process: layout.Process) -> list[str]:
    """Return the endpoints that an instance sees as leaving."""
    endpoints = get_status(process).get('endpoints', [])
    return [endpoint['key'] for endpoint in endpoints if endpoint['leaving']]
