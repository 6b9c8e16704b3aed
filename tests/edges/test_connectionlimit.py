"""Test which connections are served where too many are open."""

import types

from pomelopass.edges import connectionlimit
from pomelopass.entry import connectionshares


class Opened:
    """Writer of a connection that notes its abortion."""

    def __init__(self, address: str):
        self.address = address
        self.aborted = False
        self.transport = types.SimpleNamespace(abort=self._abort)

    def _abort(self) -> None:
        self.aborted = True

    def get_extra_info(self, name: str) -> tuple[str, int]:
        return (self.address, 1)


def open_all(limit, address, count):
    opened = [Opened(address) for _ in range(count)]
    return opened, [limit.admit(writer) for writer in opened]


def make_limit(max_connections):
    clock = types.SimpleNamespace(now=0.0)
    limit = connectionlimit.ConnectionLimit(max_connections, lambda: clock.now)
    return limit, clock


# One address took all connections.
def test_one_address_leaves_places_to_others():
    limit, _ = make_limit(10)
    _, slots = open_all(limit, '127.0.0.2', 10)
    assert slots[7] is not None
    assert slots[8:] == [None, None]
    assert None not in open_all(limit, '127.0.0.3', 2)[1]
    assert limit.count_by_outcome == {'accepted': 12, 'refused': 2}


# Connections that never send a request kept their places.
def test_the_oldest_without_a_request_leaves_for_a_new_one():
    limit, clock = make_limit(10)
    opened, slots = open_all(limit, '127.0.0.2', 8)
    limit.begin_use(slots[0])
    limit.end_use(slots[0])
    limit.begin_use(slots[1])
    assert open_all(limit, '127.0.0.2', 1)[1] == [None]
    clock.now = 1.1
    assert None not in open_all(limit, '127.0.0.2', 1)[1]
    assert [writer.aborted for writer in opened[:4]] == [0, 0, 1, 0]
    assert limit.count_by_outcome['evicted'] == 1


# Requests that run are never cut off for new connections.
def test_only_idle_connections_leave():
    limit, clock = make_limit(4)
    opened, slots = open_all(limit, '127.0.0.2', 4)
    for slot in slots:
        limit.begin_use(slot)
    limit.end_use(slots[2])
    clock.now = 60.0
    assert None not in open_all(limit, '127.0.0.2', 1)[1]
    assert open_all(limit, '127.0.0.2', 1)[1] == [None]
    assert [writer.aborted for writer in opened] == [0, 0, 1, 0]


# Callers that pipeline were busy all the time, and nobody else got a place.
def test_between_pipelined_requests_a_connection_leaves():
    limit, _ = make_limit(4)
    opened, slots = open_all(limit, '127.0.0.2', 4)
    slots[1].is_pipelining = slots[3].is_pipelining = True
    limit.begin_use(slots[1])
    assert None not in open_all(limit, '127.0.0.2', 1)[1]
    assert [writer.aborted for writer in opened] == [0, 0, 0, 1]


def test_released_places_are_free():
    limit, _ = make_limit(2)
    _, slots = open_all(limit, '127.0.0.2', 2)
    for slot in slots:
        limit.release(slot)
        limit.release(slot)
    assert not limit.count_by_address
    assert None not in open_all(limit, '127.0.0.2', 2)[1]


# The platform's files and the calls of the instance need descriptors.
def test_shares_leave_descriptors_for_files_and_calls():
    settings = types.SimpleNamespace(memory_mb=160.0, max_descriptors=1638)
    shares = connectionshares.make_shares(settings, 20_000)
    taken = shares.caller + shares.directory + 2 * shares.probe + shares.relay
    assert shares.caller > 700
    assert taken < 1638 - 200 - 250


# A caller that reuses its connection lost it to ones that never send.
def test_a_connection_in_use_outlasts_one_without_a_request():
    limit, clock = make_limit(4)
    opened, slots = open_all(limit, '127.0.0.2', 1)
    limit.begin_use(slots[0])
    limit.end_use(slots[0])
    opened += open_all(limit, '127.0.0.2', 3)[0]
    clock.now = 2.0
    assert None not in open_all(limit, '127.0.0.2', 1)[1]
    assert [writer.aborted for writer in opened] == [0, 1, 0, 0]
