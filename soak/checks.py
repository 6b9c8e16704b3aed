"""Check what endpoints have seen against what callers were told."""

from collections import abc

from soak import clients
from standins import modelengines

__all__ = ['check_jobs', 'check_orders', 'check_seen', 'check_streams']

NOT_RUN_STATUSES = (408, 421, 429, 503)


def check_jobs(
    seen_jobs: abc.Iterable[clients.JobSeen],
    seen: dict,
    fail: abc.Callable[[str], None],
) -> None:
    """Compare each job with the texts that engines made."""
    ran = _get_ran(seen)
    for job in seen_jobs:
        name = job.submission.id
        refused = all(one in NOT_RUN_STATUSES for one in job.statuses)
        for item in job.submission.items:
            if refused and ran.get(item.id):
                fail(f'{name} was refused and {item.id} ran')
        if not job.accepted:
            continue
        results = job.result_by_position
        ids = [one['id'] for one in results.values()]
        if sorted(ids) != sorted(one.id for one in job.submission.items):
            fail(f'{name}: {len(ids)} results, {len(set(ids))} items')
        for one in results.values():
            _check_text(name, one, seen, fail)


def _check_text(
    name: str, one: dict, seen: dict, fail: abc.Callable[[str], None]
) -> None:
    if one['state'] != 'completed':
        return
    whole = modelengines.make_text(one['id'], seen['events'][one['id']])
    if one['text'] != whole:
        fail(f'{name}: the text of {one["id"]} is not whole')
    score = f's-{one["id"].replace("item", "score")}'
    if one.get('score') != score:
        fail(f'{name}: the score of {one["id"]} is {one.get("score")}')


def check_orders(
    status_by_order: dict[str, int],
    seen: dict,
    fail: abc.Callable[[str], None],
) -> None:
    """Check that each order ran once at most, and never if refused."""
    ran = _get_ran(seen)
    for order, status in status_by_order.items():
        count = ran.get(order, 0)
        if count > 1:
            fail(f'{order} ran {count} times')
        if count and status in NOT_RUN_STATUSES:
            fail(f'{order} ran and was answered {status}')


def check_streams(
    callers: clients.Clients, seen: dict, fail: abc.Callable[[str], None]
) -> None:
    """Check that whole streams are whole, and which ones ran once."""
    ran = _get_ran(seen)
    for stream_id, count in callers.events_by_stream.items():
        if count != seen['events'][stream_id]:
            fail(f'{stream_id} looked whole after {count} events')
    for stream_id in callers.single_streams:
        if ran.get(stream_id, 0) > 1:
            fail(f'{stream_id} ran {ran[stream_id]} times')


def check_seen(seen: dict, fail: abc.Callable[[str], None]) -> None:
    """Check the orders that engines took: fences and holders."""
    for name, one in seen.items():
        if name == 'events':
            continue
        holder_by_fence: dict[int, str] = {}
        last = 0
        for _, holder, fence in one['orders']:
            if fence < last:
                fail(f'{name}: fence {fence} after {last}')
            last = fence
            if holder_by_fence.setdefault(fence, holder) != holder:
                fail(f'{name}: two holders with fence {fence}')


def _get_ran(seen: dict) -> dict[str, int]:
    ran: dict[str, int] = {}
    for name, one in seen.items():
        if name == 'events':
            continue
        for request_id in one['ran']:
            ran[request_id] = ran.get(request_id, 0) + 1
    return ran
