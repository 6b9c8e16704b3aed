"""Test when requests leave their zone."""

from pomelopass.placement import spill
from pomelopass.registry import endpoint as endpoints
from tests.placement import placementbuilders as builders


def count_reasons(placer):
    return {
        (event.zone, event.why): event.left
        for event in placer.traffic.take_events()
    }


def test_idle_zone_keeps_its_requests():
    placer = builders.make_placer()
    states = [builders.make_state('a'), builders.make_state('b', 'west', 18.0)]
    assert builders.choose(placer, states) == 'a'


# Each request beyond the slots of the zone leaves; none before.
def test_only_the_excess_leaves():
    placer = builders.make_placer(way_ms=10.0)
    own = builders.make_state('a', slots=6, pace_ms=60.0)
    other = builders.make_state('b', 'west', slots=6, pace_ms=80.0)
    chosen = []
    for _ in range(8):
        name = builders.choose(placer, [own, other])
        chosen.append(name)
        (own if name == 'a' else other).in_flight += 1
    assert chosen[:5] == ['a'] * 5
    assert 'b' in chosen[5:]
    assert set(count_reasons(placer)) == {('west', 'queue')}


def test_much_faster_zone_is_used_while_its_bytes_are_cheap():
    states = [
        builders.make_state('a', pace_ms=60 / 0.7),
        builders.make_state('b', 'west', 60 / 1.7),
    ]
    assert builders.choose(builders.make_placer(), states) == 'b'
    # 20 MB are worth 20 s of waiting.
    work = builders.make_work(20_000_000)
    assert builders.choose(builders.make_placer(), states, work) == 'a'
    dear = builders.make_placer(price=50_000.0)
    assert builders.choose(dear, states) == 'a'


# Without a band the zones followed each change of a load report.
def test_small_gain_neither_begins_nor_ends_leaving():
    placer = builders.make_placer(price=0.0, way_ms=10.0)
    other = builders.make_state('b', 'west', 60.0)

    def choose(pace_ms):
        own = builders.make_state('a', pace_ms=pace_ms)
        return builders.choose(placer, [own, other])

    # The way is 10 ms of the other endpoint's 60, the band 5 ms.
    assert choose(63.0) == 'a'
    assert choose(68.0) == 'b'
    assert choose(63.0) == 'b'
    assert choose(59.0) == 'a'
    assert choose(63.0) == 'a'


def test_zone_without_endpoints_sends_all_and_does_not_stay_away():
    placer = builders.make_placer()
    own = builders.make_state('a')
    other = builders.make_state('b', 'west', 21.0)
    assert builders.choose(placer, [other]) == 'b'
    assert count_reasons(placer) == {('west', 'no-endpoint'): 1}
    assert builders.choose(placer, [own, other]) == 'a'


# A request that tried a partitioned zone waited 150 ms for each attempt.
def test_zone_whose_connections_failed_is_not_tried_for_a_small_gain():
    placer = builders.make_placer()
    own = builders.make_state('a', pace_ms=90.0)
    other = builders.make_state('b', 'west', 30.0)
    endpoints.record_failure(other, builders.NOW - 0.4)
    assert not other.is_backing_off(builders.NOW)
    assert builders.choose(placer, [own, other]) == 'a'
    # One request of ten checks whether the zone is reachable again.
    names = [builders.choose(placer, [own, other]) for _ in range(20)]
    assert names.count('b') == 1
    endpoints.record_success(other, None, builders.NOW)
    assert builders.choose(placer, [own, other]) == 'b'


# An endpoint that was slow for 600 ms got no more requests, so that it was
# never seen to be fast again.
def test_own_zone_is_asked_again_after_a_slow_turn():
    placer = builders.make_placer()
    own = builders.make_state('a', pace_ms=150.0)
    other = builders.make_state('b', 'west', 30.0)
    names = []
    for number in range(40):
        now = builders.NOW + number * 0.05
        endpoints.record_pace(other, 'short', 30.0, now)
        names.append(builders.choose(placer, [own, other], now=now))
    assert names[:10] == ['b'] * 10
    assert 2 <= names.count('a') <= 4


# An instance whose other zones were never measured would never leave.
def test_unknown_zone_is_scouted_by_few_requests():
    placer = builders.make_placer()
    own = builders.make_state('a', pace_ms=90.0)
    other = builders.make_state('b', 'west', None)
    names = [
        builders.choose(placer, [own, other], now=builders.NOW + number / 100)
        for number in range(20)
    ]
    assert names.count('b') == 1
    large = builders.make_work(1_000_000)
    names = [
        builders.choose(placer, [own, other], large, now=200.0 + number / 100)
        for number in range(20)
    ]
    assert names.count('b') == 0


def test_hedge_leaves_once_the_first_attempt_took_longer_than_that_costs():
    placer = builders.make_placer(way_ms=10.0)
    other = builders.make_state('b', 'west', 40.0)
    early = builders.make_work(hedged_ms=30.0)
    late = builders.make_work(hedged_ms=60.0)
    assert builders.choose(placer, [other], early) is None
    assert builders.choose(placer, [other], late) == 'b'


# Bytes over a peer of another zone cross two boundaries.
def test_call_over_a_peer_of_another_zone_pays_both_ways():
    placer = builders.make_placer(way_ms=4.0)
    own = builders.make_state('a')
    assert placer.get_way(own).crossings == 0
    placer.get_carrier_zone = lambda endpoint_id: 'west'
    way = placer.get_way(own)
    assert way.crossings == 2
    assert round(way.latency.round_trip_ms, 1) == 8.0
    other = builders.make_state('b', 'west')
    assert placer.get_way(other).crossings == 1
    placer.get_carrier_zone = lambda endpoint_id: 'east'
    assert placer.get_way(own).crossings == 0


# One number for all work showed which route an endpoint had served last.
def test_long_work_does_not_make_an_endpoint_slow_for_short_work():
    placer = builders.make_placer()
    own = builders.make_state('a', pace_ms=15.0)
    for _ in range(20):
        endpoints.record_success(own, 400.0, builders.NOW)
        endpoints.record_pace(own, 'long', 400.0, builders.NOW)
    other = builders.make_state('b', 'west', 15.0)
    assert own.pace_ms > 300.0
    assert builders.choose(placer, [own, other]) == 'a'


# Two full zones regarded each other as idle and exchanged their requests.
def test_zone_that_was_not_called_for_a_second_is_not_idle():
    state = builders.make_state('b', 'west')
    for _ in range(20):
        report = endpoints.LoadReport(6, 4, 6)
        endpoints.record_load(state, report, builders.NOW)
    assert endpoints.count_load(state, builders.NOW + 1.5) > 5.0
    assert endpoints.count_load(state, builders.NOW + 6.0) == 0.0


def test_resumed_text_stays_with_its_prompt_cache():
    placer = builders.make_placer()
    states = [
        builders.make_state('a', pace_ms=60.0),
        builders.make_state('b', 'west', 30.0),
    ]
    assert builders.choose(placer, states) == 'b'
    placer = builders.make_placer()
    work = builders.make_work(cache_zone='east', prompt_ms=200.0)
    assert builders.choose(placer, states, work) == 'a'


def test_all_endpoints_in_backoff_are_handled_as_before():
    placer = builders.make_placer()
    own = builders.make_state('a')
    own.backoff_until = builders.NOW + 1
    assert builders.choose(placer, [own]) == 'a'
    assert builders.choose(placer, []) is None


def test_traffic_is_bounded_and_keeps_its_bytes():
    placer = builders.make_placer()
    for number in range(200):
        service = f's{number}'
        reason = spill.Reason.QUEUE
        placer.traffic.record_choice(service, 'west', reason)
        placer.traffic.record_bytes(service, 'west', 10)
    events = list(placer.traffic.take_events())
    assert len(events) <= 65
    assert sum(event.left for event in events) == 200
    assert sum(event.bytes for event in events) == 2000
    assert not list(placer.traffic.take_events())


def test_bytes_of_work_that_left_earlier_are_reported():
    placer = builders.make_placer()
    other = builders.make_state('b', 'west')
    placer.record_events(other, 'engines', None, 500)
    events = list(placer.traffic.take_events())
    assert [(event.why, event.bytes) for event in events] == [
        ('begun-before', 500)
    ]
