"""Test the search for a peer that reaches endpoints."""

import random

from pomelopass.paths import peers as peerbooks
from pomelopass.paths import search as searches
from pomelopass.registry import registry as registries
from pomelopass.requests import call as calls
from standins import virtualloop
from tests import pathbuilders


class Peers:
    """Peers of which one reaches endpoints, and the names that were asked."""

    def __init__(self, helper):
        self.helper = helper
        self.asked = []

    async def connect(self, peer, target):
        self.asked.append(peer.name)
        if peer.name != self.helper:
            raise calls.CallFailedError(peerbooks.PEER_CUT_OFF, False)


def run_search(helper, rounds):
    peers = Peers(helper)
    registry = registries.Registry(lambda event: None)
    registry.put(pathbuilders.make_endpoint('e0'))
    members = [
        pathbuilders.make_member(f'entry-{number}') for number in range(20)
    ]
    search = searches.PeerSearch(
        peers,
        peerbooks.PeerBook(
            'own', 'north', lambda: members, lambda event: None
        ),
        registry,
        random.Random(1),
    )

    async def run():
        for _ in range(rounds):
            await search.run()

    virtualloop.run(run())
    return peers.asked


def test_all_peers_are_asked_in_turn_while_none_helps():
    asked = run_search(None, rounds=5)
    assert len(asked) == len(set(asked)) == 5 * searches.SEARCHED_PEERS


def test_search_ends_once_a_peer_helps():
    asked = run_search('entry-3', rounds=9)
    assert asked.count('entry-3') == 1
    assert 'entry-3' in asked[-searches.SEARCHED_PEERS :]
