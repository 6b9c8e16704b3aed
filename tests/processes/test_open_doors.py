"""Test that clients without good intent neither end nor fill an instance."""

import http.client
import itertools
import pathlib
import resource
import time

import pytest

from scripts import entrycalls
from scripts import entryfleet
from scripts import probe
from tests import entrybuilders
from tests.processes import crowds
from tests.processes import test_memory

# Settings and bounds of the instance; 43 MB are in use at rest.
MEMORY_MB = 100
MAX_DESCRIPTORS = 600
# The platform reserves these for files.
RESERVED_DESCRIPTORS = 200
BODY_BYTES = 970_000
# The instance stays under load for this long once all bytes were offered.
HOLD_S = 1.0
ORDINARY_IDS = itertools.count()
HTTP_KINDS = ('readiness_address', 'directory_address', 'metrics_address')


# The smallest instance, and the largest body that a configuration allows.
SMALLEST_MEMORY_MB = 160
LARGEST_BODY_BYTES = 33_554_432


@pytest.fixture
def running_fleet(tmp_path):
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        fleet.start_platform()
        fleet.put_row('op', 'config', entrybuilders.make_configuration())
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        metrics_port = fleet.reserved_ports.reserve(1)[0]
        # The instance inherits the lower limit.
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, limits[1])
        )
        try:
            fleet.start_entry(
                'entry-0',
                memory_mb=MEMORY_MB,
                metrics_address=f'127.0.0.1:{metrics_port}',
            )
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        fleet.wait_ready()
        yield fleet


def count_descriptors(fleet):
    pid = fleet.popen_by_name['entry-0'].pid
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


def check_held(fleet, crowd):
    """Check the bounds and an ordinary request while the crowd stays."""
    deadline = time.monotonic() + HOLD_S
    most_descriptors = 0
    while time.monotonic() < deadline:
        most_descriptors = max(most_descriptors, count_descriptors(fleet))
        time.sleep(0.05)
    try:
        probe.wait_for(lambda: send_ordinary(fleet) == 200)
        is_served = True
    except TimeoutError:
        is_served = False
    crowd.close()
    peak_mb = test_memory.get_peak_mb(fleet)
    print('PEAK', peak_mb, 'DESCRIPTORS', most_descriptors, is_served)
    assert peak_mb < MEMORY_MB
    assert most_descriptors < MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
    assert is_served


def send_ordinary(fleet):
    request_id = f'ordinary-{next(ORDINARY_IDS)}'
    return test_memory.send_score(fleet, 'entry-0', request_id)


def make_head(path, length=None):
    """Return the heads of a crowd's requests, each with its own id."""
    framing = (
        'Transfer-Encoding: chunked'
        if length is None
        else f'Content-Length: {length}'
    )
    host = entrybuilders.HOST
    return lambda number: (
        f'POST {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: c-{number}\r\n'
        f'{framing}\r\n\r\n'
    ).encode()


def make_chunks(chunk_bytes):
    """Return a body of that many bytes in chunks, without its end."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    return chunk * (BODY_BYTES // chunk_bytes)


# Each body was bounded, but not what all connections keep.
@pytest.mark.parametrize('path', ['/scores/1', '/nowhere'])
def test_large_bodies_sent_whole(running_fleet, path):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 120)
    crowd.send(make_head(path, BODY_BYTES), b'x' * BODY_BYTES, 262_144)
    check_held(running_fleet, crowd)


# A body that is never complete was kept until its sender left.
def test_large_bodies_that_lack_their_last_byte(running_fleet):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 120)
    head = make_head('/scores/1', BODY_BYTES)
    crowd.send(head, b'x' * (BODY_BYTES - 1), 8192)
    check_held(running_fleet, crowd)


# Requests were read ahead while responses were unread.
def test_pipelined_requests_with_unread_responses(running_fleet):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 360)
    request = b'GET /nowhere HTTP/1.1\r\nHost: nowhere.test\r\n\r\n'
    crowd.send(lambda _: b'', request * 8000, 65_536)
    check_held(running_fleet, crowd)


# A chunked body has no length that could be refused.
def test_unterminated_bodies_in_large_chunks(running_fleet):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 120)
    crowd.send(make_head('/scores/1'), make_chunks(65_536), 65_536)
    check_held(running_fleet, crowd)


# Each chunk was an object and a step of the parser of its own: the process
# answered nobody.
def test_unterminated_bodies_in_small_chunks(running_fleet):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 120)
    crowd.send(make_head('/scores/1'), make_chunks(16), 65_536)
    check_held(running_fleet, crowd)


# The descriptors of the table and the endpoints were left to callers.
def test_connections_up_to_the_descriptor_limit(running_fleet):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 700)
    check_held(running_fleet, crowd)


# A timeout for the head alone bounds its bytes, not the connections.
def test_heads_that_stop_short(running_fleet):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 700)
    crowd.send(lambda _: b'GET / HTTP/1.1\r\nHost: a\r\n', b'', 1)
    check_held(running_fleet, crowd)


# What follows the last chunk counts as part of no body.
@pytest.mark.parametrize(
    'part',
    [
        b'x-field: ' + b'x' * 1_000_000,
        b'x: y\r\n' * 200_000,
        b'1;extension=' + b'x' * 1_000_000,
        b'0\r\n' + b'x: y\r\n' * 200_000,
        b'\r\n' * 500_000,
    ],
    ids=['field', 'fields', 'extension', 'trailers', 'empty-lines'],
)
def test_parts_of_requests_without_an_end(running_fleet, part):
    address = running_fleet.get_address('entry-0')
    crowd = crowds.Crowd(address, 120)
    make_start = make_head('/scores/1')
    if part[:1] not in (b'0', b'1'):
        make_start = {
            True: lambda _: b'',
            False: lambda _: b'GET / HTTP/1.1\r\nHost: a\r\n',
        }[part[:1] == b'\r']
    crowd.send(make_start, part, 4096)
    check_held(running_fleet, crowd)


# These ports took bodies of 32 MiB, whatever the configuration says.
@pytest.mark.parametrize('kind', HTTP_KINDS)
def test_large_bodies_at_other_ports(running_fleet, kind):
    crowd = crowds.Crowd(running_fleet.get_address('entry-0', kind), 30)
    crowd.send(make_head('/', 8_000_000), b'x' * 7_999_999, 262_144)
    check_held(running_fleet, crowd)


# They shared no limit on connections with the others.
@pytest.mark.parametrize('kind', (*HTTP_KINDS, 'relay_address'))
def test_connections_to_other_ports(running_fleet, kind):
    crowd = crowds.Crowd(running_fleet.get_address('entry-0', kind), 700)
    check_held(running_fleet, crowd)


# Peers' frames had no timeout, and no limit together.
def test_frames_that_lack_their_last_byte(running_fleet):
    address = running_fleet.get_address('entry-0', 'relay_address')
    crowd = crowds.Crowd(address, 120)
    size = 1_000_000
    crowd.send(lambda _: size.to_bytes(4, 'big'), b'x' * (size - 1), 262_144)
    check_held(running_fleet, crowd)


# A limit on all bodies together may not refuse one that is alone.
def test_largest_body_is_served_by_the_smallest_instance(tmp_path):
    configuration = entrybuilders.make_configuration()
    configuration['limits']['max_body_bytes'] = LARGEST_BODY_BYTES
    with entryfleet.EntryFleet(tmp_path, entrycalls.ZONES) as fleet:
        fleet.start_platform()
        fleet.put_row('op', 'config', configuration)
        fleet.start_entry('entry-0', memory_mb=SMALLEST_MEMORY_MB)
        fleet.wait_ready()
        connection = http.client.HTTPConnection(fleet.get_address('entry-0'))
        headers = {**entrycalls.HOST, 'Attempt-Id': 'largest'}
        body = b'x' * LARGEST_BODY_BYTES
        connection.request('POST', '/orders/1', body, headers)
        answer = connection.getresponse()
        answer.read()
        connection.close()
        peak_mb = test_memory.get_peak_mb(fleet)
        print('PEAK', peak_mb)
        assert answer.status == 200
        assert peak_mb < SMALLEST_MEMORY_MB
