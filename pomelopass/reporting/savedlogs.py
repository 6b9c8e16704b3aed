"""Read saved logs of several instances and find what concerns one id."""

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
SHOWN_ELSEWHERE = ('time', 'steady_ms', 'level', 'event', 'instance')


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one event of an instance; the time is its own UTC."""

    time: str
    instance: str
    event: str
    fields: dict[str, object]

    @property
    def utc_ms(self) -> float | None:
        """Return milliseconds since 1970, or None for no readable time."""
        try:
            told = datetime.datetime.fromisoformat(self.time)
        except ValueError:
            return None
        return told.timestamp() * 1000

    @property
    def ids(self) -> set[str]:
        """Return every id that the event names."""
        found = {
            str(self.fields[name]) for name in ID_FIELDS if name in self.fields
        }
        for name in LIST_FIELDS:
            value = self.fields.get(name)
            if isinstance(value, list):
                found.update(str(one) for one in value)
        return found


def read_lines(sources: abc.Iterable[abc.Iterable[str]]) -> list[LogLine]:
    """Return the events of all sources in the order of their times.

    What stands before the JSON object of a line, such as the name of a
    machine that a collector adds, is passed over.
    """
    found = [
        line
        for source in sources
        for text in source
        if (line := _read_line(text)) is not None
    ]
    found.sort(key=lambda one: (one.time, one.instance))
    return found


def find_related(lines: list[LogLine], subject: str) -> list[LogLine]:
    """Return the events of an id, and those of the job that it is part of."""
    jobs = {
        str(one.fields['job'])
        for one in lines
        if 'job' in one.fields and subject in one.ids
    }
    return [
        one for one in lines if subject in one.ids or _tells_of_job(one, jobs)
    ]


def format_line(one: LogLine) -> str:
    """Return an event as one line of text."""
    told = format_fields(one)
    return f'{one.time}  {one.instance:20s}  {one.event:22s}  {told}'


def format_fields(one: LogLine) -> str:
    """Return what an event tells as names and values."""
    return ' '.join(
        f'{name}={json.dumps(value)}' for name, value in one.fields.items()
    )


def _tells_of_job(one: LogLine, jobs: set[str]) -> bool:
    # Lines about other items of the same job are left out.
    if 'id' in one.fields or isinstance(one.fields.get('items'), list):
        return False
    return str(one.fields.get('job')) in jobs


def _read_line(text: str) -> LogLine | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
    except json.JSONDecodeError:
        return None
    if not isinstance(found, dict) or 'event' not in found:
        return None
    return LogLine(
        str(found.get('time', '')),
        str(found.get('instance', '')),
        str(found['event']),
        {
            name: value
            for name, value in found.items()
            if name not in SHOWN_ELSEWHERE
        },
    )
