"""Write events to standard output as JSON lines without blocking."""

import asyncio
import collections
import json
import logging
import os
import select
import sys
import time

import orjson

from ..reporting import isotime
from ..reporting import logevents

__all__ = ['EventLog', 'make_write_event']

MAX_LINES = 4000
FLUSH_INTERVAL_MS = 100.0
# A pipe takes so much whole or not at all: a reader gets no partial line.
MAX_WRITE_BYTES = select.PIPE_BUF


class EventLog(logging.Handler):
    """Logging handler that queues lines for a slow reader."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.unwritten = b''
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self.lines) >= MAX_LINES:
            self.dropped += 1
            return
        fields = getattr(record, 'fields', {})
        line = {
            'time': isotime.format_utc(record.created * 1000),
            'steady_ms': round(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000),
            'level': record.levelname,
            'event': record.getMessage(),
            **fields,
        }
        if record.exc_info:
            line['detail'] = repr(record.exc_info[1])
        self.lines.append(_encode(line))

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_MS / 1000)
            self.write_pending()

    def write_pending(self) -> None:
        """Write as many queued lines as the descriptor accepts now."""
        while self.lines or self.unwritten:
            if not self.unwritten:
                self.unwritten = self._pop_lines()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; there is no other output.
                self.lines.clear()
                self.unwritten = b''
                return
            self.unwritten = self.unwritten[written:]

    def _pop_lines(self) -> bytes:
        if self.dropped:
            event = logevents.LinesDropped(count=self.dropped)
            line = {'event': event.kind, **logevents.get_fields(event)}
            self.lines.append(orjson.dumps(line) + b'\n')
            self.dropped = 0
        batch = []
        size = 0
        while self.lines:
            size += len(self.lines[0])
            if batch and size > MAX_WRITE_BYTES:
                break
            batch.append(self.lines.popleft())
        return b''.join(batch)


def _encode(line: dict[str, object]) -> bytes:
    try:
        return orjson.dumps(line, default=str) + b'\n'
    except TypeError:
        # A log line never fails for numbers or texts that orjson refuses.
        return json.dumps(line, default=str, skipkeys=True).encode() + b'\n'


def set_up_event_log(level: str) -> EventLog:
    """Send all logs of the process to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    log = EventLog(descriptor)
    root = logging.getLogger()
    root.handlers[:] = [log]
    root.setLevel(level)
    return log


def make_write_event(
    logger: logging.Logger, instance: str
) -> logevents.WriteEvent:
    """Return a function that logs an event with its fields."""

    def write_event(event: logevents.Event) -> None:
        if logger.isEnabledFor(event.level):
            fields = {'instance': instance, **logevents.get_fields(event)}
            logger.log(event.level, event.kind, extra={'fields': fields})

    return write_event
