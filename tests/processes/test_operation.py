"""Prove stops, configuration and bad starts with real processes."""

import concurrent.futures
import json
import time

from pomelopass.core import stopping
from scripts import fleet
from scripts import probe
from tests.processes import fleets


def test_sigterm_under_load_cuts_nothing(running):
    first = running.get_entries()[0]
    running.set_faults('order-desk-0', work_ms=300)
    running.set_faults('part-engines-0', slow_factor=20)
    running.set_faults('part-engines-1', slow_factor=20)
    ask = {'model': 'part-matching', 'prompt': 'long', 'max_tokens': 40}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        long_asks = [
            pool.submit(
                probe.call,
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
            assert probe.call(first.address, 'GET', target)[0] == 200
        assert all(one.result()[0] == 200 for one in long_asks)
    assert first.popen.wait(timeout=30) == 0


def test_leaving_endpoint_gets_no_new_work(running):
    running.list_endpoint('part-engines-0', 'part-engines', 0, '1', True)
    probe.wait_for(
        lambda: all(
            'part-engines-0@1' in fleets.get_leaving(one)
            for one in running.get_entries()
        )
    )
    address = running.process_by_name['part-engines-0'].address
    before = probe.call(address, 'GET', '/ran')[1]['ran']
    for one in running.get_entries():
        for index in range(10):
            ask = {
                'model': 'part-matching',
                'prompt': f'{one.name} {index}',
                'max_tokens': 4,
            }
            status = probe.call(one.address, 'POST', '/v1/completions', ask)
            assert status[0] == 200
    assert probe.call(address, 'GET', '/ran')[1]['ran'] == before


def test_racing_operators_one_is_accepted(running, tmp_path):
    texts = [
        fleets.EXAMPLE.read_text() + f'// operator {n}\n' for n in range(4)
    ]
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
    probe.wait_for(
        lambda: probe.call(fresh.address, 'GET', '/readyz')[0] == 200
    )
    assert fleets.get_status(fresh)['config_version'] == 1


def test_poison_request_costs_at_most_two_engines(running):
    for index in range(2, 5):
        running.start_engine('part-engines', index)
    probe.wait_for(
        lambda: all(
            len(fleets.get_status(one)['endpoints']) == 6
            for one in running.get_entries()
        )
    )
    ask = {'model': 'part-matching', 'prompt': 'POISON', 'max_tokens': 4}
    codes = []
    for _ in range(3):
        for one in running.get_entries():
            body = probe.call(one.address, 'POST', '/v1/completions', ask)[1]
            codes.append(body['code'])
    ended = [
        name
        for name, one in running.process_by_name.items()
        if one.popen.poll() is not None
    ]
    assert len(ended) <= 2
    assert codes[-1] == 'quarantined'


def test_unreachable_platform_at_the_start(tmp_path):
    with fleet.Fleet(tmp_path, fleets.make_deployment()) as one:
        one.start_platform()
        dead = one.reserved_ports.reserve(1)[0]
        entry = one.start_entry(0, table_address=f'127.0.0.1:{dead}')
        probe.wait_for(
            lambda: probe.call(entry.address, 'GET', '/livez')[0] == 200
        )
        status, body = probe.call(entry.address, 'GET', '/readyz')
        assert (status, body['status']) == (503, 'not-ready')
        status, body = probe.call(entry.address, 'GET', '/services/stock/x')
        assert (status, body['verdict']) == (503, 'not-run')


def test_port_in_use_ends_the_daemon_with_a_status(tmp_path):
    with fleet.Fleet(tmp_path, fleets.make_deployment()) as one:
        one.start_platform()
        first = one.start_entry(0)
        probe.wait_for(
            lambda: probe.call(first.address, 'GET', '/livez')[0] == 200
        )
        second = one.start_entry(1, caller_address=first.address)
        assert second.popen.wait(timeout=20) == 3
        log = (tmp_path / 'entry-1.log').read_text()
        assert json.loads(log.splitlines()[0])['event'] == 'listen-failed'


def test_instance_cut_off_from_the_table_serves_and_follows(running):
    port = running.reserved_ports.reserve(1)[0]
    running.start_standin(
        'relay',
        'relay',
        *('--listen', f'127.0.0.1:{port}'),
        *('--target', running.process_by_name['table'].address),
    )
    cut = running.start_entry(5, table_address=f'127.0.0.1:{port}')
    probe.wait_for(lambda: probe.call(cut.address, 'GET', '/readyz')[0] == 200)
    running.set_faults('relay', cut=1)
    target = '/services/stock/stock?part=lamp'
    assert probe.call(cut.address, 'GET', target)[0] == 200
    _, issued = probe.call(cut.address, 'POST', '/idempotency-keys')
    assert fleets.send_order(cut, 'issued', issued['key'])[0] == 200
    status, body = fleets.send_order(cut, 'own', 'own-key')
    assert (status, body['verdict']) == (503, 'may-have-run')
    path = str(fleets.EXAMPLE)
    running.run_tool('config', 'propose', path, '--base', '1')
    probe.wait_for(lambda: fleets.get_status(cut)['config_version'] == 2)
    assert fleets.count_orders(running) == {'issued': 1}
