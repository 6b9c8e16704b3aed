"""Test what the ways between zones are taken for."""

from pomelopass.placement import latency


def make_latencies(**samples_ms):
    latencies = latency.ZoneLatencies('east')
    for zone, samples in samples_ms.items():
        for sample_ms in samples:
            latencies.record(zone, sample_ms)
    return latencies


# A busy core delays all connections alike; that is no way between zones.
def test_delay_of_the_process_itself_cancels_out():
    latencies = make_latencies(east=[3.0] * 50, west=[13.0] * 50)
    way = latencies.get_way('west')
    assert round(way.round_trip_ms, 3) == 10.0
    assert latencies.get_way('east') == latency.Latency()


# One lost opening packet (1 s) must not close a zone for minutes.
def test_lost_packet_changes_the_way_little():
    latencies = make_latencies(west=[10.0] * 50)
    latencies.record('west', 1000.0)
    assert latencies.get_way('west').round_trip_ms < 11.0


def test_slower_way_is_learned():
    latencies = make_latencies(west=[2.0] * 50)
    for _ in range(40):
        latencies.record('west', 20.0)
    assert latencies.get_way('west').round_trip_ms > 17.0


def test_band_follows_round_trip_and_spread():
    steady = make_latencies(west=[10.0] * 100).get_way('west')
    uneven = make_latencies(west=[5.0, 15.0] * 50).get_way('west')
    assert 5.0 <= latency.get_band_ms(steady) < 5.1
    assert latency.get_band_ms(uneven) > 10.0


def test_unmeasured_zone_is_as_far_as_the_farthest():
    latencies = make_latencies(west=[30.0] * 50)
    assert latencies.get_way('north').round_trip_ms > 29.0
    empty = latency.ZoneLatencies('east')
    assert empty.get_way('north') == latency.UNMEASURED
