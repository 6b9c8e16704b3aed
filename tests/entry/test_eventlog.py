"""Test that logging never blocks the process."""

import json
import logging
import os

from pomelopass.entry import eventlog
from pomelopass.reporting import logevents


def make_log(descriptor):
    log = eventlog.EventLog(descriptor)
    logger = logging.Logger('test')
    logger.addHandler(log)
    return log, eventlog.make_write_event(logger, 'a')


def test_stalled_reader_drops_lines_without_blocking():
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    log, write_event = make_log(write_end)
    for number in range(3 * eventlog.MAX_LINES):
        write_event(logevents.JobEnded(job=str(number)))
        if number % 100 == 0:
            log.write_pending()
    assert len(log.lines) <= eventlog.MAX_LINES
    assert log.dropped > 0
    text = b''
    while log.lines or log.unwritten:
        text += os.read(read_end, 1_000_000)
        log.write_pending()
    os.close(write_end)
    while chunk := os.read(read_end, 1_000_000):
        text += chunk
    os.close(read_end)
    lines = [json.loads(line) for line in text.splitlines()]
    drops = [line for line in lines if line['event'] == 'lines-dropped']
    ids = [line['job'] for line in lines if line['event'] == 'job-ended']
    assert len(ids) + sum(line['count'] for line in drops) == (
        3 * eventlog.MAX_LINES
    )
    assert ids == sorted(ids, key=int)


def test_lines_have_both_clocks_and_the_event_fields():
    log, write_event = make_log(1)
    write_event(logevents.Started(start='a-1', process=7))
    line = json.loads(log.lines[0])
    assert line['event'] == 'started'
    assert line['instance'] == 'a'
    assert line['start'] == 'a-1'
    assert line['time'].endswith('Z')
    assert isinstance(line['steady_ms'], int)


# Collectors that read the pipes of several instances would mix their lines.
def test_each_write_to_the_pipe_ends_with_a_whole_line():
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    log, write_event = make_log(write_end)
    for number in range(2000):
        write_event(logevents.JobEnded(job=str(number)))
    text = b''
    while log.lines or log.unwritten:
        log.write_pending()
        text += os.read(read_end, 1_000_000)
        assert text.endswith(b'\n')
    os.close(write_end)
    os.close(read_end)
    assert len(text.splitlines()) == 2000


# A background task would end at the line.
def test_line_with_a_number_over_64_bits_is_written():
    log, write_event = make_log(1)
    write_event(logevents.VersionNamed(model='\ud800', version=2**64))
    assert json.loads(log.lines[0])['version'] == 2**64
