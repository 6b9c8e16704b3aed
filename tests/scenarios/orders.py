"""Run random orders and faults on a cluster and check the replies."""

import asyncio
import dataclasses

from hypothesis import strategies as st

from standins import cluster
from standins import virtualloop
from tests import builders

MEMBERS = ('entry-0', 'entry-1', 'entry-2')
SERVICES = ('desk-0:1', 'desk-1:1')
REQUEST_TIMEOUT_S = 6.0
SETTLE_MS = 15_000
SERVICE_WORK_MS = 150.0


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """Request or fault at a point in time."""

    at_ms: int
    kind: str
    member: str
    index: int
    duration_ms: int


@dataclasses.dataclass(slots=True)
class OrderReply:
    """Reply to a caller and the number of runs of its order by then."""

    order: str
    status: int
    body: dict
    runs_at_reply: int


ACTIONS = st.builds(
    Action,
    at_ms=st.integers(0, 4000),
    kind=st.sampled_from(
        (
            *('send', 'send', 'send', 'send', 'send', 'send'),
            *('freeze', 'kill', 'cut-peers', 'table-down'),
            *('table-loses', 'table-slow', 'reset', 'refuse'),
            *('lose-answer', 'work-long'),
        )
    ),
    member=st.sampled_from(MEMBERS),
    index=st.sampled_from((0, 0, 0, 1, 2, 3)),
    duration_ms=st.integers(50, 4000),
)


class OrderRun:
    """Execute actions on a cluster and record the replies."""

    def __init__(self, sim_cluster: cluster.Cluster, keys: list[str]):
        self.sim_cluster = sim_cluster
        self.keys = keys
        self.replies: list[OrderReply] = []

    async def run(self, actions: list[Action]) -> None:
        """Execute all actions, then clear all faults and wait."""
        async with asyncio.TaskGroup() as group:
            for action in actions:
                group.create_task(self.execute(action))
        for member in self.sim_cluster.member_by_name.values():
            member.thaw()
        self.sim_cluster.table.app.faults = {}
        self.sim_cluster.network.cut.clear()
        self.sim_cluster.network.refused.clear()
        await asyncio.sleep(SETTLE_MS / 1000)

    async def execute(self, action: Action) -> None:
        """Execute an action at its time and undo it after its duration."""
        await asyncio.sleep(action.at_ms / 1000)
        duration_s = action.duration_ms / 1000
        name = f'do_{action.kind.replace("-", "_")}'
        await getattr(self, name)(action, duration_s)

    async def do_send(self, action: Action, duration_s: float) -> None:
        """Send an order and record the reply."""
        order = f'order-{action.index}'
        key = self.keys[action.index]
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                status, body = await builders.send_order(
                    self.sim_cluster, action.member, order, key
                )
        except TimeoutError:
            return
        count = builders.count_orders(self.sim_cluster).get(order, 0)
        self.replies.append(OrderReply(order, status, body, count))

    async def do_freeze(self, action: Action, duration_s: float) -> None:
        """Freeze an instance for the duration."""
        member = self.sim_cluster.member_by_name[action.member]
        member.freeze()
        await asyncio.sleep(duration_s)
        member.thaw()

    async def do_kill(self, action: Action, duration_s: float) -> None:
        """Kill an instance permanently."""
        self.sim_cluster.member_by_name[action.member].kill()

    async def do_cut_peers(self, action: Action, duration_s: float) -> None:
        """Partition an instance from its peers."""
        peer_addresses = [f'{name}:2' for name in MEMBERS]
        cut_links = {(action.member, address) for address in peer_addresses}
        self.sim_cluster.network.cut |= cut_links
        await asyncio.sleep(duration_s)
        self.sim_cluster.network.cut -= cut_links

    async def do_table_down(self, action: Action, duration_s: float) -> None:
        """Make the table service unavailable for the duration."""
        faults = self.sim_cluster.table.app.faults
        faults['down'] = 1
        await asyncio.sleep(duration_s)
        faults['down'] = 0

    async def do_table_loses(self, action: Action, duration_s: float) -> None:
        """Drop the replies of applied transactions."""
        self.sim_cluster.table.app.faults['lose_answers'] = 1 + action.index

    async def do_table_slow(self, action: Action, duration_s: float) -> None:
        """Delay the table service, possibly past the call timeout."""
        faults = self.sim_cluster.table.app.faults
        faults['slow_ms'] = action.duration_ms
        await asyncio.sleep(duration_s)
        faults['slow_ms'] = 0

    async def do_reset(self, action: Action, duration_s: float) -> None:
        """Reset connections after the request was written."""
        address = SERVICES[action.index % 2]
        self.sim_cluster.network.reset_after_write[address] = 1 + action.index

    async def do_lose_answer(self, action: Action, duration_s: float) -> None:
        """Reset connections after the service ran the request."""
        address = SERVICES[action.index % 2]
        self.sim_cluster.network.lose_answer[address] = 1 + action.index

    async def do_refuse(self, action: Action, duration_s: float) -> None:
        """Refuse connections to a service for the duration."""
        address = SERVICES[action.index % 2]
        self.sim_cluster.network.refused.add(address)
        await asyncio.sleep(duration_s)
        self.sim_cluster.network.refused.discard(address)

    async def do_work_long(self, action: Action, duration_s: float) -> None:
        """Increase the processing time of a service for the duration."""
        name = SERVICES[action.index % 2].partition(':')[0]
        app = self.sim_cluster.service_by_name[name].app
        app.faults['work_ms'] = action.duration_ms
        await asyncio.sleep(duration_s)
        app.faults['work_ms'] = SERVICE_WORK_MS


def check_replies(run: OrderRun) -> None:
    """Assert at most one run per order and replies that match the runs."""
    counts = builders.count_orders(run.sim_cluster)
    assert all(count == 1 for count in counts.values()), counts
    for reply in run.replies:
        if reply.status == 200:
            assert reply.body['order'] == reply.order
            assert counts[reply.order] == 1
        elif reply.body['verdict'] == 'not-run':
            assert reply.runs_at_reply == 0, reply


def run_actions(
    seed: int, actions: list[Action], use_issued_keys: bool
) -> None:
    """Execute actions on a new cluster and check the replies."""

    async def main() -> None:
        sim_cluster = await builders.start_cluster(seed)
        keys = [f'caller-key-{index}' for index in range(4)]
        if use_issued_keys:
            keys = [
                await builders.issue_key(sim_cluster, MEMBERS[index % 3])
                for index in range(4)
            ]
        for service in sim_cluster.service_by_name.values():
            service.work_ms = SERVICE_WORK_MS
        run = OrderRun(sim_cluster, keys)
        await run.run(actions)
        check_replies(run)

    virtualloop.run(main())
