"""Show that two holders order an engine with one fencing token."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import fleet as fleets  # noqa: E402
import trainer as trainers  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MACHINES = ('m1', 'm2', 'm3')
ENGINES = 5
# One engine of five turns slow.
REPORT_S = 0.1
SLOW_FACTOR = 3.9
LOST_S = 4.5
LATE_S = 5.5
MAX_LOST_SHARE = 0.35
# From the last heartbeat that was answered to the new version.
NAMING_DELAY_S = 2.9
STEP_S = 4.0
ROUNDS = 8


class LostAnswers:
    """The store's lost answers: some writes are applied late, unanswered.

    Those of one machine's heartbeats are lost, within the allowed share.
    """

    def __init__(self, store):
        self.store = store
        self.victim = None
        self.written = 0
        self.lost = 0
        self.beat_at_by_machine = {}
        store.judge = self.judge
        store.on_applied = self.note

    def judge(self, machine, transaction):
        """Return whether a write is answered, or applied late."""
        if self.victim is None:
            return ''
        self.written += 1
        is_beat = any(
            put['key'] == f'member/{self.victim}'
            for put in transaction.get('put', ())
        )
        if machine != self.victim or not is_beat:
            return ''
        self.lost += 1
        return f'late:{LATE_S}'

    def note(self, machine, transaction):
        """Note when a machine's heartbeat was applied."""
        for put in transaction.get('put', ()):
            if put['key'] == f'member/{machine}':
                now = asyncio.get_running_loop().time()
                self.beat_at_by_machine[machine] = now


def get_machine(holder):
    """Return the machine that a holder belongs to."""
    return holder.rpartition('-')[0]


def find_last_holder(fleet):
    """Return the machine that gave the last order."""
    orders = [
        order
        for endpoint in fleet.endpoints.values()
        for order in endpoint.orders
    ]
    return get_machine(max(orders, key=lambda order: order['at_s'])['holder'])


async def wait_for_beat(lost_answers, machine):
    """Wait for the next heartbeat of a machine and return its time."""
    before = lost_answers.beat_at_by_machine.get(machine)
    while lost_answers.beat_at_by_machine.get(machine) == before:
        await asyncio.sleep(0.005)
    return lost_answers.beat_at_by_machine[machine]


async def disturb(fleet, lost_answers, trainer, version):
    """Name a version while answers of the store are lost."""
    loop = asyncio.get_running_loop()
    holder = find_last_holder(fleet)
    fleet.endpoints['e0'].report_s = REPORT_S * SLOW_FACTOR
    beat_at = await wait_for_beat(lost_answers, holder)
    lost_answers.victim = holder
    fleet.record('answers-lost', machine=holder)
    await asyncio.sleep(beat_at + NAMING_DELAY_S - loop.time())
    trainer.name_version(version)
    await asyncio.sleep(beat_at + LOST_S - loop.time())
    lost_answers.victim = None
    fleet.endpoints['e0'].report_s = REPORT_S
    fleet.record(
        'answers-back', written=lost_answers.written, lost=lost_answers.lost
    )
    await asyncio.sleep(STEP_S)


async def main(fleet):
    """Name versions in rounds; return the tokens with two holders."""
    lost_answers = LostAnswers(fleet.store)
    for number in range(ENGINES):
        engine = await fleet.add_endpoint(f'e{number}', 'llm', {'m0': 1})
        engine.report_s = REPORT_S
    fleet.store.put('op', 'config', fleets.make_configuration())
    await fleet.start_machines(MACHINES)
    await asyncio.sleep(3)
    trainer = trainers.Trainer(fleet)
    trainer.name_version(2)
    await asyncio.sleep(STEP_S)
    for number in range(ROUNDS):
        if TROUBLE:
            await disturb(fleet, lost_answers, trainer, 3 + number)
        else:
            trainer.name_version(3 + number)
            await asyncio.sleep(STEP_S)
        broken = find_broken(fleet)
        if broken:
            break
    if lost_answers.lost > MAX_LOST_SHARE * max(lost_answers.written, 1):
        raise fleets.NotReadyError('more answers were lost than allowed')
    return broken


def find_broken(fleet):
    """Return each engine's fencing tokens that two machines used."""
    broken = []
    for endpoint in fleet.endpoints.values():
        holders_by_fence = {}
        for order in endpoint.orders:
            holders = holders_by_fence.setdefault(order['fence'], {})
            holders.setdefault(order['holder'], order['at_s'])
        for fence, holders in holders_by_fence.items():
            if len({get_machine(holder) for holder in holders}) > 1:
                broken.append(
                    f'{endpoint.id}: token {fence} came from {holders}'
                )
    return broken


fleets.run_case(main, HERE / 'record.txt')
