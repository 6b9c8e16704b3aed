"""Test probes of links that are silent or lost."""

import asyncio
import math
import random

from pomelopass.paths import book as books
from pomelopass.paths import peers as peerbooks
from pomelopass.paths import search as searches
from pomelopass.paths import watch as watches
from pomelopass.registry import registry as registries
from standins import virtualloop
from tests import pathbuilders


class Links:
    """Own links with requests that are silent from a time on."""

    def __init__(self, is_cut, silent_ids=('e0',), answered_at=math.inf):
        self.is_cut = is_cut
        self.silent_ids = set(silent_ids)
        self.answered_at = answered_at
        self.received_at = 0.0
        self.broken = []
        self.probed = []

    async def can_connect(self, target):
        self.probed.append(target.id)
        return not self.is_cut

    def get_silent_ids(self, silent_ms):
        now = asyncio.get_running_loop().time()
        if self.broken or now >= self.answered_at:
            return set()
        return self.silent_ids if now * 1000 >= silent_ms else set()

    def break_silent(self, target, silent_ms):
        self.broken.append(target.id)


class Peers:
    """Peers that all reach endpoints, and when they were asked."""

    def __init__(self):
        self.asked_at = []

    async def connect(self, peer, target):
        self.asked_at.append(asyncio.get_running_loop().time())


# By default too many endpoints for one failure to count as lost links.
def watch_silence(is_cut, endpoint_count=8, peer_port=None, **options):
    links = Links(is_cut, **options)
    book = books.PathBook(lambda: endpoint_count, lambda event: None)
    registry = registries.Registry(lambda event: None)
    for endpoint_id in ('e0', 'e1'):
        registry.put(pathbuilders.make_endpoint(endpoint_id))
    search = searches.PeerSearch(
        peer_port,
        peerbooks.PeerBook(
            'own',
            'north',
            lambda: [pathbuilders.make_member('entry-1')],
            lambda event: None,
        ),
        registry,
        random.Random(1),
    )
    watch = watches.PathWatch(book, links, registry, search, random.Random(1))

    async def run():
        task = asyncio.ensure_future(watch.run())
        watch.wake()
        await asyncio.sleep(2.0)
        task.cancel()

    virtualloop.run(run())
    return links, book


def test_silent_request_over_a_lost_link_is_aborted():
    links, book = watch_silence(is_cut=True)
    assert 'e0' in links.broken
    assert 'e0' in book.failed_ids


def test_silent_request_to_a_slow_endpoint_goes_through():
    links, book = watch_silence(is_cut=False)
    assert links.broken == []
    assert not book.failed_ids


# Each probe is a new connection, which costs the endpoint.
def test_endpoint_that_is_alone_and_slow_is_not_probed_at_once():
    links, _ = watch_silence(is_cut=False, answered_at=0.45)
    assert links.probed == []


def test_silence_of_several_endpoints_is_probed_at_once():
    links, _ = watch_silence(
        is_cut=False, silent_ids=('e0', 'e1'), answered_at=0.45
    )
    assert sorted(links.probed) == ['e0', 'e1']


# Requests would otherwise wait for peers that are cut off as well.
def test_instance_without_links_looks_for_a_peer_that_helps():
    peers = Peers()
    _, book = watch_silence(is_cut=True, endpoint_count=1, peer_port=peers)
    assert book.is_cut_off
    assert len(peers.asked_at) == 1


def test_instance_with_links_asks_no_peer():
    peers = Peers()
    watch_silence(is_cut=False, endpoint_count=1, peer_port=peers)
    assert peers.asked_at == []
