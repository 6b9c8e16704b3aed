"""Measure an instance's processor time in fleets of several sizes.

Run as a module with `memory` or `process` and the numbers of instances;
with `--profile` a profile of the instances in memory follows.
"""

import argparse
import asyncio
import cProfile
import dataclasses
import pathlib
import pstats
import random
import subprocess
import sys
import tempfile
import time

import orjson

from pomelopass.edges import httpserver
from pomelopass.fleet import heartbeat
from pomelopass.fleet import member
from pomelopass.leadership import leader
from pomelopass.table import rows
from scripts import entryfleet
from standins import modelengines
from standins import platformtable
from standins import rowtable
from standins import virtualloop
from tests import entrybuilders

__all__ = ['main']

INSTANCE_COUNTS = (30, 100, 300)
ENGINES_PER_INSTANCE = 10
ROUTES = 2000
ENTRY_INTERVAL_S = 1.2
HEARTBEAT_INTERVAL_S = 0.5
# Writers of rows act at this interval, each time for a share of the rows.
TICK_S = 0.004
WARM_UP_S = 3.0
MEASURED_VIRTUAL_S = 3.0
MEASURED_S = 12.0
END_S = 2.0
JOBS = 4
# The runs at engines that a heartbeat carries.
RUNS_PER_HEARTBEAT = 4
MAX_BODY_BYTES = 33_554_432
MAX_CONNECTIONS = 4096
NS_PER_MS = 1e6
PROFILE_LINES = 45


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    start_ms: float
    ms_per_s: float
    calls_per_s: float


def main() -> int:
    """Print the costs at each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('mode', choices=('memory', 'process'))
    parser.add_argument('instances', nargs='*', type=int)
    parser.add_argument('--profile', action='store_true')
    arguments = parser.parse_args()
    for count in arguments.instances or INSTANCE_COUNTS:
        if arguments.mode == 'process':
            cost = asyncio.run(_measure_process(count))
        else:
            cost = _measure_in_memory(count, arguments.profile)
        print(
            f'{arguments.mode}, {count} instances:'
            f' start {cost.start_ms:.0f} ms,'
            f' then {cost.ms_per_s:.1f} ms/s and'
            f' {cost.calls_per_s:.1f} calls/s an instance',
            flush=True,
        )
    return 0


def _measure_in_memory(count: int, is_profiled: bool) -> _Cost:
    profile = cProfile.Profile()
    cost = virtualloop.run(
        _run_in_memory(count, profile if is_profiled else None)
    )
    if is_profiled:
        stats = pstats.Stats(profile)
        stats.sort_stats('tottime').print_stats(PROFILE_LINES)
    return cost


async def _run_in_memory(
    count: int, profile: cProfile.Profile | None
) -> _Cost:
    started_s = time.process_time()
    cluster = entrybuilders.make_cluster(
        instances=count, engines=count * ENGINES_PER_INSTANCE
    )
    feeder = _Feeder(cluster.service)
    write_task = asyncio.ensure_future(feeder.write_entries())
    await asyncio.sleep(WARM_UP_S / 2)
    start_ms = (time.process_time() - started_s) * 1000 / count
    names = list(cluster.entry_by_name)
    for number in range(JOBS):
        submission = entrybuilders.make_submission(f'job-{number}')
        await cluster.submit(names[number], submission)
    await asyncio.sleep(WARM_UP_S / 2)
    calls = cluster.service.calls
    if profile is not None:
        profile.enable()
    started_s = time.process_time()
    await asyncio.sleep(MEASURED_VIRTUAL_S)
    used_ms = (time.process_time() - started_s) * 1000
    if profile is not None:
        profile.disable()
    made_calls = cluster.service.calls - calls
    write_task.cancel()
    await cluster.stop()
    total_s = count * MEASURED_VIRTUAL_S
    return _Cost(start_ms, used_ms / total_s, made_calls / total_s)


async def _measure_process(count: int) -> _Cost:
    """Measure one instance before the rows of the others."""
    table = platformtable.PlatformTable(random.Random(1))
    _put_configuration(table.service)
    pool = modelengines.EndpointPool(table.service, random.Random(1))
    for number in range(count * ENGINES_PER_INSTANCE):
        pool.add(
            modelengines.FakeEndpoint(
                f'engine-{number}',
                'engines',
                version_by_model={entrybuilders.MODEL: 1},
            )
        )
    feeder = _Feeder(table.service)
    feeder.write_first_heartbeats(count)
    listener = httpserver.HttpServer(
        table.handle,
        lambda status, detail: platformtable.make_json(status, {}),
        MAX_BODY_BYTES,
        MAX_CONNECTIONS,
    )
    address, _ = await httpserver.start_server(listener, '127.0.0.1:0')
    write_tasks = [
        asyncio.ensure_future(feeder.write_entries()),
        asyncio.ensure_future(feeder.write_heartbeats()),
    ]
    with tempfile.TemporaryDirectory() as folder:
        fleet = entryfleet.EntryFleet(pathlib.Path(folder), ('north',))
        fleet.table_address = address
        with fleet:
            fleet.start_entry('measured')
            cost = await _observe(fleet, table.service)
    for task in write_tasks:
        task.cancel()
    await listener.close()
    # The handlers of the killed process's calls end by then.
    await asyncio.sleep(END_S)
    return cost


async def _observe(
    fleet: entryfleet.EntryFleet, service: rowtable.RowService
) -> _Cost:
    popen = fleet.popen_by_name['measured']
    await asyncio.to_thread(fleet.wait_ready)
    # All first reads are over by then.
    await asyncio.sleep(1.0)
    start_ms = _get_used_ms(popen)
    await asyncio.sleep(WARM_UP_S - 1.0)
    calls = service.calls
    used_ms = _get_used_ms(popen)
    started_s = time.monotonic()
    await asyncio.sleep(MEASURED_S)
    took_s = time.monotonic() - started_s
    return _Cost(
        start_ms,
        (_get_used_ms(popen) - used_ms) / took_s,
        (service.calls - calls) / took_s,
    )


def _get_used_ms(popen: subprocess.Popen) -> float:
    """Return the processor time of a process with a single thread."""
    text = pathlib.Path(f'/proc/{popen.pid}/schedstat').read_text()
    return int(text.split()[0]) / NS_PER_MS


def _put_configuration(service: rowtable.RowService) -> None:
    value = entrybuilders.make_configuration()
    route = value['routes'][1]
    value['routes'] += [
        {**route, 'name': f'r-{number}', 'path_prefix': f'/r/{number}/'}
        for number in range(ROUTES - len(value['routes']))
    ]
    service.put('op', 'config', orjson.dumps(value))


class _Feeder:
    """Write the rows of engines and of instances that do not run."""

    def __init__(self, service: rowtable.RowService):
        self.service = service
        self.members: list[member.Member] = []

    def write_first_heartbeats(self, count: int) -> None:
        """Write a heartbeat of each further instance of the fleet."""
        self.members = [_make_member(number) for number in range(count - 1)]
        for instance in self.members:
            self._put_member(instance)
        # Without a leader the measured instance would try to become it.
        first = self.members[0]
        row = leader.LeaderRow(first.incarnation, first.name, 1, 1)
        key = leader.Leadership(f'{leader.WEIGHTS_PREFIX}engines', '', '').key
        self.service.apply(rows.Transaction(puts=((key, orjson.dumps(row)),)))

    async def write_entries(self) -> None:
        """Write each engine's entry again, until cancelled."""
        entry_rows = [
            row
            for key, row in self.service.row_by_name.items()
            if key.table == modelengines.ENDPOINT_TABLE
        ]
        values = [
            (row.name.key, orjson.loads(row.value)) for row in entry_rows
        ]

        def write(entry: tuple[str, dict]) -> None:
            key, value = entry
            value['seq'] += 1
            self.service.put(
                modelengines.ENDPOINT_TABLE, key, orjson.dumps(value)
            )

        await _repeat(values, ENTRY_INTERVAL_S, write)

    async def write_heartbeats(self) -> None:
        """Write each further instance's heartbeat, until cancelled."""
        numbers = list(range(len(self.members)))

        def write(number: int) -> None:
            instance = self.members[number]
            self.members[number] = dataclasses.replace(
                instance, beat=instance.beat + 1
            )
            self._put_member(self.members[number])

        await _repeat(numbers, HEARTBEAT_INTERVAL_S, write)

    def _put_member(self, instance: member.Member) -> None:
        key = heartbeat.make_key(heartbeat.MEMBER_KEY_PREFIX, instance.name)
        self.service.apply(
            rows.Transaction(puts=((key, member.encode_member(instance)),))
        )


async def _repeat(subjects, interval_s: float, write) -> None:
    """Write evenly, each subject once in the interval, until cancelled."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    written = 0
    while True:
        await asyncio.sleep(TICK_S)
        due = (loop.time() - started_at) / interval_s * len(subjects)
        while written < due:
            write(subjects[written % len(subjects)])
            written += 1


def _make_member(number: int) -> member.Member:
    return member.Member(
        name=f'entry-{number}',
        incarnation=f'entry-{number}-{number:012x}',
        availability_zone='north',
        caller_address=f'10.0.{number // 250}.{number % 250}:80',
        relay_address=f'10.0.{number // 250}.{number % 250}:83',
        accepting=True,
        beat=1,
        runs_by_endpoint={
            f'engine-{number * ENGINES_PER_INSTANCE + run}': 2
            for run in range(RUNS_PER_HEARTBEAT)
        },
    )


if __name__ == '__main__':
    sys.exit(main())
