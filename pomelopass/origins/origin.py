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
    'encode_base',
    'encode_record',
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
    # Name of the workspace for which it runs; empty if none is known.
    workspace: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedOrigin:
    """Row of one stream; the time is that of the table service."""

    service: str
    software: str
    created_ms: decoding.Int64
    workspace: str = ''

    @property
    def origin(self) -> Origin:
        """Return the origin without its time."""
        return Origin(self.service, self.software, self.workspace)


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """Software version of the streams of a service that have no row.

    Times are those of the table service. Streams that began while the version
    was absent may lack a row too, so a missing row is ambiguous for a while.
    """

    software: str
    # Since when no endpoint of the version was registered.
    absent_since_ms: decoding.Int64 | None = None
    ambiguous_until_ms: decoding.Int64 = 0
    # The other versions at which streams may have begun, each with the time
    # since which no endpoint of it was registered, or 0 while there is one.
    absent_since_ms_by_other: dict[str, decoding.Int64] = dataclasses.field(
        default_factory=dict
    )

    def is_ambiguous(self, now_ms: int) -> bool:
        """Return whether a stream without a row may be of another version."""
        return (
            self.absent_since_ms is not None
            or now_ms < self.ambiguous_until_ms
        )


def make_record_key(request_id: str) -> rows.Key:
    """Return the key of the row of a stream."""
    digest = xxhash.xxh3_128_hexdigest(request_id.encode())
    part = int(digest[:8], 16) % PART_COUNT
    return rows.Key(ORIGIN_TABLE, f'p{part:02d}', digest)


def make_base_key(service: str) -> rows.Key:
    """Return the key of a service's row, in the table of the fleet."""
    return rows.Key(heartbeat.MEMBER_TABLE, '', f'{BASE_KEY_PREFIX}{service}')


def encode_record(record: RecordedOrigin) -> bytes:
    """Return the row value of a stream's origin, with a workspace if any."""
    content = {'service': record.service, 'software': record.software}
    content['created_ms'] = record.created_ms
    if record.workspace:
        content['workspace'] = record.workspace
    return orjson.dumps(content)


def encode_base(base: Base) -> bytes:
    """Return the row value of a base.

    Fields with their default are left out: builds that know fewer fields
    refuse rows with more.
    """
    content = {'software': base.software}
    content['absent_since_ms'] = base.absent_since_ms
    if base.ambiguous_until_ms:
        content['ambiguous_until_ms'] = base.ambiguous_until_ms
    if base.absent_since_ms_by_other:
        content['absent_since_ms_by_other'] = base.absent_since_ms_by_other
    return orjson.dumps(content)


def decode_record(value: bytes) -> RecordedOrigin:
    """Return the origin of a row; raise ValueError if malformed."""
    return _decode_record(value)


def decode_base(value: bytes) -> Base:
    """Return the base of a row; raise ValueError if malformed."""
    return _decode_base(value)


_decode_record = decoding.make_decoder(RecordedOrigin)
_decode_base = decoding.make_decoder(Base)
