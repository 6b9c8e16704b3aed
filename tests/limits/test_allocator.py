"""Test that allotted requests stay within a rate in any window."""

import hypothesis
from hypothesis import strategies

from pomelopass.limits import allocator as allocators
from pomelopass.limits import permits

WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5

ASKS = strategies.lists(
    strategies.tuples(
        strategies.one_of(
            strategies.floats(0.0, 0.2), strategies.floats(0.0, 60.0)
        ),
        strategies.integers(1, 30),
    ),
    min_size=1,
    max_size=80,
)


def allot_all(rates, asks):
    """Return the times at which the requests of all allocators are due."""
    allocators_by_rate = [(rate, allocators.Allocator()) for rate in rates]
    now = 0.0
    due_times = []
    for number, (pause_s, count) in enumerate(asks):
        now += pause_s
        rate, allocator = allocators_by_rate[number % len(rates)]
        batch = min(count, max(1, int(rate * permits.BATCH_MS / 1000)))
        reservation = allocator.reserve('e', rate, batch, now)
        due_at = now + reservation.wait_ms / 1000
        due_times.extend([due_at] * reservation.count)
    return due_times


def get_worst_window(due_times):
    """Return the most requests that can be sent in any window."""
    hold_s = permits.HOLD_MS / 1000
    return max(
        (
            sum(start - hold_s <= at < start + WINDOW_S for at in due_times)
            for start in due_times
        ),
        default=0,
    )


@hypothesis.given(ASKS, strategies.floats(0.25, 300.0))
def test_one_allocator_stays_within_the_bound(asks, rate):
    allowed = TOLERANCE * WINDOW_S * rate + EXTRA_REQUESTS
    assert get_worst_window(allot_all([rate], asks)) <= allowed


@hypothesis.given(ASKS, strategies.floats(0.25, 300.0))
def test_two_allocators_at_once_stay_within_the_bound(asks, rate):
    allowed = TOLERANCE * WINDOW_S * rate + EXTRA_REQUESTS
    due_times = allot_all([rate, rate / 4], asks)
    assert get_worst_window(due_times) <= allowed


@hypothesis.given(strategies.floats(0.5, 300.0))
def test_constant_demand_gets_the_whole_rate(rate):
    allocator = allocators.Allocator()
    now = 0.0
    count = 0
    while now < 20.0:
        reservation = allocator.reserve('e', rate, 1, now)
        now += max(reservation.wait_ms / 1000, 1e-4)
        count += reservation.count
    assert count >= 0.9 * rate * 20.0 - 1


def test_askers_are_served_in_the_order_in_which_they_ask():
    allocator = allocators.Allocator()
    waits_ms = [allocator.reserve('e', 10.0, 1, 0.0).wait_ms for _ in range(5)]
    assert waits_ms == sorted(waits_ms)
    assert len(set(waits_ms)) == 5


def test_request_that_is_due_late_is_not_allotted():
    allocator = allocators.Allocator()
    reservations = [allocator.reserve('e', 2.0, 1, 0.0) for _ in range(6)]
    assert [reservation.count for reservation in reservations] == [
        1,
        1,
        1,
        0,
        0,
        0,
    ]
    # What was not allotted is not lost.
    assert allocator.reserve('e', 2.0, 1, 0.5).count == 1


def test_pause_saves_up_two_requests_at_most():
    allocator = allocators.Allocator()
    allocator.reserve('e', 2.0, 1, 0.0)
    reservations = [allocator.reserve('e', 2.0, 1, 60.0) for _ in range(4)]
    waits_ms = [reservation.wait_ms for reservation in reservations]
    assert waits_ms == [0.0, 0.0, 500.0, 1000.0]
