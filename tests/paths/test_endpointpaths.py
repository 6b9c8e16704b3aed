"""Test which peers are asked for a path to an endpoint."""

import random

import pytest

from pomelopass import message
from pomelopass.paths import book as books
from pomelopass.paths import endpointpaths
from pomelopass.paths import peers as peerbooks
from pomelopass.paths import search as searches
from pomelopass.registry import registry as registries
from pomelopass.requests import call as calls
from tests import pathbuilders

NOT_CONNECTED = calls.CallFailedError('connect-failed', False)
UNREACHED = calls.CallFailedError(peerbooks.ENDPOINT_UNREACHABLE, False)
CALL = calls.Call('r', 'h', 'POST', '/', (), b'', None)


class CutLinks:
    """Own links over which no connection opens, or each call breaks."""

    read = None

    def __init__(self, error):
        self.error = error

    async def open(self, *arguments):
        raise self.error

    async def is_refused(self, target):
        return True


class Peers:
    """Peers that reach no endpoint, and the names that were asked."""

    def __init__(self):
        self.asked = []

    async def open(self, peer, *arguments):
        self.asked.append(peer.name)
        raise UNREACHED

    async def connect(self, peer, target):
        raise UNREACHED


class Watch:
    """Watch without a task."""

    def wake(self):
        pass


def make_paths(names_by_zone, endpoint_count=1, error=NOT_CONNECTED):
    peers = Peers()
    members = [
        pathbuilders.make_member(name, zone)
        for zone, names in names_by_zone.items()
        for name in names
    ]
    search = searches.PeerSearch(
        peers,
        peerbooks.PeerBook(
            'own', 'north', lambda: members, lambda event: None
        ),
        registries.Registry(lambda event: None),
        random.Random(1),
    )
    paths = endpointpaths.EndpointPaths(
        CutLinks(error),
        peers,
        books.PathBook(lambda: endpoint_count, lambda event: None),
        Watch(),
        search,
    )
    return paths, peers


# The whole zone may have lost its links.
async def test_second_peer_is_one_of_another_zone():
    paths, peers = make_paths({'north': ['n1', 'n2', 'n3'], 'south': ['s1']})
    target = pathbuilders.make_endpoint('e0')
    with pytest.raises(calls.CallFailedError) as error_info:
        await paths.open(target, CALL, 1000.0)
    assert error_info.value.kind == calls.UNREACHABLE
    assert not error_info.value.may_have_run
    assert len(peers.asked) == peerbooks.MAX_PEERS
    assert [name[0] for name in peers.asked] == ['n', 's', 'n']


async def test_peer_without_a_path_is_not_asked_again_at_once():
    paths, peers = make_paths({'north': ['n1'], 'south': ['s1']})
    target = pathbuilders.make_endpoint('e0')
    for _ in range(2):
        with pytest.raises(calls.CallFailedError):
            await paths.open(target, CALL, 1000.0)
    assert len(peers.asked) == 2


# The endpoint may have run it.
@pytest.mark.parametrize('kind', ['reset', 'timeout', 'connect-failed'])
async def test_call_that_was_sent_goes_to_no_peer(kind):
    error = calls.CallFailedError(kind, True)
    paths, peers = make_paths({'north': ['n1']}, error=error)
    with pytest.raises(calls.CallFailedError) as error_info:
        await paths.open(pathbuilders.make_endpoint('e0'), CALL, 1000.0)
    assert error_info.value is error
    assert peers.asked == []


@pytest.mark.parametrize(
    ('endpoint_count', 'is_refused'), [(1, False), (8, True)]
)
async def test_refusals_of_lost_links_are_not_those_of_endpoints(
    endpoint_count, is_refused
):
    paths, _ = make_paths({'north': ['n1']}, endpoint_count)
    target = pathbuilders.make_endpoint('e0')
    assert await paths.is_refused(target) == is_refused


# The peer is well: the key of the request was removed meanwhile.
async def test_withdrawn_request_is_no_failure_of_a_peer():
    paths, peers = make_paths({'north': ['a', 'b']})

    async def open_withdrawn(peer, *arguments):
        peers.asked.append(peer.name)
        raise calls.CallFailedError(message.WITHDRAWN, False)

    peers.open = open_withdrawn
    for _ in range(2):
        with pytest.raises(calls.CallFailedError) as caught:
            await paths.open(pathbuilders.make_endpoint('e'), CALL, 1000)
        assert caught.value.kind == message.WITHDRAWN
    assert len(peers.asked) == 2
