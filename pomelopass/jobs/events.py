"""Parse the server-sent events of generations."""

import dataclasses

from .. import decoding
from .. import message

__all__ = ['BadEventError', 'Event', 'EventParser']

EVENT_END = b'\n\n'
# A larger event is no answer; its end may never come.
MAX_EVENT_BYTES = 262_144
# It is sent to the next engine in a header.
MAX_ID_LENGTH = 1024


class BadEventError(message.ExchangeError):
    """Raised for bytes that are no event of a generation."""

    def __init__(self, detail: str):
        super().__init__('bad-event', 1)
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event; the weight version is set only where it changes."""

    id: str
    data: str
    weight_version: int | None


class EventParser:
    """Incremental parser that buffers an incomplete event.

    The ids of events must rise. Comments are skipped.

    >>> parser = EventParser('weight-version')
    >>> parser.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [Event(id='1', data='a', weight_version=None)]
    >>> parser.unread
    b'id: 2\\nda'
    """

    def __init__(self, version_field: str, last_id: str | None = None):
        self.version_field = version_field
        self.unread = b''
        # Of the event after which the text is resumed.
        self.last_id = last_id or ''

    def feed(self, data: bytes) -> list[Event]:
        """Return the events completed by the data; raise BadEventError."""
        self.unread += data
        *blocks, self.unread = self.unread.split(EVENT_END)
        if len(self.unread) > MAX_EVENT_BYTES:
            raise BadEventError(f'{len(self.unread)} bytes without an end')
        return [self._parse(block) for block in blocks if not _is_blank(block)]

    def _parse(self, block: bytes) -> Event:
        event = self._read_fields(block)
        number = decoding.parse_count(event.id)
        last_number = decoding.parse_count(self.last_id)
        is_rising = None in (number, last_number) or number > last_number
        if len(event.id) > MAX_ID_LENGTH:
            raise BadEventError(f'an id of {len(event.id)} characters')
        if not event.id or not is_rising:
            raise BadEventError(f'id {event.id!r} after {self.last_id!r}')
        if number is not None:
            self.last_id = event.id
        return event

    def _read_fields(self, block: bytes) -> Event:
        event_id = ''
        data = []
        version = None
        for line in block.decode('utf-8', 'replace').split('\n'):
            name, _, value = line.partition(':')
            value = value.removeprefix(' ').removesuffix('\r')
            if name == 'id':
                event_id = value
            elif name == 'data':
                data.append(value)
            elif name == self.version_field:
                version = decoding.parse_count(value)
        return Event(event_id, '\n'.join(data), version)


def _is_blank(block: bytes) -> bool:
    return all(
        not line.strip() or line.startswith(b':')
        for line in block.split(b'\n')
    )
