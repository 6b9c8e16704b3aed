"""Build odd values of rows, as another writer may leave them."""

import json

from pomelopass.jobs import rowcodec
from pomelopass.table import rows

__all__ = [
    'ENDPOINT_IDS',
    'ENTRY_BY_NAME',
    'FLEET_PREFIXES',
    'JSON_TEXTS',
    'MEMBER_BY_NAME',
    'OPERATOR_ROWS',
    'make_entry',
    'make_job_key',
    'make_put',
]

HUGE = 10**400
OVER_64_BITS = 2**64
ENTRY = {
    'service': 'desk',
    'address': '127.0.0.1:8000',
    'zone': 'north',
    'version': '',
    'slots': 8,
    'state': 'ready',
    'seq': 0,
    'born': 1,
}


def _with(**changes: object) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


def _with_text(name: str, text: str) -> bytes:
    entry = json.dumps({**ENTRY, name: 'PLACE'})
    return entry.replace('"PLACE"', text).encode()


NESTED = '[' * 100_000 + ']' * 100_000
ENTRY_BY_NAME = {
    'port out of range': _with(address='127.0.0.1:99999'),
    'port zero': _with(address='127.0.0.1:0'),
    'port of 5,000 digits': _with(address='127.0.0.1:' + '9' * 5000),
    'port of other digits': _with(address='127.0.0.1:\u0668\u0660'),
    'host with a zero byte': _with(address='127.0.0\0.1:80'),
    'host with a long label': _with(address='a' * 70 + '.test:80'),
    'host with an empty label': _with(address='a..b:80'),
    'host by name': _with(address='desk.test:80'),
    'host of IPv6': _with(address='[::1]:80'),
    'address without a port': _with(address='127.0.0.1'),
    'address as a number': _with(address=7),
    'slots of 400 digits': _with(slots=HUGE),
    'slots over 64 bits': _with(slots=OVER_64_BITS),
    'slots negative': _with(slots=-5),
    'slots as text': _with(slots='8'),
    'slots infinite': _with_text('slots', '1e999'),
    'born over 64 bits': _with(born=OVER_64_BITS),
    'born negative': _with(born=-1),
    'weights over 64 bits': _with(
        models=[{'name': 'matcher', 'version': OVER_64_BITS}]
    ),
    'weights negative': _with(models=[{'name': 'matcher', 'version': -3}]),
    'nested 200 deep': _with_text('zone', '[' * 200 + ']' * 200),
    'nested 100,000 deep': _with_text('zone', NESTED),
    'only nested': NESTED.encode(),
    'no text': b'\xff\xfe\x00',
    'half a surrogate': _with_text('zone', '"\\ud800"'),
    'null': b'null',
    'empty': b'',
    'list': b'[]',
    'service of 10,000 letters': _with(service='s' * 10_000),
    'software with a line feed': _with(version='a\nb'),
    'state unknown': _with(state='sleeping'),
    'good': _with(),
}


def make_entry(name: str, service: str) -> bytes:
    """Return an entry of a service; those of engines hold weights."""
    return ENTRY_BY_NAME[name].replace(
        b'"service": "desk"', f'"service": "{service}"'.encode()
    )


ENDPOINT_IDS = (
    'x' * 200,
    'line\nfeed',
    'carriage\rreturn: x',
    'zero\0byte',
    'name: \u00e9\u4e2d',
    ' ',
    'slash/and space ',
)

MEMBER = {
    'name': 'entry-9',
    'incarnation': 'entry-9-1',
    'availability_zone': 'north',
    'caller_address': '127.0.0.1:80',
    'relay_address': '127.0.0.1:83',
    'accepting': True,
    'beat': 1,
    'runs_by_endpoint': {},
    'capacity': 1.0,
    'crashes_by_fingerprint': {},
    'is_direct': True,
}


def _member(**changes: object) -> bytes:
    return json.dumps({**MEMBER, **changes}).encode()


MEMBER_BY_NAME = {
    'runs as a list': _member(runs_by_endpoint=['desk-0']),
    'runs as text': _member(runs_by_endpoint={'desk-0': 'many'}),
    'runs over 64 bits': _member(runs_by_endpoint={'desk-0': HUGE}),
    'crashes as text': _member(crashes_by_fingerprint={'f': 'x'}),
    'crashes as a number': _member(crashes_by_fingerprint=3),
    'capacity infinite': json.dumps(MEMBER)
    .replace('"capacity": 1.0', '"capacity": 1e999')
    .encode(),
    'address out of range': _member(relay_address='127.0.0.1:99999'),
    'address by name': _member(relay_address='a..b:1'),
    'name as a number': _member(name=5),
    'further field': _member(of_a_newer_build={'x': 1}),
    'nested': NESTED.encode(),
    'no text': b'\xff\xfe\x00',
    'null': b'null',
    'list': b'[]',
    'number': b'7',
    'empty': b'',
}
FLEET_PREFIXES = ('member/', 'limits/', 'cut-off/', 'weights/', 'software/')

OPERATOR_ROWS = {
    'version over 64 bits': (
        'version/matcher',
        json.dumps({'model': 'matcher', 'version': OVER_64_BITS}).encode(),
    ),
    'version of 400 digits': (
        'version/matcher',
        json.dumps({'model': 'matcher', 'version': HUGE}).encode(),
    ),
    'version infinite': (
        'version/matcher',
        b'{"model": "matcher", "version": 1e999}',
    ),
    'version as a list': (
        'version/matcher',
        b'{"model": "matcher", "version": [2]}',
    ),
    'version row as a list': ('version/matcher', b'[]'),
    'version row nested': ('version/matcher', NESTED.encode()),
    'configuration over 64 bits': (
        'config',
        json.dumps(
            {'version': OVER_64_BITS, 'routes': [], 'services': []}
        ).encode(),
    ),
    'configuration with an infinite time': (
        'config',
        b'{"version": 2, "routes": [{"hostname": "h", "path_prefix": "/",'
        b'"route_type": "idempotent", "service": "s", "timeout_ms": 1e999}],'
        b'"services": []}',
    ),
    'configuration nested': ('config', NESTED.encode()),
    'configuration without text': ('config', b'\xff\xfe'),
}

# Any of these may stand in the place of a value.
JSON_TEXTS = (
    'null',
    'true',
    '-1',
    '1e999',
    '-1e999',
    str(HUGE),
    str(OVER_64_BITS),
    '1.5',
    '""',
    '"\\ud800"',
    '"\\u0000"',
    '[]',
    '{}',
    '[' * 200 + ']' * 200,
    '[' * 5000 + ']' * 5000,
)


def make_job_key(job_id: str) -> rows.Key:
    """Return the key of a job's row."""
    return rowcodec.make_record_key(job_id)


def make_put(key: rows.Key, value: bytes) -> rows.Transaction:
    """Return the write of one row."""
    return rows.Transaction(puts=((key, value),))
