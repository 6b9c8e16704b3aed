"""Test how a version reaches thousands of engines from one instance."""

import asyncio
import collections

from pomelopass.leadership import duty
from pomelopass.registry import endpoint as endpoints
from pomelopass.registry import registry as registries
from pomelopass.versions import assignment
from pomelopass.versions import manager
from pomelopass.versions import orders
from standins import virtualloop

ENGINES = 1500
LOAD_S = 0.9
CALL_S = 0.005
# Processor time of a call on a new connection, of half a core.
WORK_S = 0.0025
CALL_LIMIT_S = 0.7
# An engine's entry is read at most so long after it changed.
ENTRY_DELAY_S = 0.2
LIMIT_S = 14.0
MAX_REPORTS_EACH = 1.2
USUAL_ENGINES = 23


class OwnDuty:
    """Duty that this instance holds, with grants of the usual length."""

    incarnation = 'entry-0-1'

    async def release_if_cut_off(self, service):
        return False

    def may_lead(self, service):
        return True

    async def confirm(self, service):
        now = asyncio.get_running_loop().time()
        return duty.Grant(service, 1, now + duty.GRANT_MS / 1000)

    def is_valid(self, grant):
        return asyncio.get_running_loop().time() <= grant.ends_at


class Engines:
    """Engines that load what they are ordered, and write their entries."""

    def __init__(self, count):
        self.registry = registries.Registry(lambda event: None)
        self.reports = collections.Counter()
        self.orders = collections.Counter()
        self.free_at = 0.0
        self.open_calls = 0
        self.max_open_calls = 0
        self.busy = set()
        self.version_by_id = {}
        for number in range(count):
            self.put_entry(f'e{number}', 1)

    def put_entry(self, endpoint_id, version):
        self.version_by_id[endpoint_id] = version
        entry = endpoints.Endpoint(
            *(endpoint_id, 'engines', '10.0.0.1:1', 'north', 8, False),
            *({'m': version}, 1),
        )
        asyncio.get_running_loop().call_later(
            ENTRY_DELAY_S, self.registry.put, entry
        )

    async def fetch_report(self, target):
        self.reports[target.id] += 1
        if not await self._call():
            return None
        version = self.version_by_id[target.id]
        return orders.Report({'m': version}, target.id in self.busy, 0)

    async def order_version(self, target, order, may_send):
        is_in_time = await self._call()
        if not may_send():
            return orders.OrderOutcome.WITHDRAWN
        self.orders[target.id] += 1
        self.busy.add(target.id)
        asyncio.get_running_loop().call_later(
            LOAD_S, self._end_load, target.id, order.version
        )
        if not is_in_time:
            return orders.OrderOutcome.UNKNOWN
        return orders.OrderOutcome.ACCEPTED

    def _end_load(self, endpoint_id, version):
        self.busy.discard(endpoint_id)
        self.put_entry(endpoint_id, version)

    async def _call(self):
        """Return whether the caller has the time to finish the call."""
        self.open_calls += 1
        self.max_open_calls = max(self.max_open_calls, self.open_calls)
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + WORK_S
        late_s = self.free_at - now
        await asyncio.sleep(min(late_s + CALL_S, CALL_LIMIT_S))
        self.open_calls -= 1
        return late_s + CALL_S <= CALL_LIMIT_S


def make_manager(engines):
    """Return the manager of the instance that orders the engines."""
    return manager.VersionManager(
        engines.registry,
        engines,
        OwnDuty(),
        lambda model: False,
        lambda endpoint_id: False,
        lambda: {'m': assignment.Demand(1000.0)},
        lambda event: None,
    )


def roll_out(count):
    """Return the engines once all have loaded a new version."""

    async def scenario():
        loop = asyncio.get_running_loop()
        engines = Engines(count)
        await asyncio.sleep(1)
        version_manager = make_manager(engines)
        task = asyncio.ensure_future(version_manager.run())
        version_manager.set_target_version('m', 2)
        started_at = loop.time()
        while min(engines.version_by_id.values()) < 2:
            assert loop.time() - started_at < LIMIT_S
            await asyncio.sleep(0.1)
        task.cancel()
        return engines

    return virtualloop.run(scenario())


# 500 calls at once were all late on half a core, and the next 500 as well.
def test_version_reaches_many_engines_from_a_small_instance():
    engines = roll_out(ENGINES)
    assert set(engines.orders.values()) == {1}
    assert engines.max_open_calls <= manager.MAX_ORDERS_AT_ONCE
    assert engines.reports.total() <= MAX_REPORTS_EACH * ENGINES


# The bounds must not delay the rollouts of today's fleets.
def test_engines_of_usual_fleets_are_ordered_together():
    engines = roll_out(USUAL_ENGINES)
    assert set(engines.orders.values()) == {1}
    expected = USUAL_ENGINES // orders.CONCURRENT_LOAD_DIVISOR
    assert engines.max_open_calls == expected
