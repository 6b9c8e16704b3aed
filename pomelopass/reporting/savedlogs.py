"""Merge saved logs of several instances and find the lines of an id."""

from collections import abc
import dataclasses
import datetime
import json

__all__ = [
    'LogLine',
    'find_related',
    'format_fields',
    'format_line',
    'read_lines',
]

ID_FIELDS = ('id', 'job', 'endpoint', 'model', 'service')
LIST_FIELDS = ('items', 'endpoints', 'refused_by')
OBJECT_START = '{'
DECODER = json.JSONDecoder()
COMMON_FIELDS = ('time', 'steady_ms', 'level', 'event', 'instance')


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Event of an instance; the time is UTC by the instance's clock."""

    time: str
    instance: str
    event: str
    fields: dict[str, object]
    # Time of the instance's monotonic clock, if the line has one.
    steady_ms: float | None = None

    @property
    def utc_ms(self) -> float | None:
        """Return milliseconds since 1970, or None if the time is invalid."""
        try:
            time = datetime.datetime.fromisoformat(self.time)
        except ValueError:
            return None
        return time.timestamp() * 1000

    @property
    def ids(self) -> set[str]:
        """Return every id that the event names."""
        ids = {
            str(self.fields[name]) for name in ID_FIELDS if name in self.fields
        }
        for name in LIST_FIELDS:
            value = self.fields.get(name)
            if isinstance(value, list):
                ids.update(str(item) for item in value)
        return ids


def read_lines(sources: abc.Iterable[abc.Iterable[str]]) -> list[LogLine]:
    """Return the events of all sources in the order of their times.

    Text around a JSON object, such as a host name that a log collector adds,
    is ignored; so are objects without an event. A line may hold several
    objects, if a collector joined the output of several processes.
    """
    lines = [
        line
        for source in sources
        for text in source
        for line in _read_objects(text)
    ]
    lines.sort(key=lambda line: (line.time, line.instance))
    return lines


def find_related(lines: list[LogLine], subject: str) -> list[LogLine]:
    """Return the events of an id and of the jobs that it belongs to."""
    jobs = {
        str(line.fields['job'])
        for line in lines
        if 'job' in line.fields and subject in line.ids
    }
    return [
        line
        for line in lines
        if subject in line.ids or _concerns_job(line, jobs)
    ]


def format_line(line: LogLine) -> str:
    """Return an event as one line of text."""
    fields = format_fields(line)
    return f'{line.time}  {line.instance:20s}  {line.event:22s}  {fields}'


def format_fields(line: LogLine) -> str:
    """Return the fields of an event as names and values."""
    return ' '.join(
        f'{name}={json.dumps(value)}' for name, value in line.fields.items()
    )


def _concerns_job(line: LogLine, jobs: set[str]) -> bool:
    # Exclude lines about other items of the same job.
    if 'id' in line.fields or isinstance(line.fields.get('items'), list):
        return False
    return str(line.fields.get('job')) in jobs


def _read_objects(text: str) -> abc.Iterator[LogLine]:
    position = text.find(OBJECT_START)
    while position >= 0:
        try:
            record, end = DECODER.raw_decode(text, position)
        except (json.JSONDecodeError, RecursionError):
            # Another process may have written within this object.
            position = text.find(OBJECT_START, position + 1)
            continue
        line = _make_line(record)
        if line is not None:
            yield line
        position = text.find(OBJECT_START, end)


def _make_line(record: object) -> LogLine | None:
    if not isinstance(record, dict) or 'event' not in record:
        return None
    steady_ms = record.get('steady_ms')
    return LogLine(
        str(record.get('time', '')),
        str(record.get('instance', '')),
        str(record['event']),
        {
            name: value
            for name, value in record.items()
            if name not in COMMON_FIELDS
        },
        float(steady_ms) if isinstance(steady_ms, int | float) else None,
    )
