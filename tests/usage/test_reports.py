"""Test the usage reports of whole clusters, with each fault forced."""

import asyncio

import orjson
import pytest

from tests import usagebuilders

WINDOW_S = usagebuilders.WINDOW_S


def check_reports(api, traffic, first=1, last=None, loses=0):
    """Check the reports but those at the ends; all are due by now."""
    windows = sorted(api.body_by_window)
    assert windows == list(range(windows[0], windows[-1] + 1))
    checked = windows[first:last]
    assert checked
    found = api.get_counts()
    for window, expected in traffic.get_expected(checked).items():
        missing = sum(expected.values()) - sum(found[window].values())
        assert 0 <= missing <= loses, window
        if not loses:
            assert found[window] == expected


def check_in_time(api, windows=None):
    for window in windows or sorted(api.body_by_window)[1:]:
        due_at = usagebuilders.get_begin(window + 1) + usagebuilders.LATE_S
        assert api.reported_at_by_window[window] <= due_at, window


# Wall clocks put the requests of an instance into other windows.
@pytest.mark.parametrize('skew_ms', [0.0, 2000.0, -2000.0])
def test_each_window_is_reported_once_with_all_requests(skew_ms):
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        await traffic.run(22)
        await asyncio.sleep(12)
        assert len(api.body_by_window) >= 6
        check_reports(api, traffic)
        check_in_time(api)
        assert len(api.calls) == len(api.body_by_window)

    usagebuilders.run(scenario, skew_ms_by_name={'entry-1': skew_ms})


def test_clock_that_steps_moves_no_request_to_another_window():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        sending = asyncio.ensure_future(traffic.run(25))
        for skew_ms in (2000.0, -2000.0, 0.0):
            await asyncio.sleep(6)
            cluster.skew_ms_by_name['entry-0'] = skew_ms
        await sending
        await asyncio.sleep(12)
        check_reports(api, traffic)

    usagebuilders.run(scenario)


# A restarted table may reset its clock: no window would seem to end, or
# thousands of windows would.
@pytest.mark.parametrize('jump_ms', [-3_600_000, 3_600_000])
def test_clock_of_the_table_that_begins_anew_is_noticed(jump_ms):
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        sending = asyncio.ensure_future(traffic.run(60))
        await asyncio.sleep(8)
        get_now_ms = cluster.service.get_now_ms
        cluster.service.get_now_ms = lambda: get_now_ms() + jump_ms
        await sending
        await asyncio.sleep(14)
        now = asyncio.get_running_loop().time()
        windows = sorted(api.body_by_window)
        assert windows == list(range(windows[0], windows[-1] + 1))
        current = usagebuilders.get_window(now)
        assert current - 3 <= windows[-1] < current
        # The clock is known again 20 s after the jump at the latest.
        found = api.get_counts()
        for window in windows[-6:]:
            assert found[window] == dict(traffic.counts[window])

    usagebuilders.run(scenario)


# Starts before the first agreement on a clock must not be lost.
def test_requests_of_the_first_seconds_count():
    async def scenario(cluster, api, traffic):
        await traffic.run(10)
        await asyncio.sleep(12)
        check_reports(api, traffic, first=0)

    usagebuilders.run(scenario)


def kill_before_send(lease_checked):
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        holder = await usagebuilders.wait_for_holder(cluster)
        links = cluster.entry_by_name[holder].duties
        sending = asyncio.ensure_future(traffic.run(12))
        links.connect_s = 0.5
        links.was_opened.clear()
        await links.was_opened.wait()
        # The report is stored; the connection opens.
        stored = {
            int(key.key): row.value
            for key, row in cluster.service.row_by_name.items()
            if key.table == 'usage-reports'
        }
        window = max(stored)
        assert window not in api.body_by_window
        cluster.kill(holder)
        killed_at = asyncio.get_running_loop().time()
        # A new sum would differ from what is stored.
        usagebuilders.put_counts(cluster, window, {'late': 5})
        await usagebuilders.wait_for_report(api, window)
        assert api.body_by_window[window] == stored[window]
        reported_at = api.reported_at_by_window[window]
        assert reported_at >= killed_at + lease_checked
        check_in_time(api, [window])
        await sending

    return scenario


def test_holder_killed_between_writing_and_sending_leaves_its_report():
    usagebuilders.run(kill_before_send(3.0))


# The grant of the former holder may last longer than its lease.
def test_new_holder_waits_for_lease_and_grant_where_tokens_are_unchecked():
    usagebuilders.run(kill_before_send(3.8), checks_fences=False)


# The connection opens when the grant has ended, as after a freeze.
def test_holder_frozen_between_check_and_call_does_not_send():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        holder = await usagebuilders.wait_for_holder(cluster)
        links = cluster.entry_by_name[holder].duties
        links.connect_s = 0.7
        links.was_opened.clear()
        await links.was_opened.wait()
        count = len(api.calls)
        usagebuilders.take_over(cluster, 'entry-9-1')
        await asyncio.sleep(1.5)
        assert len(api.calls) == count
        links.connect_s = 0.0
        await asyncio.sleep(15)
        assert len(api.calls) > count

    usagebuilders.run(scenario)


@pytest.mark.parametrize('checks_fences', [True, False])
def test_lost_answer_is_followed_by_exactly_the_same_report(checks_fences):
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        sending = asyncio.ensure_future(traffic.run(20))
        api.lost_answers = 2
        await sending
        await asyncio.sleep(12)
        assert len(api.calls) == len(api.body_by_window) + 2
        check_reports(api, traffic)
        check_in_time(api)

    usagebuilders.run(scenario, checks_fences=checks_fences)


# It arrives after calls with a newer token.
def test_call_that_is_executed_late_changes_nothing():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        holder = await usagebuilders.wait_for_holder(cluster)
        api.late_calls, api.late_s = 1, 9.0
        while api.late_calls:
            await asyncio.sleep(0.02)
        cluster.kill(holder)
        await asyncio.sleep(20)
        refused = [call for call in api.calls if call.is_refused]
        assert [call.holder for call in refused] == [holder]

    usagebuilders.run(scenario)


def test_windows_of_an_outage_of_the_api_are_reported_in_order():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        sending = asyncio.ensure_future(traffic.run(35))
        api.down = True
        before = set(api.body_by_window)
        await asyncio.sleep(27)
        assert set(api.body_by_window) == before
        api.down = False
        await sending
        await asyncio.sleep(12)
        windows = [orjson.loads(call.body)['window_id'] for call in api.calls]
        assert windows == sorted(windows)
        check_reports(api, traffic)

    usagebuilders.run(scenario)


# The first choice reached the API no more and kept the duty.
def test_holder_that_does_not_reach_the_api_gives_the_duty_up():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        holder = await usagebuilders.wait_for_holder(cluster)
        cluster.entry_by_name[holder].duties.is_cut = True
        count = len(api.body_by_window)
        await asyncio.sleep(20)
        assert usagebuilders.get_holder(cluster) not in (None, holder)
        assert len(api.body_by_window) > count + 1

    usagebuilders.run(scenario)


def test_all_instances_gone_and_back_report_all_windows():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        await traffic.run(8)
        # Counts come with the next heartbeat.
        await asyncio.sleep(0.7)
        for name in usagebuilders.get_live(cluster):
            cluster.kill(name)
        gone_at = asyncio.get_running_loop().time()
        await asyncio.sleep(23)
        for number in range(3):
            cluster.start(f'entry-{number}')
        await asyncio.sleep(16)
        check_reports(api, traffic)
        empty = usagebuilders.get_window(gone_at) + 2
        assert api.get_counts()[empty] == {}

    usagebuilders.run(scenario)


def test_outage_of_the_table_delays_reports_and_loses_no_counts():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        sending = asyncio.ensure_future(traffic.run(30))
        await asyncio.sleep(3)
        cluster.service.down = True
        await asyncio.sleep(17)
        cluster.service.down = False
        await sending
        await asyncio.sleep(14)
        check_reports(api, traffic)

    usagebuilders.run(scenario)


def test_report_that_another_holder_stored_first_is_sent():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        await usagebuilders.wait_for_holder(cluster)
        await usagebuilders.wait_for_report(api)
        window = max(api.body_by_window) + 1
        body = b'{"counts":{"team-0":77},"window_id":%d}' % window
        cluster.service.put('usage-reports', f'{window:012d}', body)
        await usagebuilders.wait_for_report(api, window)
        assert api.body_by_window[window] == body

    usagebuilders.run(scenario)


@pytest.mark.parametrize('checks_fences', [True, False])
def test_stopping_holder_hands_over_at_once(checks_fences):
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        holder = await usagebuilders.wait_for_holder(cluster)
        loop = asyncio.get_running_loop()
        sending = asyncio.ensure_future(traffic.run(15))
        cluster.entry_by_name[holder].node.begin_stop(loop.time() + 8)
        stopped_at = loop.time()
        await usagebuilders.wait_for_holder(cluster, other_than=holder)
        assert loop.time() - stopped_at < 1.0
        await sending
        await asyncio.sleep(12)
        check_reports(api, traffic)
        check_in_time(api)

    usagebuilders.run(scenario, checks_fences=checks_fences)


# Counts between the last heartbeat and the end of the process were lost.
def test_counts_of_a_stopped_instance_are_complete():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        name = next(
            name
            for name in usagebuilders.get_live(cluster)
            if name != usagebuilders.get_holder(cluster)
        )
        loop = asyncio.get_running_loop()
        entry = cluster.entry_by_name[name]
        entry.node.begin_stop(loop.time() + 8)
        for _ in range(30):
            await traffic.send(name, 'team-0')
        # Requests without a workspace count nowhere.
        await traffic.send(name, '')
        await entry.node.end_stop()
        entry.alive = False
        await asyncio.sleep(16)
        check_reports(api, traffic)

    usagebuilders.run(scenario)


# A refused holder must not use its token again.
def test_refused_token_is_not_used_again():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        api.fence_by_subject['usage'] = 4
        await asyncio.sleep(40)
        assert any(call.is_refused for call in api.calls)
        assert not api.calls[-1].is_refused

    usagebuilders.run(scenario)


def test_request_counts_once_and_only_if_it_may_have_run():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        desks = [
            endpoint
            for endpoint in cluster.pool.endpoint_by_id.values()
            if endpoint.service == 'desk'
        ]
        for desk in desks:
            desk.lose_share = 1.0
        await traffic.send('entry-0', 'team-0')
        # All of them refuse.
        for desk in desks:
            desk.slots = 0
        await traffic.send('entry-0', 'team-1')
        window = usagebuilders.get_window(asyncio.get_running_loop().time())
        await asyncio.sleep(15)
        total = {}
        for counts in api.get_counts().values():
            total |= counts
        assert window in api.body_by_window
        assert total == {'team-0': 1}

    usagebuilders.run(scenario)


def test_rows_of_instances_that_are_gone_are_removed():
    async def scenario(cluster, api, traffic):
        await asyncio.sleep(8)
        window = usagebuilders.get_window(asyncio.get_running_loop().time())
        usagebuilders.put_counts(cluster, window, {'team-0': 3})
        await asyncio.sleep(40)
        assert api.get_counts()[window] == {'team-0': 3}
        rows_left = [
            key for key in cluster.service.row_by_name if key.table == 'usage'
        ]
        assert len(rows_left) == 3

    usagebuilders.run(scenario)
