"""Build fleets of processes and ask them."""

import time

from scripts import fleet
from scripts import layout
from scripts import probe

EXAMPLE = fleet.ROOT / 'examples' / 'sinaleira.jsonc'
ORDER = '/services/crossing-orders/orders'
TRAINER = '/trainers/part-matching-trainer'
DUTY = 'batches/part-engines'


def make_deployment(checking: bool = True) -> layout.Deployment:
    """Return a small fleet with two engines and one order desk."""
    return layout.Deployment(
        ('recife', 'fortaleza', 'natal'),
        {'part-engines': 2},
        {'order-desk': 1},
        ('part-engines',) if checking else (),
        EXAMPLE,
        3,
    )


def get_entries(running: fleet.Fleet) -> list[str]:
    """Return the addresses that the first instance tells callers."""
    address = running.get_entries()[0].address
    body = probe.call(address, 'GET', '/entries')[1]
    return [one['address'] for one in body.get('entries', [])]


def get_status(process: layout.Process) -> dict:
    """Return the status of one instance."""
    headers = {'authorization': f'Bearer {fleet.TOKEN}'}
    return probe.call(
        process.operator_address, 'GET', '/status', None, headers, 2.0
    )[1]


def find_holder(running: fleet.Fleet) -> layout.Process | None:
    """Return the instance that holds the batches duty."""
    for one in running.get_entries():
        if DUTY in get_status(one).get('duties', []):
            return one
    return None


def send_order(
    process: layout.Process, order: str, key: str, timeout_s: float = 12.0
) -> tuple[int, dict]:
    """Send an order with a key."""
    headers = {'Idempotency-Key': key}
    return probe.call(
        process.address, 'POST', ORDER, {'order': order}, headers, timeout_s
    )


def count_orders(running: fleet.Fleet) -> dict[str, int]:
    """Return how often each order ran, as the service counted."""
    address = running.process_by_name['order-desk-0'].address
    return probe.call(address, 'GET', '/ran')[1]['counts']


def request_batch(process: layout.Process, step: int) -> tuple[int, dict]:
    """Ask one instance for the batch of a step."""
    value = {'prompts': [f'{step} a', f'{step} b', f'{step} c']}
    target = f'{TRAINER}/batches/{step}'
    return probe.call(process.address, 'POST', target, value)


def has_run(running: fleet.Fleet) -> bool:
    """Say whether an engine has begun a sample."""
    address = running.process_by_name['part-engines-0'].address
    return bool(probe.call(address, 'GET', '/ran')[1]['ran'])


def ask_until_there(process: layout.Process, step: int) -> dict:
    """Ask until the batch is there."""
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        status, body = request_batch(process, step)
        if status == 200:
            return body
        time.sleep(0.2)
    raise TimeoutError('no batch')


def get_leaving(process: layout.Process) -> list[str]:
    """Return the endpoints that an instance knows to be leaving."""
    endpoints = get_status(process).get('endpoints', [])
    return [one['key'] for one in endpoints if one['leaving']]
