"""Test that logs never hold the process up."""

import json
import logging
import os

from pomelopass.entry import eventlog
from pomelopass.reporting import logevents


def test_a_reader_that_never_reads_costs_lines_and_no_time():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    log = eventlog.EventLog(writing)
    logger = logging.Logger('test')
    logger.addHandler(log)
    write_event = eventlog.make_write_event(logger, 'a')
    for number in range(3 * eventlog.MAX_LINES):
        write_event(logevents.JobEnded(job=str(number)))
        if number % 100 == 0:
            log.write_pending()
    assert len(log.lines) <= eventlog.MAX_LINES
    assert log.dropped > 0
    text = b''
    while log.lines or log.unwritten:
        text += os.read(reading, 1_000_000)
        log.write_pending()
    os.close(writing)
    while part := os.read(reading, 1_000_000):
        text += part
    os.close(reading)
    lines = [json.loads(line) for line in text.splitlines()]
    told = [one for one in lines if one['event'] == 'lines-dropped']
    ids = [one['job'] for one in lines if one['event'] == 'job-ended']
    assert len(ids) + sum(one['count'] for one in told) == (
        3 * eventlog.MAX_LINES
    )
    assert ids == sorted(ids, key=int)


def test_events_have_both_times_and_their_fields():
    log = eventlog.EventLog(1)
    logger = logging.Logger('test')
    logger.addHandler(log)
    write_event = eventlog.make_write_event(logger, 'a')
    write_event(logevents.Started(start='a-1', process=7))
    line = json.loads(log.lines[0])
    assert line['event'] == 'started'
    assert line['instance'] == 'a'
    assert line['start'] == 'a-1'
    assert line['time'].endswith('Z')
    assert isinstance(line['steady_ms'], int)
