"""Test in which order peers are asked for a path to an endpoint."""

import pytest

from pomelopass.paths import peers as peerbooks
from tests import pathbuilders

ENDPOINTS = [f'e{number}' for number in range(12)]


def make_book(peers, own_name='own'):
    return peerbooks.PeerBook(
        own_name, 'north', lambda: peers, lambda event: None
    )


def make_peers(count, zone='north'):
    return [
        pathbuilders.make_member(f'{zone}-{number}', zone)
        for number in range(count)
    ]


def choose_names(book, now, endpoint_id='e0', **options):
    order = book.choose(endpoint_id, now, **options)
    return [peer.name for peer in order]


# One of many reaches endpoints, and no row says which.
@pytest.mark.parametrize('count', [30, 200])
def test_only_peer_that_helps_is_found_and_asked_from_then_on(count):
    book = make_book(make_peers(count))
    asked = []
    # As many rounds as it takes to ask each peer once.
    for number in range(-(-count // peerbooks.MAX_PEERS)):
        now = 0.6 * number
        for name in choose_names(book, now):
            asked.append(name)
            if name == 'north-7':
                book.record_served(name, 'e0', now)
            else:
                book.record_failure(name, 'e0', peerbooks.PEER_CUT_OFF, now)
        if 'north-7' in asked:
            break
    assert 'north-7' in asked
    for endpoint_id in ENDPOINTS:
        assert 'north-7' in choose_names(book, now + 1.0, endpoint_id)[:2]


def test_peer_that_helps_is_asked_whatever_its_rank_in_a_large_fleet():
    peers = make_peers(100)
    for peer in peers:
        book = make_book(peers)
        book.record_served(peer.name, 'e0', 1.0)
        assert peer.name in choose_names(book, 1.1, 'e1')[:2]


# Ranking all of a large fleet for each call would cost milliseconds.
def test_peers_of_a_large_fleet_are_listed_at_most_twice_a_second():
    listed = []
    peers = make_peers(1500)

    def get_peers():
        listed.append(len(peers))
        return peers

    book = peerbooks.PeerBook('own', 'north', get_peers, lambda event: None)
    for number in range(100):
        assert len(choose_names(book, 0.01 * number)) == peerbooks.MAX_PEERS
    assert len(listed) == 2
    assert len(book.shortlist) == peerbooks.SHORTLIST_SIZE


def test_peers_that_failed_longest_ago_are_asked_before_the_others():
    book = make_book(make_peers(4))
    for number in (2, 0, 3, 1):
        book.record_failure(
            f'north-{number}', 'e0', peerbooks.PEER_BUSY, 5.0 - number
        )
    assert choose_names(book, 6.0, limit=4) == [
        'north-3',
        'north-2',
        'north-1',
        'north-0',
    ]


def test_peer_that_lost_one_endpoint_is_asked_for_the_others():
    book = make_book(make_peers(1))
    kind = peerbooks.ENDPOINT_UNREACHABLE
    book.record_failure('north-0', 'e0', kind, 1.0)
    assert choose_names(book, 1.1, 'e0') == []
    assert choose_names(book, 1.1, 'e1') == ['north-0']


def test_peer_that_is_cut_off_is_asked_for_no_endpoint_at_once():
    book = make_book(make_peers(1))
    book.record_failure('north-0', 'e0', peerbooks.PEER_CUT_OFF, 1.0)
    assert choose_names(book, 1.1, 'e1') == []
    assert choose_names(book, 1.6, 'e1') == ['north-0']


# All instances of a zone would otherwise ask the same peer for an endpoint.
def test_instances_without_links_ask_different_peers_first():
    peers = make_peers(8, 'south')
    first_names = {
        choose_names(make_book(peers, f'own-{number}'), 1.0)[0]
        for number in range(40)
    }
    assert len(first_names) == len(peers)


def test_failure_of_long_ago_does_not_count():
    book = make_book(make_peers(1) + make_peers(1, 'south'))
    book.record_failure('north-0', 'e0', peerbooks.PEER_BUSY, 1.0)
    assert choose_names(book, 2.0)[0] == 'south-0'
    assert choose_names(book, 62.0)[0] == 'north-0'
