"""Compare the endpoints' records with the replies that callers got."""

from collections import abc
import pathlib

from pomelopass.reporting import keyaudit
from pomelopass.reporting import leavingaudit
from pomelopass.reporting import savedlogs
from soak import clients
from soak import disturbance
from standins import modelengines

__all__ = [
    'check_configurations',
    'check_duties',
    'check_jobs',
    'check_keys',
    'check_orders',
    'check_engine_orders',
    'check_leaving',
    'check_streams',
]

# From the acknowledgement of a version on.
APPLY_LIMIT_S = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


def check_jobs(
    observed_jobs: abc.Iterable[clients.ObservedJob],
    records: dict,
    fail: abc.Callable[[str], None],
) -> None:
    """Compare each job's results with the texts that engines produced."""
    run_counts = _count_runs(records)
    for job in observed_jobs:
        name = job.submission.id
        refused = all(status in NOT_RUN_STATUSES for status in job.statuses)
        for item in job.submission.items:
            if refused and run_counts.get(item.id):
                fail(f'{name} was refused but {item.id} ran')
        if not job.accepted:
            continue
        results = job.result_by_position
        ids = [result['id'] for result in results.values()]
        if sorted(ids) != sorted(item.id for item in job.submission.items):
            fail(f'{name}: {len(ids)} results, {len(set(ids))} items')
        for result in results.values():
            _check_text(name, result, records, fail)


def _check_text(
    name: str, result: dict, records: dict, fail: abc.Callable[[str], None]
) -> None:
    if result['state'] != 'completed':
        return
    count = records['events'][result['id']]
    # A text that two software versions wrote equals none of these.
    expected_texts = {
        modelengines.make_text(result['id'], count, software)
        for software in clients.SOFTWARE_BY_ENGINE.values()
    }
    if result['text'] not in expected_texts:
        fail(f'{name}: the text of {result["id"]} is truncated or wrong')
    score = f's-{result["id"].replace("item", "score")}'
    if result.get('score') != score:
        fail(f'{name}: the score of {result["id"]} is {result.get("score")}')


def check_orders(
    callers: clients.Clients, records: dict, fail: abc.Callable[[str], None]
) -> None:
    """Check that each order ran at most once, and never if refused.

    A planned stop leaves none that ran without an answer.
    """
    run_counts = _count_runs(records)
    for order in callers.cut_orders:
        if run_counts.get(order, 0):
            fail(f'{order} ran and was cut in a planned stop')
    for order, status in callers.status_by_order.items():
        count = run_counts.get(order, 0)
        if count > 1:
            fail(f'{order} ran {count} times')
        if count and status in NOT_RUN_STATUSES:
            fail(f'{order} ran but got status {status}')


def check_streams(
    callers: clients.Clients, records: dict, fail: abc.Callable[[str], None]
) -> None:
    """Check for missing events and for reruns of non-resumable streams."""
    run_counts = _count_runs(records)
    for stream_id, count in callers.events_by_stream.items():
        if count != records['events'][stream_id]:
            fail(f'{stream_id} ended without error after only {count} events')
    for stream_id in callers.non_resumable_streams:
        if run_counts.get(stream_id, 0) > 1:
            fail(f'{stream_id} ran {run_counts[stream_id]} times')


def check_engine_orders(
    records: dict, fail: abc.Callable[[str], None]
) -> None:
    """Check the fences and holders of the orders that engines accepted."""
    for name, record in records.items():
        if name == 'events':
            continue
        holder_by_fence: dict[int, str] = {}
        last_fence = 0
        for _, holder, fence in record['orders']:
            if fence < last_fence:
                fail(f'{name}: fence {fence} after {last_fence}')
            last_fence = fence
            if holder_by_fence.setdefault(fence, holder) != holder:
                fail(f'{name}: two holders with fence {fence}')


def check_leaving(
    log_files: abc.Iterable[pathlib.Path], fail: abc.Callable[[str], None]
) -> None:
    """Check that what said that it leaves gets no more requests."""
    lines = savedlogs.read_lines(
        path.read_text(errors='replace').splitlines() for path in log_files
    )
    for late in leavingaudit.find_late_requests(lines):
        fail(
            f'{late.instance} sent {len(late.ids)} requests to '
            f'{late.endpoint} after it said that it leaves: {late.ids[:3]}'
        )


def check_keys(
    log_files: abc.Iterable[pathlib.Path],
    keys: abc.Iterable[str],
    fail: abc.Callable[[str], None],
) -> None:
    """Check that no request was sent with an ended key, and none logged."""
    texts = [path.read_text(errors='replace') for path in log_files]
    for key in keys:
        if any(key in text for text in texts):
            fail(f'the key {key} is in a log')
    lines = savedlogs.read_lines(text.splitlines() for text in texts)
    for use in keyaudit.find_uses_of_ended_keys(lines):
        fail(
            f'{use.instance} sent {use.id} by version {use.granted_by}, '
            f'{use.late_ms} ms after version {use.ended_by} ended keys'
        )


def check_configurations(
    log_files: abc.Iterable[pathlib.Path],
    acknowledged_at_by_version: dict[int, float],
    disturbances: list[disturbance.Disturbance],
    fail: abc.Callable[[str], None],
) -> int:
    """Check that calm instances have each version in force in time.

    Return how many times a version was due at a calm instance.
    """
    judged = 0
    for path in log_files:
        lines = savedlogs.read_lines(
            [path.read_text(errors='replace').splitlines()]
        )
        for begin, end, takes in _split_starts(lines):
            for version, acknowledged_at in acknowledged_at_by_version.items():
                due_at = max(acknowledged_at + APPLY_LIMIT_S, begin)
                judged += due_at <= end and (
                    disturbance.find_calm(disturbances, path.stem, due_at, end)
                    == due_at
                )
                taken_at = min(
                    (at for at, taken in takes if taken >= version),
                    default=end,
                )
                calm_at = disturbance.find_calm(
                    disturbances, path.stem, due_at, taken_at
                )
                if calm_at is not None:
                    fail(
                        f'{path.stem} had no version {version} in force '
                        f'{calm_at - acknowledged_at:.1f} s after it was '
                        'acknowledged'
                    )
    return judged


def _split_starts(
    lines: list[savedlogs.LogLine],
) -> list[tuple[float, float, list[tuple[float, int]]]]:
    """Return first and last time in service, and versions, of each start.

    Without a configuration an instance refuses all and says so.
    """
    starts: list[tuple[float, float, list[tuple[float, int]]]] = []
    for line in lines:
        if line.utc_ms is None:
            continue
        at = line.utc_ms / 1000
        if line.event == 'started' or not starts:
            starts.append((at, at, []))
        begin, _, takes = starts[-1]
        if line.event == 'configuration-in-force':
            takes.append((at, int(str(line.fields['version']))))
            begin = takes[0][0]
        starts[-1] = (begin, at, takes)
    return [start for start in starts if start[2]]


def _count_runs(records: dict) -> dict[str, int]:
    run_counts: dict[str, int] = {}
    for name, record in records.items():
        if name == 'events':
            continue
        for request_id in record['ran']:
            run_counts[request_id] = run_counts.get(request_id, 0) + 1
    return run_counts


def check_duties(duties: dict, fail: abc.Callable[[str], None]) -> None:
    """Check the calls of the holders of duties, and that none was left out.

    Windows before the first agreement on a clock are not reported.
    """
    for violation in duties['violations']:
        fail(violation)
    windows = duties['windows']
    if not windows:
        fail('no window of usage was reported')
        return
    missing = set(range(windows[0], windows[-1] + 1)) - set(windows)
    for window in sorted(missing):
        fail(f'the report of window {window} was left out')
