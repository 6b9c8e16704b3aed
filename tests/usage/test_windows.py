"""Test the windows of requests and the agreement on their clock."""

import asyncio

import hypothesis
from hypothesis import strategies
import orjson

from pomelopass.requests import call as calls
from pomelopass.usage import clock as clocks
from pomelopass.usage import rowcodec
from pomelopass.usage import starts
from pomelopass.usage import windows
from standins import virtualloop

WINDOW_MS = 5000.0
UTC_MS = 1_700_000_000_000.0
# How far the sound clocks of a fleet are from UTC.
SPREAD_MS = 40.0


def make_clock(skew_ms=0.0, answer_ms=0.0):
    loop = asyncio.get_running_loop()
    return clocks.UsageClock(
        lambda: 77_000.0 - answer_ms,
        lambda: loop.time() * 1000 + UTC_MS + skew_ms,
    )


def make_counter(clock=None, events=None):
    return starts.StartCounter(
        'entry-0',
        WINDOW_MS,
        clock or make_clock(),
        (events if events is not None else []).append,
    )


def make_call(call_id, workspace='team'):
    return calls.Call(
        call_id, 'h', 'POST', '/', (), b'', None, workspace=workspace
    )


def set_progress(counter, reported_to=-1):
    counter.set_progress(rowcodec.Progress(UTC_MS - 77_000.0, reported_to))


def get_windows(counter):
    return orjson.loads(counter.make_row_value())['windows']


sound = strategies.floats(-SPREAD_MS, SPREAD_MS)
stepped = strategies.sampled_from([-2000.0, 2000.0])


@hypothesis.given(
    good=strategies.lists(sound, min_size=2, max_size=9),
    bad=strategies.lists(stepped, max_size=8),
    at_s=strategies.floats(0, 1000),
)
def test_windows_are_those_of_true_time_whatever_few_clocks_do(
    good, bad, at_s
):
    bad = bad[: len(good) - 1]
    offset_ms = clocks.OffsetAgreement().choose(
        None, [*good, *bad], len(good) + len(bad)
    )
    assert abs(offset_ms) <= SPREAD_MS
    true_ms = UTC_MS + at_s * 1000
    to_border_ms = min(true_ms % WINDOW_MS, -true_ms % WINDOW_MS)
    if to_border_ms > SPREAD_MS:
        window = (true_ms + offset_ms) // WINDOW_MS
        assert window == true_ms // WINDOW_MS


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from(['a', 'b']),
            strategies.integers(1, 9),
            strategies.sampled_from(['i0', 'i1', 'i2']),
        )
    )
)
def test_sum_of_a_window_has_each_request_of_each_instance_once(counted):
    count_rows = {}
    expected = {}
    for window, workspace, count, name in counted:
        row = count_rows.setdefault(
            name, rowcodec.CountRow(name, 0.0, 9, {})
        ).windows
        by_workspace = row.setdefault(str(window), {})
        by_workspace[workspace] = by_workspace.get(workspace, 0) + count
        if window == 2:
            expected[workspace] = expected.get(workspace, 0) + count
    assert windows.sum_window(2, count_rows.values()) == expected


def test_step_of_most_clocks_counts_once_it_lasts():
    agreement = clocks.OffsetAgreement()
    assert agreement.choose(None, [5.0], 3) is None
    assert agreement.choose(None, [5.0, 5.0, 900.0], 3) == 5.0
    stepped_ms = [2000.0, 2010.0, 2020.0]
    chosen = [agreement.choose(5.0, stepped_ms, 3) for _ in range(3)]
    assert chosen == [5.0, 5.0, 2010.0]
    # A step that ended in between begins again.
    agreement.choose(5.0, stepped_ms, 3)
    agreement.choose(5.0, [5.0, 5.0, 5.0], 3)
    assert agreement.choose(5.0, stepped_ms, 3) == 5.0


# Slow answers of the table moved requests into the window before.
def test_clock_uses_the_fastest_answer_of_a_while():
    async def scenario():
        answer_ms = [5.0]
        clock = clocks.UsageClock(lambda: 77_000.0 - answer_ms[0], lambda: 0.0)
        assert clock.get_table_ms(1.0) == 77_995.0
        answer_ms[0] = 900.0
        for _ in range(3):
            await asyncio.sleep(3)
            assert clock.get_table_ms(1.0) == 77_995.0

    virtualloop.run(scenario())


def test_window_closes_long_before_it_is_due():
    closed_at_ms = 2 * WINDOW_MS + 2000
    assert windows.get_closed_window(closed_at_ms - 1, WINDOW_MS, 10e3) == 0
    assert windows.get_closed_window(closed_at_ms, WINDOW_MS, 10e3) == 1


# After a wait that ran out, later windows were summed without the counts of
# instances that were a little late.
def test_each_window_waits_for_late_counts():
    wait = windows.CountWait()
    limit_s = windows.MAX_COUNT_WAIT_MS / 1000
    assert wait.choose(6, 7, 100.0) == 6
    assert wait.choose(6, 7, 100.0 + limit_s) == 7
    # A failed write is repeated without a further wait.
    assert wait.choose(6, 7, 100.5 + limit_s) == 7
    assert wait.choose(7, 8, 105.0) == 7
    assert wait.choose(8, 8, 106.0) == 8
    assert wait.choose(8, 9, 110.0) == 8
    assert wait.choose(8, 9, 110.0 + limit_s) == 9
    assert wait.choose(None, 10, 115.0) == 10


def test_request_counts_once_by_its_id_and_workspace():
    async def scenario():
        counter = make_counter()
        set_progress(counter)
        counter.open(make_call('a')).place(0.0)
        counter.open(make_call('a')).place(6.0)
        counter.open(make_call('b', '')).place(0.0)
        moved = counter.open(make_call('c'))
        moved.place(0.0)
        moved.place(6.0)
        refused = counter.open(make_call('d'))
        refused.place(0.0)
        refused.withdraw()
        first = int(UTC_MS // WINDOW_MS)
        assert get_windows(counter) == {
            str(first): {'team': 1},
            str(first + 1): {'team': 1},
        }

    virtualloop.run(scenario())


# A request that the caller repeated while the first one waited counted twice.
def test_requests_that_wait_under_one_id_count_once():
    async def scenario():
        counter = make_counter()
        set_progress(counter)
        pair = [counter.open(make_call('a')) for _ in range(2)]
        for start in pair:
            start.place(0.0)
        # The other one counts if no endpoint ran the first.
        pair[1].place(1.0)
        window = str(int(UTC_MS // WINDOW_MS))
        assert get_windows(counter) == {window: {'team': 1}}
        pair[0].withdraw()
        assert get_windows(counter) == {window: {}}
        pair[1].place(1.0)
        assert get_windows(counter) == {window: {'team': 1}}

    virtualloop.run(scenario())


# A window that was reported must not be counted again elsewhere.
def test_late_starts_are_dropped_and_logged():
    async def scenario():
        events = []
        counter = make_counter(events=events)
        first = int(UTC_MS // WINDOW_MS)
        set_progress(counter)
        reported = counter.open(make_call('a'))
        reported.place(0.0)
        set_progress(counter, first)
        reported.place(6.0)
        counter.open(make_call('b')).place(1.0)
        assert get_windows(counter) == {str(first): {'team': 1}}
        assert [(event.window, event.requests) for event in events] == [
            (first, 1)
        ]
        set_progress(counter, first + 1)
        assert get_windows(counter) == {}

    virtualloop.run(scenario())


# Without bounds an outage of the table fills the memory, and a longer row
# would be refused together with the heartbeat.
def test_counts_of_a_long_outage_are_bounded():
    async def scenario():
        events = []
        counter = make_counter(events=events)
        set_progress(counter)
        for number in range(40):
            call = make_call(f'a-{number}')
            counter.open(call).place(number * WINDOW_MS / 1000)
        assert len(get_windows(counter)) == starts.MAX_WINDOWS
        # What is dropped is logged.
        assert sum(event.requests for event in events) == (
            40 - starts.MAX_WINDOWS
        )
        for number in range(9000):
            call = make_call(f'b-{number}', f'workspace-{number}')
            counter.open(call).place(40 * WINDOW_MS / 1000)
        assert len(counter.make_row_value()) <= starts.MAX_ROW_BYTES

    virtualloop.run(scenario())


# A negative count makes the row malformed, so that the holder ignores all
# counts of the instance.
def test_starts_of_a_dropped_window_leave_no_negative_count():
    async def scenario():
        counter = make_counter()
        set_progress(counter)
        dropped = counter.open(make_call('a'))
        dropped.place(0.0)
        for number in range(9000):
            call = make_call(f'b-{number}', f'workspace-{number}')
            counter.open(call).place(0.0)
        assert get_windows(counter) == {}
        counter.open(make_call('c', 'other')).place(1.0)
        dropped.withdraw()
        row = rowcodec.decode_counts(counter.make_row_value())
        window = str(int(UTC_MS // WINDOW_MS))
        assert row.windows == {window: {'other': 1}}

    virtualloop.run(scenario())


def test_starts_wait_for_the_agreed_clock():
    async def scenario():
        counter = make_counter(make_clock(skew_ms=2000.0))
        counter.open(make_call('a')).place(4.0)
        assert get_windows(counter) == {}
        set_progress(counter)
        assert get_windows(counter) == {
            str(int(UTC_MS // WINDOW_MS)): {'team': 1}
        }
        # Without an agreement for long, the own clock must do.
        other = make_counter(make_clock())
        other.open(make_call('a')).place(4.0)
        await asyncio.sleep(clocks.OWN_OFFSET_AFTER_S + 1)
        assert sum(len(counts) for counts in get_windows(other).values()) == 1

    virtualloop.run(scenario())
