"""Measure the cost of the log lines of entry instances."""

import asyncio
import logging
import os
import time

from bench import target
from pomelopass.entry import eventlog
from pomelopass.reporting import logevents
from standins import virtualloop
from tests import entrybuilders

__all__ = ['measure_log_cost']

TIME_TARGET = target.Target(
    'processor time that log lines add, of that without them', 10.0, '%'
)
BYTES_TARGET = target.Target('bytes of log lines for an item', 2000, 'bytes')
JOBS = 40
GROUPS = 6
SIZE = 4
ROUNDS = 3


class _DiscardedLog:
    """Write log lines of all instances to /dev/null and count bytes."""

    def __init__(self) -> None:
        self.log = eventlog.EventLog(os.open(os.devnull, os.O_WRONLY))
        self.logger = logging.Logger('bench')
        self.logger.addHandler(self.log)
        self.byte_count = 0

    def make_write_event(self, _: list[dict]) -> logevents.WriteEvent:
        """Return a function that writes an instance's events."""
        write_event = eventlog.make_write_event(self.logger, 'entry')

        def write(event: logevents.Event) -> None:
            write_event(event)
            self.byte_count += sum(len(line) for line in self.log.lines)
            self.log.write_pending()

        return write


def measure_log_cost(seed: int) -> list[target.Outcome]:
    """Run the same jobs with and without log lines, alternately."""
    with_s = []
    without_s = []
    for _ in range(ROUNDS):
        discarded_log = _DiscardedLog()
        with_s.append(_measure_s(seed, discarded_log.make_write_event))
        without_s.append(_measure_s(seed, _make_no_op))
    added_percent = 100 * (min(with_s) - min(without_s)) / min(without_s)
    items = JOBS * GROUPS * SIZE
    return [
        target.Outcome(TIME_TARGET, added_percent),
        target.Outcome(BYTES_TARGET, discarded_log.byte_count / items),
    ]


def _make_no_op(_: list[dict]) -> logevents.WriteEvent:
    return lambda event: None


def _measure_s(seed: int, make_write_event) -> float:
    started_s = time.process_time()
    virtualloop.run(_run_jobs(seed, make_write_event))
    return time.process_time() - started_s


async def _run_jobs(seed: int, make_write_event) -> None:
    cluster = entrybuilders.make_cluster(
        seed, engines=6, make_write_event=make_write_event
    )
    await asyncio.sleep(2)
    for number in range(JOBS):
        submission = entrybuilders.make_submission(
            f'job-{number}', GROUPS, SIZE
        )
        await cluster.submit(f'entry-{number % 3}', submission)
        await cluster.read_all(submission.id, 20)
    await cluster.stop()
