"""Run clusters whose instances report the usage of workspaces."""

import asyncio
import collections

import orjson

from pomelopass.requests import call as calls
from pomelopass.requests import routes
from pomelopass.table import rows
from pomelopass.usage import rowcodec
from standins import dutyapi
from standins import entries
from standins import virtualloop
from tests import entrybuilders

WINDOW_S = 5.0
LATE_S = 10.0
SEND_EVERY_S = 0.1
# The clock of an instance is as exact as the answers of the table are fast.
CLOCK_ERROR_S = 0.03
# The virtual clock never ends a wait in vain.
MAX_WAIT_S = 60.0


def get_window(at):
    """Return the window of a time of the loop."""
    return int((at + entries.UTC_START_MS / 1000) // WINDOW_S)


def get_begin(window):
    """Return the time of the loop at which a window begins."""
    return window * WINDOW_S - entries.UTC_START_MS / 1000


async def _leave_border():
    """Wait until a request is clearly within a window."""
    now = asyncio.get_running_loop().time()
    since_s = now - get_begin(get_window(now))
    if min(since_s, WINDOW_S - since_s) < CLOCK_ERROR_S:
        await asyncio.sleep(2 * CLOCK_ERROR_S)


class Traffic:
    """Requests of two workspaces, and their starts by true time."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.counts = collections.defaultdict(collections.Counter)
        self.number = 0

    async def send(self, name, workspace, path='/scores/1', at=None):
        """Send one request to an instance that lives."""
        await _leave_border()
        node = self.cluster.entry_by_name[name].node
        self.number += 1
        call = calls.Call(
            f'call-{self.number}',
            entrybuilders.HOST,
            'POST',
            path,
            (),
            b'x',
            None,
            workspace=workspace,
        )
        route = routes.find_route(
            node.view.configuration, entrybuilders.HOST, path
        )
        if workspace:
            now = asyncio.get_running_loop().time()
            self.counts[get_window(now)][workspace] += 1
        return await node.forwarder.forward(call, route)

    async def run(self, seconds):
        """Send requests to the live instances in turn."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            for name, entry in list(self.cluster.entry_by_name.items()):
                if entry.alive and entry.node.is_ready():
                    await self.send(name, f'team-{self.number % 2}')
            await asyncio.sleep(SEND_EVERY_S)

    def get_expected(self, windows):
        """Return the counts that these windows must have."""
        return {window: dict(self.counts[window]) for window in windows}


def get_live(cluster):
    """Return the names of the live instances."""
    return [
        name for name, entry in cluster.entry_by_name.items() if entry.alive
    ]


def get_holder(cluster):
    """Return the name of the live instance that holds the duty."""
    for name in get_live(cluster):
        if cluster.entry_by_name[name].node.usage.manager.duty.is_own(
            'windows'
        ):
            return name
    return None


async def wait_for_holder(cluster, other_than=None):
    """Return the next holder of the duty."""
    async with asyncio.timeout(MAX_WAIT_S):
        while get_holder(cluster) in (None, other_than):
            await asyncio.sleep(0.05)
    return get_holder(cluster)


async def wait_for_report(api, window=None):
    """Wait until a window, or any one, was reported."""
    async with asyncio.timeout(MAX_WAIT_S):
        while not api.body_by_window or (
            window is not None and window not in api.body_by_window
        ):
            await asyncio.sleep(0.05)


def put_counts(cluster, window, counts, name='gone'):
    """Write the counts of another start of an instance."""
    row = rowcodec.CountRow(name, 0.0, -1, {str(window): counts})
    key = rowcodec.make_count_key(name, f'{name}-1')
    cluster.service.apply(
        rows.Transaction(puts=((key, rowcodec.encode_row(row)),))
    )


def take_over(cluster, holder):
    """Write the duty's row as another instance does that takes it."""
    key = rows.Key('fleet', '', 'usage/windows')
    row = orjson.loads(cluster.service.row_by_name[key].value)
    row |= {
        'holder': holder,
        'holder_name': holder.rpartition('-')[0],
        'fence': row['fence'] + 1,
        'confirmations': row['confirmations'] + 1,
    }
    cluster.service.apply(rows.Transaction(puts=((key, orjson.dumps(row)),)))


def run(
    scenario, instances=3, skew_ms_by_name=None, relays=False, **api_fields
):
    """Run a scenario on a cluster with traffic; nothing forbidden happens.

    The scenario gets the cluster, the API and the traffic.
    """

    async def start():
        api = dutyapi.DutyApi(**api_fields)
        cluster = entrybuilders.make_cluster(
            instances=0, relays=relays, duty_api=api
        )
        cluster.skew_ms_by_name.update(skew_ms_by_name or {})
        for number in range(instances):
            cluster.start(f'entry-{number}')
        await asyncio.sleep(entrybuilders.START_S)
        await scenario(cluster, api, Traffic(cluster))
        await cluster.stop()
        assert api.find_violations() == []
        assert not cluster.get_events('task-failed')

    virtualloop.run(start())
