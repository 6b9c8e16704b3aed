"""Replay loads of several zones and check where their requests went."""

import functools

from bench import zonedata
from bench import zones

SEED = 7


@functools.cache
def replay(name, policy=zones.PRODUCT):
    pattern = zonedata.read_pattern(name)
    return zones.replay(pattern, policy, SEED)


def get_share(counts, zone, windows):
    totals = [counts.windows.get((zone, number), [0, 0]) for number in windows]
    left = sum(total[0] for total in totals)
    return left / max(sum(total[1] for total in totals), 1)


def get_share_to(counts, zone, other, windows):
    left = sum(
        counts.left_by_window.get((zone, other, number), 0)
        for number in windows
    )
    totals = [counts.windows.get((zone, number), [0, 0]) for number in windows]
    return left / max(sum(total[1] for total in totals), 1)


def get_windows(from_s, to_s):
    return range(int(from_s / zones.WINDOW_S), int(to_s / zones.WINDOW_S))


def test_all_pattern_files_are_valid():
    patterns = zonedata.read_patterns()
    assert len({pattern.name for pattern in patterns}) == len(patterns) >= 9


def test_same_seed_gives_the_same_counts():
    pattern = zonedata.read_pattern('uneven').model_copy(
        update={'seconds': 1.0}
    )
    first, second = (zones.replay(pattern, zones.PRODUCT, 5) for _ in '12')
    assert first == second


# Paces 0.7, 0.7 and 1.7: the fast zone is to be used, but not to be filled.
def test_slow_zones_send_part_of_their_work_to_the_fast_one():
    counts = replay('uneven')
    assert counts.failed == 0
    assert 0.35 < counts.left_share < 0.6
    to_fast = sum(
        count
        for (_, other), count in counts.left_by_zone.items()
        if other == 'west'
    )
    assert to_fast > 0.9 * counts.left
    # Without the setting a third more leaves, and at no lower cost.
    before = replay('uneven', zones.UNPRICED)
    assert counts.left_share < 0.85 * before.left_share


def test_only_the_excess_of_a_zone_leaves_and_only_while_it_lasts():
    counts = replay('demand-doubles')
    doubled = get_share(counts, 'east', get_windows(2.5, 6.0))
    # Demand is 280 a second, and 200 can be served.
    assert 0.2 < doubled < 0.6
    assert get_share(counts, 'east', get_windows(0.0, 1.8)) < 0.15
    assert get_share(counts, 'east', get_windows(7.0, 8.0)) < 0.15
    assert get_share(counts, 'north', get_windows(0.0, 8.0)) < 0.1


def test_large_bodies_stay_until_waiting_costs_more():
    counts = replay('large-bodies')
    before = replay('large-bodies', zones.UNPRICED)
    assert counts.left_share < 0.5 * before.left_share
    assert counts.cost_ms < before.cost_ms


# Each instance has only its own requests and the load reports; the two zones
# must not alternate between sending everything and nothing.
def test_two_zones_that_send_into_a_third_do_not_swing_together():
    counts = replay('two-into-third')
    assert counts.failed == 0
    assert counts.get_swing('east') < 0.2
    assert counts.get_swing('north') < 0.2
    changes = []
    for number in get_windows(1.0, 7.5):
        pair = [
            get_share(counts, zone, [number + 1])
            - get_share(counts, zone, [number])
            for zone in ('east', 'north')
        ]
        changes.append(pair[0] * pair[1])
    # Changes in step would make most products positive.
    assert sum(change > 0.02 for change in changes) < len(changes) / 3


def test_partitioned_zone_is_left_and_used_again():
    counts = replay('partitioned')
    assert counts.failed == 0
    before, cut, after = (
        get_share_to(counts, 'east', 'west', get_windows(from_s, to_s))
        for from_s, to_s in ((1.2, 2.4), (3.3, 5.1), (9.3, 10.8))
    )
    assert before > 0.4
    assert cut < 0.2
    assert after > 0.4


def test_zone_without_servers_sends_all_and_the_others_little():
    counts = replay('zone-lost')
    assert get_share(counts, 'west', get_windows(3.3, 8.0)) == 1.0
    assert get_share(counts, 'west', get_windows(0.0, 2.7)) < 0.1
    assert counts.failed <= 2


def test_slow_zone_is_used_again_once_it_is_fast():
    counts = replay('slow-zone')
    assert get_share(counts, 'east', get_windows(2.7, 4.8)) > 0.5
    assert get_share(counts, 'east', get_windows(6.3, 8.0)) < 0.2


# Three servers, one in each zone, of which some are slow for 600 ms.
def test_servers_slow_by_turns_cost_less_than_with_the_baselines():
    counts = replay('slow-by-turns')
    assert counts.failed == 0
    for policy in (zones.UNPRICED, 'least loaded', 'power of two choices'):
        assert counts.cost_ms < replay('slow-by-turns', policy).cost_ms
    assert counts.left_share < 0.4


# One pace for all work sent half of all requests to other zones.
def test_short_requests_stay_where_long_ones_are_served():
    counts = replay('two-kinds')
    single = replay('two-kinds', zones.SINGLE_PACE)
    assert counts.left_share < 0.2
    assert single.left_share > 0.4
    assert counts.cost_ms < 0.95 * single.cost_ms


def test_steps_use_fast_engines_and_move_fewer_bytes():
    counts = replay('steps-uneven')
    before = replay('steps-uneven', zones.UNPRICED)
    assert counts.failed == 0
    assert 0.4 < counts.left_share < before.left_share
    assert counts.cost_ms < before.cost_ms
