"""Send a request that crashes engines between planned restarts."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import fleet as fleets  # noqa: E402
import wire  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MACHINES = ('m1', 'm2', 'm3')
HOST = 'r.example'
POISON = b'the same body each time'
DOWN_S = 2.0
AGAIN_S = 3.5
DEADLINE_MS = 1500
ORDER_INTERVAL_S = 0.1
ORDER_WORK_S = 0.3
STABLE_WINDOW_S = 3.0
ALLOWED_RETRIES = 3
ROLLS = 2
SENDS_A_ROLL = 2


class Poison:
    """The request that crashes the engines that begin to run it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.crashed_at = []
        self.counted_ids = set()
        self.ran_ids = []
        self.disturbed_at = dict.fromkeys(MACHINES, float('-inf'))
        self.tasks = set()
        self.sent = 0

    async def handle(self, endpoint, request):
        """Crash the engine, or leave the request to it."""
        if request.body != POISON:
            return
        request_id = request.headers['attempt-id']
        self.ran_ids.append(request_id)
        self.fleet.record('run', engine=endpoint.id, request=request_id)
        self.crashed_at.append(asyncio.get_running_loop().time())
        self.tasks.add(asyncio.ensure_future(endpoint.crash(DOWN_S)))
        await asyncio.sleep(1)
        raise ConnectionResetError

    async def send(self, machine):
        """Send the request once; count it if its machine is in touch."""
        now = asyncio.get_running_loop().time()
        self.sent += 1
        request_id = f'poison{self.sent}'
        is_late = (
            len(self.crashed_at) >= 3
            and now > self.crashed_at[2] + STABLE_WINDOW_S
            and now > self.disturbed_at[machine] + STABLE_WINDOW_S
        )
        if is_late:
            self.counted_ids.add(request_id)
        status, _ = await wire.send(
            self.fleet.get_address(machine),
            'POST',
            '/lookups/poison',
            (
                ('Host', HOST),
                ('Attempt-Id', request_id),
                ('Deadline-Ms', DEADLINE_MS),
            ),
            POISON,
        )
        self.fleet.record(
            'answer',
            machine=machine,
            request=request_id,
            status=status,
            counted=is_late,
            ran=self.ran_ids.count(request_id),
        )

    def find_retries(self):
        """Return the retries that reached an engine."""
        return sorted(self.counted_ids & set(self.ran_ids))


async def send_orders(fleet, lost):
    """Send orders that must not be repeated."""
    number = 0
    tasks = set()
    while True:
        number += 1
        tasks.add(asyncio.ensure_future(send_order(fleet, number, lost)))
        await asyncio.sleep(ORDER_INTERVAL_S)


async def send_order(fleet, number, lost):
    """Send an order; note it if it ran and its answer was lost."""
    machine = MACHINES[number % len(MACHINES)]
    request_id = f'order{number}'
    status, _ = await wire.send(
        fleet.get_address(machine),
        'POST',
        '/orders/one',
        (
            ('Host', HOST),
            ('Attempt-Id', request_id),
            ('Deadline-Ms', DEADLINE_MS),
        ),
        b'order',
    )
    ran = any(
        request_id in endpoint.ran for endpoint in fleet.endpoints.values()
    )
    if status != 200 and ran:
        fleet.record('order', request=request_id, status=status, ran=ran)
        lost.append(request_id)


async def main(fleet):
    """Return what was broken."""
    poison = Poison(fleet)
    for number in range(6):
        endpoint = await fleet.add_endpoint(f's{number}', 'app')
        endpoint.work_s = ORDER_WORK_S

        async def handle(link, request, endpoint=endpoint):
            return await poison.handle(endpoint, request)

        endpoint.handle_work = handle
    configuration = fleets.make_configuration(max_attempts=2)
    configuration['routes'].append(
        configuration['routes'][1]
        | {
            'name': 'orders',
            'path_prefix': '/orders/',
            'route_type': 'non_idempotent',
        }
    )
    fleet.store.put('op', 'config', configuration)
    await fleet.start_machines(MACHINES)
    await asyncio.sleep(4)
    lost = []
    ordering = asyncio.ensure_future(send_orders(fleet, lost))
    loop = asyncio.get_running_loop()
    for number in range(3):
        await poison.send(MACHINES[number % 3])
        await asyncio.sleep(AGAIN_S)
    for _ in range(ROLLS):
        if TROUBLE:
            for machine in MACHINES:
                await fleet.restart(machine, signal.SIGTERM)
                poison.disturbed_at[machine] = loop.time()
        else:
            await asyncio.sleep(18.0)
        await asyncio.sleep(STABLE_WINDOW_S + 0.5)
        for number in range(SENDS_A_ROLL):
            await poison.send(MACHINES[number % 3])
            await asyncio.sleep(AGAIN_S)
    ordering.cancel()
    retries = poison.find_retries()
    fleet.record(
        'sum', crashes=len(poison.crashed_at), retries=retries, lost=lost
    )
    if len(retries) <= ALLOWED_RETRIES:
        return []
    return [
        f'{len(poison.crashed_at)} crashes; {len(retries)} retries reached'
        f' engines after the third: {retries}; orders that ran and got no'
        f' answer: {len(lost)}'
    ]


fleets.run_case(main, HERE / 'record.txt')
