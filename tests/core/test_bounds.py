"""Test that state and messages of an instance are bounded in any fleet."""

import pytest

from pomelopass.core import affinity
from pomelopass.core import endpoint
from pomelopass.core import gossip
from pomelopass.core import length
from pomelopass.core import membership
from pomelopass.core import peers
from pomelopass.core import recentevents
from pomelopass.core import rendezvous
from pomelopass.running import loops

ZONES = 11


def make_addresses(instances: int) -> dict[str, list[str]]:
    """Return the peer addresses of a fleet by zone."""
    addresses_by_zone: dict[str, list[str]] = {}
    for number in range(instances):
        zone = addresses_by_zone.setdefault(f'z{number % ZONES}', [])
        zone.append(f'10.0.0.{number}:1')
    return addresses_by_zone


@pytest.mark.parametrize('instances', [12, 150, 1500])
def test_partners_do_not_grow_with_the_fleet(instances):
    partners = peers.choose_partners('i', 'z0', make_addresses(instances))
    max_partners = (
        peers.MAX_NEAR_PARTNERS + (ZONES - 1) * peers.MAX_FAR_PARTNERS
    )
    assert len(partners) <= max_partners


def test_every_instance_has_partners_in_each_zone():
    addresses = make_addresses(1500)
    partners = set(peers.choose_partners('i', 'z0', addresses))
    for zone in addresses.values():
        assert partners & set(zone)


@pytest.mark.parametrize('endpoints', [10, 1000, 10_000])
def test_polled_endpoints_do_not_grow_with_the_pool(endpoints):
    names = [f'e{number}' for number in range(endpoints)]
    polled = rendezvous.rank('i', names)[: loops.MAX_POLLED_PER_POOL]
    assert len(polled) <= loops.MAX_POLLED_PER_POOL


def test_subset_of_a_pool_is_bounded_and_excludes_leaving():
    state = membership.MembershipState()
    listed = [
        endpoint.Endpoint(f'e{number}', '1', 'p', 'a:1', 'z0')
        for number in range(10_000)
    ]
    membership.apply_list(state, 1, listed, 0.0)
    subset = membership.find_subset(state, 'p', 'i')
    assert len(subset) == membership.MAX_SUBSET
    membership.mark_leaving(state, subset[0].key, 1.0)
    assert subset[0] not in membership.find_subset(state, 'p', 'i')


def test_gossip_affinity_lengths_and_events_are_bounded():
    gossip_state = gossip.GossipState()
    affinity_state = affinity.AffinityState()
    lengths = length.LengthState()
    log = recentevents.RecentEvents('p')
    for number in range(20_000):
        gossip.add(gossip_state, gossip.Item('leaving', str(number), '1', 1e9))
        affinity.record_cached(affinity_state, str(number), 'e', 0)
        length.record_length(lengths, str(number), 1.0)
        recentevents.add(log, 'k', 's', 'd', 0)
    assert len(gossip_state.by_key) <= gossip.MAX_ITEMS
    assert len(affinity_state.by_prefix) <= affinity.MAX_PREFIXES
    assert len(lengths.by_shape) <= length.MAX_KEYS
    assert len(log.events) <= recentevents.MAX_EVENTS


def test_gossip_item_is_sent_to_a_peer_once():
    gossip_state = gossip.GossipState()
    gossip.add(gossip_state, gossip.Item('leaving', 'e', '1', 1e9))
    number, items = gossip.get_since(gossip_state, 'peer', 0)
    assert len(items) == 1
    gossip.record_sent(gossip_state, 'peer', number)
    assert gossip.get_since(gossip_state, 'peer', 0)[1] == []


def test_stopping_peer_is_not_listed_again():
    state = peers.PeerState()
    base = ('i', 'c:1', 'p:1', 'o:1', 'z0')
    stopping = peers.EntryView(*base, True, True, 1, 0.0)
    peers.record_heard(state, stopping)
    late = peers.EntryView(*base, True, False, 1, 1.0)
    peers.record_heard(state, late)
    assert peers.find_entries(peers.find_live(state, 2.0), 'z0', 8) == []


def test_outlier_barely_changes_the_typical_length():
    lengths = length.LengthState()
    for _ in range(50):
        length.record_length(lengths, 'short', 10.0)
    length.record_length(lengths, 'long', 1e9)
    assert lengths.typical < 20.0
    assert length.is_long(lengths, 1e9)
    assert not length.is_long(lengths, 10.0)
    assert length.estimate(lengths, 'new', 8.0) <= 8.0


def test_late_eviction_does_not_remove_a_newer_hint():
    affinity_state = affinity.AffinityState()
    affinity.record_cached(affinity_state, 'p', 'e', 100.0)
    affinity.record_evicted(affinity_state, 'p', 'e', 50.0)
    assert affinity.find_holder(affinity_state, 'p', 110.0) == 'e'
    affinity.record_evicted(affinity_state, 'p', 'e', 100.0)
    assert affinity.find_holder(affinity_state, 'p', 110.0) is None
