"""Define the origin of a stream and the rows that record it."""

import dataclasses

import orjson
import xxhash

from .. import decoding
from ..fleet import heartbeat
from ..table import rows

__all__ = [
    'BASE_KEY_PREFIX',
    'ORIGIN_TABLE',
    'Base',
    'Origin',
    'RecordedOrigin',
    'decode_base',
    'decode_record',
    'encode_row',
    'make_base_key',
    'make_record_key',
]

ORIGIN_TABLE = 'stream-origins'
PART_COUNT = 16
BASE_KEY_PREFIX = 'software/'


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Service and software version whose endpoint began a stream."""

    service: str
    software: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedOrigin:
    """Row of one stream; the time is that of the table service."""

    service: str
    software: str
    created_ms: decoding.Int64

    @property
    def origin(self) -> Origin:
        """Return the origin without its time."""
        return Origin(self.service, self.software)


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """Software version of the streams of a service that have no row.

    The time is that from which no endpoint of the version was registered.
    """

    software: str
    absent_since_ms: decoding.Int64 | None = None


def make_record_key(request_id: str) -> rows.Key:
    """Return the key of the row of a stream."""
    digest = xxhash.xxh3_128_hexdigest(request_id.encode())
    part = int(digest[:8], 16) % PART_COUNT
    return rows.Key(ORIGIN_TABLE, f'p{part:02d}', digest)


def make_base_key(service: str) -> rows.Key:
    """Return the key of a service's row, in the table of the fleet."""
    return rows.Key(heartbeat.MEMBER_TABLE, '', f'{BASE_KEY_PREFIX}{service}')


def encode_row(value: RecordedOrigin | Base) -> bytes:
    """Return the row value of an origin or a base."""
    return orjson.dumps(value)


def decode_record(value: bytes) -> RecordedOrigin:
    """Return the origin of a row; raise ValueError if malformed."""
    return _decode_record(value)


def decode_base(value: bytes) -> Base:
    """Return the base of a row; raise ValueError if malformed."""
    return _decode_base(value)


_decode_record = decoding.make_decoder(RecordedOrigin)
_decode_base = decoding.make_decoder(Base)
