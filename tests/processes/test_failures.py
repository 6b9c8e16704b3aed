"""Prove the promises with real processes and real sockets."""

import concurrent.futures
import json
import pathlib
import time

import pytest

from pomelopass.core import stopping
from scripts import fleet

EXAMPLE = fleet.ROOT / 'examples' / 'sinaleira.jsonc'
ORDER = '/services/crossing-orders/orders'
TRAINER = '/trainers/part-matching-trainer'
DUTY = 'batches/part-engines'


def make_deployment(checking: bool = True) -> fleet.Deployment:
    """Return a small fleet with two engines and one order desk."""
    return fleet.Deployment(
        ('recife', 'fortaleza', 'natal'),
        {'part-engines': 2},
        {'order-desk': 1},
        ('part-engines',) if checking else (),
        EXAMPLE,
        3,
    )


@pytest.fixture
def running(tmp_path: pathlib.Path):
    """Return a running fleet with a configuration in force."""
    with fleet.Fleet(tmp_path, make_deployment()) as one:
        one.start_all()
        done = one.run_tool('config', 'propose', str(EXAMPLE), '--base', '0')
        assert done.returncode == 0, done.stderr
        one.wait_ready()
        fleet.wait_for(lambda: len(get_entries(one)) == 3)
        fleet.wait_for(lambda: find_holder(one) is not None)
        yield one


def get_entries(running: fleet.Fleet) -> list[str]:
    """Return the addresses that the first instance tells callers."""
    address = running.get_entries()[0].address
    body = fleet.call(address, 'GET', '/entries')[1]
    return [one['address'] for one in body.get('entries', [])]


def get_status(process: fleet.Process) -> dict:
    """Return the status of one instance."""
    headers = {'authorization': f'Bearer {fleet.TOKEN}'}
    return fleet.call(
        process.operator_address, 'GET', '/status', None, headers, 2.0
    )[1]


def find_holder(running: fleet.Fleet) -> fleet.Process | None:
    """Return the instance that holds the batches duty."""
    for one in running.get_entries():
        if DUTY in get_status(one).get('duties', []):
            return one
    return None


def send_order(
    process: fleet.Process, order: str, key: str, timeout_s: float = 12.0
) -> tuple[int, dict]:
    """Send an order with a key."""
    headers = {'Idempotency-Key': key}
    return fleet.call(
        process.address, 'POST', ORDER, {'order': order}, headers, timeout_s
    )


def count_orders(running: fleet.Fleet) -> dict[str, int]:
    """Return how often each order ran, as the service counted."""
    address = running.process_by_name['order-desk-0'].address
    return fleet.call(address, 'GET', '/ran')[1]['counts']


def ask_batch(process: fleet.Process, step: int) -> tuple[int, dict]:
    """Ask one instance for the batch of a step."""
    value = {'prompts': [f'{step} a', f'{step} b', f'{step} c']}
    target = f'{TRAINER}/batches/{step}'
    return fleet.call(process.address, 'POST', target, value)


def test_order_resent_while_its_instance_is_frozen_runs_once(running):
    first, second = running.get_entries()[:2]
    running.set_faults('order-desk-0', work_ms=400)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent = pool.submit(send_order, first, 'a', 'key-a')
        fleet.wait_for(lambda: count_orders(running) == {'a': 1})
        running.freeze(first.name)
        status, body = send_order(second, 'a', 'key-a')
        assert status == 409
        assert body['verdict'] == 'may-have-run'
        running.thaw(first.name)
        assert sent.result()[0] == 200
    status, body = send_order(second, 'a', 'key-a')
    assert (status, body['order']) == (200, 'a')
    assert count_orders(running) == {'a': 1}


def test_order_resent_after_its_instance_was_killed_runs_once(running):
    first, second = running.get_entries()[:2]
    running.set_faults('order-desk-0', work_ms=400)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        sent = pool.submit(send_order, first, 'b', 'key-b')
        fleet.wait_for(lambda: count_orders(running) == {'b': 1})
        running.kill(first.name)
        sent.result()
    status, body = send_order(second, 'b', 'key-b')
    assert (status, body['verdict']) == (409, 'may-have-run')
    assert count_orders(running) == {'b': 1}


def test_orders_while_the_table_service_is_down(running):
    first = running.get_entries()[0]
    running.set_faults('table', down=1)
    status, body = send_order(first, 'c', 'key-c')
    assert (status, body['verdict']) == (503, 'may-have-run')
    assert count_orders(running) == {}
    _, issued = fleet.call(first.address, 'POST', '/idempotency-keys')
    assert send_order(first, 'd', issued['key'])[0] == 200
    running.set_faults('table')
    assert send_order(first, 'c', 'key-c')[0] == 200
    assert count_orders(running) == {'c': 1, 'd': 1}


def test_claim_that_took_effect_with_a_lost_answer_runs_once(running):
    first = running.get_entries()[0]
    running.set_faults('table', lose_answers=1)
    status, _ = send_order(first, 'e', 'key-e')
    assert status == 200
    assert send_order(first, 'e', 'key-e')[0] == 200
    assert count_orders(running) == {'e': 1}


@pytest.mark.parametrize('how', ['kill', 'freeze'])
def test_batch_survives_the_loss_of_its_holder(running, how):
    holder = find_holder(running)
    other = next(
        one for one in running.get_entries() if one.name != holder.name
    )
    for name in ('part-engines-0', 'part-engines-1'):
        running.set_faults(name, slow_factor=8)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        asked = pool.submit(ask_until_there, other, 1)
        fleet.wait_for(lambda: has_run(running))
        getattr(running, how)(holder.name)
        batch = asked.result()
    if how == 'freeze':
        running.thaw(holder.name)
        fleet.wait_for(lambda: get_status(holder) != {})
        assert ask_until_there(holder, 1) == batch
    assert ask_until_there(other, 1) == batch
    ids = [one['id'] for group in batch['groups'] for one in group['samples']]
    assert len(ids) == len(set(ids)) == 12


def has_run(running: fleet.Fleet) -> bool:
    """Say whether an engine has begun a sample."""
    address = running.process_by_name['part-engines-0'].address
    return bool(fleet.call(address, 'GET', '/ran')[1]['ran'])


def ask_until_there(process: fleet.Process, step: int) -> dict:
    """Ask until the batch is there."""
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        status, body = ask_batch(process, step)
        if status == 200:
            return body
        time.sleep(0.2)
    raise TimeoutError('no batch')


def test_new_weights_reach_every_engine_and_the_next_batch(running):
    first, second = running.get_entries()[:2]
    assert ask_until_there(first, 1)['published_version'] == 1
    value = {'version': 2, 'object': 'w2'}
    target = f'{TRAINER}/weights'
    running.set_faults('part-engines-0', swap_lose_answer=1)
    running.set_faults('part-engines-1', swap_fail=1)
    assert fleet.call(second.address, 'POST', target, value)[0] == 200
    assert fleet.call(first.address, 'POST', target, value)[0] == 200
    for name in ('part-engines-0', 'part-engines-1'):
        address = running.process_by_name[name].address
        fleet.wait_for(
            lambda address=address: (
                fleet.call(address, 'GET', '/state')[1]['versions']
                == {'part-matcher': 2}
            )
        )
    batch = ask_until_there(second, 2)
    assert batch['published_version'] == 2
    versions = {
        version
        for group in batch['groups']
        for one in group['samples']
        for version in one['weight_versions']
    }
    assert versions <= {1, 2}


def test_sigterm_under_load_cuts_nothing(running):
    first = running.get_entries()[0]
    running.set_faults('order-desk-0', work_ms=300)
    running.set_faults('part-engines-0', slow_factor=20)
    running.set_faults('part-engines-1', slow_factor=20)
    ask = {'model': 'part-matching', 'prompt': 'long', 'max_tokens': 40}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        long_asks = [
            pool.submit(
                fleet.call,
                first.address,
                'POST',
                '/v1/completions',
                {**ask, 'prompt': f'long {index}'},
            )
            for index in range(3)
        ]
        time.sleep(0.3)
        running.terminate(first.name)
        deadline = time.monotonic() + stopping.ENTRIES_TTL_MS / 1000
        while time.monotonic() < deadline - 0.5:
            target = '/services/stock/stock?part=lamp'
            assert fleet.call(first.address, 'GET', target)[0] == 200
        assert all(one.result()[0] == 200 for one in long_asks)
    assert first.popen.wait(timeout=30) == 0


def test_leaving_endpoint_gets_no_new_work(running):
    running.list_endpoint('part-engines-0', 'part-engines', 0, '1', True)
    fleet.wait_for(
        lambda: all(
            'part-engines-0@1' in get_leaving(one)
            for one in running.get_entries()
        )
    )
    address = running.process_by_name['part-engines-0'].address
    before = fleet.call(address, 'GET', '/ran')[1]['ran']
    for one in running.get_entries():
        for index in range(10):
            ask = {
                'model': 'part-matching',
                'prompt': f'{one.name} {index}',
                'max_tokens': 4,
            }
            status = fleet.call(one.address, 'POST', '/v1/completions', ask)
            assert status[0] == 200
    assert fleet.call(address, 'GET', '/ran')[1]['ran'] == before


def get_leaving(process: fleet.Process) -> list[str]:
    """Return the endpoints that an instance knows to be leaving."""
    endpoints = get_status(process).get('endpoints', [])
    return [one['key'] for one in endpoints if one['leaving']]


def test_racing_operators_one_is_accepted(running, tmp_path):
    texts = [EXAMPLE.read_text() + f'// operator {n}\n' for n in range(4)]
    paths = []
    for number, text in enumerate(texts):
        path = tmp_path / f'proposal-{number}.jsonc'
        path.write_text(text)
        paths.append(str(path))
    with concurrent.futures.ThreadPoolExecutor() as pool:
        jobs = [
            pool.submit(
                running.run_tool, 'config', 'propose', one, '--base', '1'
            )
            for one in paths
        ]
        done = [job.result() for job in jobs]
    assert sorted(one.returncode for one in done) == [0, 1, 1, 1]
    shown = running.run_tool('config', 'diff', '1', '2')
    assert '+// operator' in shown.stdout
    history = running.run_tool('config', 'history').stdout
    assert len(history.splitlines()) == 2


def test_fresh_instance_starts_during_a_table_outage(running):
    running.set_faults('table', down=1)
    for one in running.get_entries():
        running.kill(one.name)
    fresh = running.start_entry(7)
    fleet.wait_for(
        lambda: fleet.call(fresh.address, 'GET', '/readyz')[0] == 200
    )
    assert get_status(fresh)['config_version'] == 1


def test_poison_request_costs_at_most_two_engines(running):
    for index in range(2, 5):
        running.start_engine('part-engines', index)
    fleet.wait_for(
        lambda: all(
            len(get_status(one)['endpoints']) == 6
            for one in running.get_entries()
        )
    )
    ask = {'model': 'part-matching', 'prompt': 'POISON', 'max_tokens': 4}
    codes = []
    for _ in range(3):
        for one in running.get_entries():
            body = fleet.call(one.address, 'POST', '/v1/completions', ask)[1]
            codes.append(body['code'])
    ended = [
        name
        for name, one in running.process_by_name.items()
        if one.popen.poll() is not None
    ]
    assert len(ended) <= 2
    assert codes[-1] == 'quarantined'


def test_unreachable_platform_at_the_start(tmp_path):
    with fleet.Fleet(tmp_path, make_deployment()) as one:
        one.start_platform()
        dead = fleet.take_ports(1)[0]
        entry = one.start_entry(0, table_address=f'127.0.0.1:{dead}')
        fleet.wait_for(
            lambda: fleet.call(entry.address, 'GET', '/livez')[0] == 200
        )
        status, body = fleet.call(entry.address, 'GET', '/readyz')
        assert (status, body['status']) == (503, 'not-ready')
        status, body = fleet.call(entry.address, 'GET', '/services/stock/x')
        assert (status, body['verdict']) == (503, 'not-run')


def test_port_in_use_ends_the_daemon_with_a_status(tmp_path):
    with fleet.Fleet(tmp_path, make_deployment()) as one:
        one.start_platform()
        first = one.start_entry(0)
        fleet.wait_for(
            lambda: fleet.call(first.address, 'GET', '/livez')[0] == 200
        )
        second = one.start_entry(1, caller_address=first.address)
        assert second.popen.wait(timeout=20) == 3
        log = (tmp_path / 'entry-1.log').read_text()
        assert json.loads(log.splitlines()[0])['event'] == 'listen-failed'
