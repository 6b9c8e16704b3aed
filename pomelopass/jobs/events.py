"""Parse the server-sent events of generations."""

import dataclasses

__all__ = ['Event', 'EventParser']

EVENT_END = b'\n\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event; the weight version is set only where it changes."""

    id: str
    data: str
    weight_version: int | None


class EventParser:
    """Incremental parser that buffers an incomplete event.

    >>> parser = EventParser('weight-version')
    >>> parser.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
    [Event(id='1', data='a', weight_version=None)]
    >>> parser.unread
    b'id: 2\\nda'
    """

    def __init__(self, version_field: str):
        self.version_field = version_field
        self.unread = b''

    def feed(self, data: bytes) -> list[Event]:
        """Return the events completed by the data."""
        self.unread += data
        *blocks, self.unread = self.unread.split(EVENT_END)
        return [self._parse(block) for block in blocks if block.strip()]

    def _parse(self, block: bytes) -> Event:
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
            elif name == self.version_field and value.isdecimal():
                version = int(value)
        return Event(event_id, '\n'.join(data), version)
