"""Test the placement of an instance as a process."""

from pomelopass.commands import where
from pomelopass.placement import snapshot
from scripts import entrycalls
from scripts import entryfleet
from scripts import probe
from tests import entrybuilders


# Connections over real sockets must be measured, and the state be readable.
def test_running_instance_measures_ways_and_explains_itself(tmp_path, capsys):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        (port,) = fleet.reserved_ports.reserve(1)
        metrics_address = f'127.0.0.1:{port}'
        fleet.start_platform()
        fleet.put_row('op', 'config', entrybuilders.make_configuration())
        fleet.start_entry(
            'entry-0',
            metrics_address=metrics_address,
            zone_transfer_ms_per_mb=1000.0,
        )
        fleet.wait_ready()
        for number in range(20):
            headers = {**entrycalls.HOST, 'Attempt-Id': f'request-{number}'}
            address = fleet.get_address('entry-0')
            assert probe.call(address, 'POST', '/scores/1', {}, headers)
        where.Where('scores', metrics=metrics_address).run(None)
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith('sent to ')
        assert len(lines) > 2
        _, state = probe.call(metrics_address, 'GET', snapshot.STATE_PATH)
        assert state['latency_by_zone']
        assert 'scores' in state['answer_bytes_by_route']
