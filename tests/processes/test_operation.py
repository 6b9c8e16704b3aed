"""Test stops, configuration and failing starts with real processes."""

import concurrent.futures
import json
import time

from pomelopass.core import stopping
from scripts import fleet
from scripts import probe
from tests.processes import fleets


def test_sigterm_under_load_completes_all_requests(running_fleet):
    entry = running_fleet.get_entries()[0]
    running_fleet.set_faults('order-desk-0', work_ms=300)
    running_fleet.set_faults('part-engines-0', slow_factor=20)
    running_fleet.set_faults('part-engines-1', slow_factor=20)
    request_body = {
        'model': 'part-matching',
        'prompt': 'long',
        'max_tokens': 40,
    }
    with concurrent.futures.ThreadPoolExecutor() as pool:
        long_calls = [
            pool.submit(
                probe.call,
                entry.address,
                'POST',
                '/v1/completions',
                {**request_body, 'prompt': f'long {index}'},
            )
            for index in range(3)
        ]
        time.sleep(0.3)
        running_fleet.terminate(entry.name)
        deadline = time.monotonic() + stopping.ENTRIES_TTL_MS / 1000
        while time.monotonic() < deadline - 0.5:
            target = '/services/stock/stock?part=lamp'
            assert probe.call(entry.address, 'GET', target)[0] == 200
        assert all(call.result()[0] == 200 for call in long_calls)
    assert entry.popen.wait(timeout=30) == 0


def test_leaving_endpoint_gets_no_new_work(running_fleet):
    running_fleet.list_endpoint('part-engines-0', 'part-engines', 0, '1', True)
    probe.wait_for(
        lambda: all(
            'part-engines-0@1' in fleets.get_leaving(entry)
            for entry in running_fleet.get_entries()
        )
    )
    address = running_fleet.process_by_name['part-engines-0'].address
    before = probe.call(address, 'GET', '/ran')[1]['ran']
    for entry in running_fleet.get_entries():
        for index in range(10):
            request_body = {
                'model': 'part-matching',
                'prompt': f'{entry.name} {index}',
                'max_tokens': 4,
            }
            reply = probe.call(
                entry.address, 'POST', '/v1/completions', request_body
            )
            assert reply[0] == 200
    assert probe.call(address, 'GET', '/ran')[1]['ran'] == before


def test_one_of_concurrent_proposals_is_accepted(running_fleet, tmp_path):
    texts = [
        fleets.EXAMPLE.read_text() + f'// operator {n}\n' for n in range(4)
    ]
    paths = []
    for number, text in enumerate(texts):
        path = tmp_path / f'proposal-{number}.jsonc'
        path.write_text(text)
        paths.append(str(path))
    with concurrent.futures.ThreadPoolExecutor() as pool:
        futures = [
            pool.submit(
                running_fleet.run_tool,
                'config',
                'propose',
                path,
                '--base',
                '1',
            )
            for path in paths
        ]
        completed = [future.result() for future in futures]
    assert sorted(process.returncode for process in completed) == [0, 1, 1, 1]
    diff = running_fleet.run_tool('config', 'diff', '1', '2')
    assert '+// operator' in diff.stdout
    history = running_fleet.run_tool('config', 'history').stdout
    assert len(history.splitlines()) == 2


def test_fresh_instance_starts_during_a_table_outage(running_fleet):
    running_fleet.set_faults('table', down=1)
    for entry in running_fleet.get_entries():
        running_fleet.kill(entry.name)
    fresh_entry = running_fleet.start_entry(7)
    probe.wait_for(
        lambda: probe.call(fresh_entry.address, 'GET', '/readyz')[0] == 200
    )
    assert fleets.get_status(fresh_entry)['config_version'] == 1


def test_poison_request_crashes_at_most_two_engines(running_fleet):
    for index in range(2, 5):
        running_fleet.start_engine('part-engines', index)
    probe.wait_for(
        lambda: all(
            len(fleets.get_status(entry)['endpoints']) == 6
            for entry in running_fleet.get_entries()
        )
    )
    request_body = {
        'model': 'part-matching',
        'prompt': 'POISON',
        'max_tokens': 4,
    }
    codes = []
    for _ in range(3):
        for entry in running_fleet.get_entries():
            body = probe.call(
                entry.address, 'POST', '/v1/completions', request_body
            )[1]
            codes.append(body['code'])
    crashed = [
        name
        for name, process in running_fleet.process_by_name.items()
        if process.popen.poll() is not None
    ]
    assert len(crashed) <= 2
    assert codes[-1] == 'quarantined'


def test_start_with_unreachable_table_is_alive_but_not_ready(tmp_path):
    with fleet.Fleet(tmp_path, fleets.make_deployment()) as small_fleet:
        small_fleet.start_platform()
        closed_port = small_fleet.reserved_ports.reserve(1)[0]
        entry = small_fleet.start_entry(
            0, table_address=f'127.0.0.1:{closed_port}'
        )
        probe.wait_for(
            lambda: probe.call(entry.address, 'GET', '/livez')[0] == 200
        )
        status, body = probe.call(entry.address, 'GET', '/readyz')
        assert (status, body['status']) == (503, 'not-ready')
        status, body = probe.call(entry.address, 'GET', '/services/stock/x')
        assert (status, body['verdict']) == (503, 'not-run')


def test_port_in_use_exits_with_a_status(tmp_path):
    with fleet.Fleet(tmp_path, fleets.make_deployment()) as small_fleet:
        small_fleet.start_platform()
        first_entry = small_fleet.start_entry(0)
        probe.wait_for(
            lambda: probe.call(first_entry.address, 'GET', '/livez')[0] == 200
        )
        second_entry = small_fleet.start_entry(
            1, caller_address=first_entry.address
        )
        assert second_entry.popen.wait(timeout=20) == 3
        log = (tmp_path / 'entry-1.log').read_text()
        assert json.loads(log.splitlines()[0])['event'] == 'listen-failed'


def test_instance_cut_off_from_the_table_serves_and_gets_updates(
    running_fleet,
):
    relay_port = running_fleet.reserved_ports.reserve(1)[0]
    running_fleet.start_standin(
        'relay',
        'relay',
        *('--listen', f'127.0.0.1:{relay_port}'),
        *('--target', running_fleet.process_by_name['table'].address),
    )
    cut_off_entry = running_fleet.start_entry(
        5, table_address=f'127.0.0.1:{relay_port}'
    )
    probe.wait_for(
        lambda: probe.call(cut_off_entry.address, 'GET', '/readyz')[0] == 200
    )
    running_fleet.set_faults('relay', cut=1)
    target = '/services/stock/stock?part=lamp'
    assert probe.call(cut_off_entry.address, 'GET', target)[0] == 200
    _, issued = probe.call(cut_off_entry.address, 'POST', '/idempotency-keys')
    assert fleets.send_order(cut_off_entry, 'issued', issued['key'])[0] == 200
    status, body = fleets.send_order(cut_off_entry, 'own', 'own-key')
    assert (status, body['verdict']) == (503, 'may-have-run')
    path = str(fleets.EXAMPLE)
    running_fleet.run_tool('config', 'propose', path, '--base', '1')
    probe.wait_for(
        lambda: fleets.get_status(cut_off_entry)['config_version'] == 2
    )
    assert fleets.count_orders(running_fleet) == {'issued': 1}
