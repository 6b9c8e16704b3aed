"""Compare what requests and connections cost in two builds.

python -m bench.callercost COMMIT
"""

import contextlib
import http.client
import pathlib
import re
import statistics
import sys
import tempfile
import time

from scripts import builds
from scripts import entrycalls
from scripts import entryfleet
from tests import entrybuilders

__all__ = ['main']

ROUNDS = 16
REQUESTS = 300
LARGE_REQUESTS = 20
BODY_BYTES = {'small': 200, 'of 500 KB': 500_000}
CONNECTIONS = 300
SETTLE_S = 1.0
NS_PER_US = 1000


def main() -> int:
    """Print the processor time of a request and memory of a connection."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with entryfleet.EntryFleet(folder, entrycalls.ZONES) as fleet:
            fleet.start_platform()
            fleet.put_row('op', 'config', entrybuilders.make_configuration())
            before = builds.extract_build(sys.argv[1], folder)
            fleet.build_by_name['before'] = before
            # Later instances are peers of the first ones.
            for instance in ('before', 'after'):
                fleet.start_entry(instance)
            fleet.wait_ready()
            time.sleep(SETTLE_S)
            for kind in BODY_BYTES:
                _compare_requests(fleet, kind)
            for instance in ('before', 'after'):
                _measure_connections(fleet, instance)
    return 0


def _compare_requests(fleet: entryfleet.EntryFleet, kind: str) -> None:
    used: dict[str, list[float]] = {'before': [], 'after': []}
    for turn in range(2 * ROUNDS):
        # The order changes with each round.
        instance = ('before', 'after')[(turn + turn // 2) % 2]
        used[instance].append(_time_requests(fleet, instance, kind, turn))
    before, after = (
        statistics.median(used[instance]) for instance in ('before', 'after')
    )
    print(
        f'request, body {kind}: {before:.1f} us before, {after:.1f} us after,'
        f' {100 * (after / before - 1):+.1f} %, medians of {ROUNDS} rounds;'
        f' lowest {min(used["before"]):.1f} and {min(used["after"]):.1f} us'
    )


def _time_requests(
    fleet: entryfleet.EntryFleet, instance: str, kind: str, turn: int
) -> float:
    """Return the processor time of a request in microseconds."""
    size = BODY_BYTES[kind]
    count = REQUESTS if size < 10_000 else LARGE_REQUESTS
    body = b'x' * size
    connection = http.client.HTTPConnection(fleet.get_address(instance))
    started_ns = _read_cpu_ns(fleet, instance)
    for number in range(count):
        request_id = f'{instance}-{kind[:2]}-{turn}-{number}'
        headers = {**entrycalls.HOST, 'Attempt-Id': request_id}
        connection.request('POST', '/scores/1', body, headers)
        assert connection.getresponse().read() is not None
    used_ns = _read_cpu_ns(fleet, instance) - started_ns
    connection.close()
    return used_ns / NS_PER_US / count


def _measure_connections(fleet: entryfleet.EntryFleet, instance: str) -> None:
    before_kb = _read_memory_kb(fleet, instance)
    with contextlib.ExitStack() as stack:
        for _ in range(CONNECTIONS):
            connection = http.client.HTTPConnection(
                fleet.get_address(instance)
            )
            stack.callback(connection.close)
            connection.request('GET', '/nowhere', headers=entrycalls.HOST)
            connection.getresponse().read()
        time.sleep(SETTLE_S)
        each_kb = (_read_memory_kb(fleet, instance) - before_kb) / CONNECTIONS
    print(f'idle connection, {instance}: {each_kb:.1f} KB')


def _read_cpu_ns(fleet: entryfleet.EntryFleet, instance: str) -> int:
    pid = fleet.popen_by_name[instance].pid
    return int(pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()[0])


def _read_memory_kb(fleet: entryfleet.EntryFleet, instance: str) -> int:
    pid = fleet.popen_by_name[instance].pid
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s*(\d+)', status)[1])


if __name__ == '__main__':
    sys.exit(main())
