"""Inject temporary faults into a simulated cluster."""

import asyncio
import dataclasses

from hypothesis import strategies as st

from standins import cluster

__all__ = ['FAULT_KINDS', 'Fault', 'clear_faults', 'inject', 'make_faults']

MEMBERS = ('entry-0', 'entry-1', 'entry-2')


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Fault with its start time, kind, target and duration."""

    at_ms: int
    kind: str
    index: int
    duration_ms: int


def make_faults(kinds: tuple[str, ...], latest_ms: int, max_faults: int):
    """Return a hypothesis strategy for lists of faults."""
    fault = st.builds(
        Fault,
        at_ms=st.integers(0, latest_ms),
        kind=st.sampled_from(kinds),
        index=st.integers(0, 5),
        duration_ms=st.integers(100, 6000),
    )
    return st.lists(fault, max_size=max_faults)


async def inject(sim_cluster: cluster.Cluster, fault: Fault) -> None:
    """Inject a fault at its time and undo it after its duration."""
    await asyncio.sleep(fault.at_ms / 1000)
    undo = FAULT_BY_KIND[fault.kind](sim_cluster, fault)
    await asyncio.sleep(fault.duration_ms / 1000)
    undo()


def clear_faults(sim_cluster: cluster.Cluster) -> None:
    """Undo all faults except kills."""
    for member in sim_cluster.member_by_name.values():
        member.thaw()
    for app in (
        sim_cluster.table.app,
        sim_cluster.objects.app,
        sim_cluster.listing.app,
    ):
        app.faults = {}
    for engine in sim_cluster.engine_by_name.values():
        engine.app.faults = {}
    sim_cluster.network.cut.clear()
    sim_cluster.network.refused.clear()
    sim_cluster.network.lose_answer.clear()
    sim_cluster.network.reset_after_write.clear()


def _get_member(sim_cluster: cluster.Cluster, fault: Fault) -> cluster.Member:
    names = sorted(sim_cluster.member_by_name)
    return sim_cluster.member_by_name[names[fault.index % len(names)]]


def _freeze(sim_cluster: cluster.Cluster, fault: Fault):
    member = _get_member(sim_cluster, fault)
    member.freeze()
    return member.thaw


def _freeze_holder(sim_cluster: cluster.Cluster, fault: Fault):
    for member in sim_cluster.member_by_name.values():
        if member.context.duties.task_by_name:
            member.freeze()
            return member.thaw
    return _do_nothing


def _kill_holder(sim_cluster: cluster.Cluster, fault: Fault):
    live_members = [
        member
        for member in sim_cluster.member_by_name.values()
        if not member.gate.dead
    ]
    for member in live_members:
        if member.context.duties.task_by_name and len(live_members) > 1:
            member.kill()
            return _do_nothing
    return _do_nothing


def _cut(sim_cluster: cluster.Cluster, fault: Fault):
    names = sorted(sim_cluster.member_by_name)
    cut_link = (names[fault.index % len(names)], '*')
    sim_cluster.network.cut.add(cut_link)
    return lambda: sim_cluster.network.cut.discard(cut_link)


def _set_platform_fault(app_name: str, fault_name: str, value: float):
    def inject_fault(sim_cluster: cluster.Cluster, fault: Fault):
        app = getattr(sim_cluster, app_name).app
        app.faults[fault_name] = value
        return lambda: app.faults.pop(fault_name, None)

    return inject_fault


def _set_engine_fault(fault_name: str, value: float):
    def inject_fault(sim_cluster: cluster.Cluster, fault: Fault):
        names = sorted(sim_cluster.engine_by_name)
        name = names[fault.index % len(names)]
        app = sim_cluster.engine_by_name[name].app
        app.faults[fault_name] = value
        return lambda: app.faults.pop(fault_name, None)

    return inject_fault


def _refuse_engine(sim_cluster: cluster.Cluster, fault: Fault):
    names = sorted(sim_cluster.engine_by_name)
    address = f'{names[fault.index % len(names)]}:1'
    sim_cluster.network.refused.add(address)
    return lambda: sim_cluster.network.refused.discard(address)


def _jump_clock(sim_cluster: cluster.Cluster, fault: Fault):
    clock = _get_member(sim_cluster, fault).clock
    clock.utc_offset_ms += (fault.index - 2) * 3_600_000
    return _do_nothing


def _do_nothing() -> None:
    pass


FAULT_BY_KIND = {
    'freeze': _freeze,
    'freeze-holder': _freeze_holder,
    'kill-holder': _kill_holder,
    'cut': _cut,
    'table-down': _set_platform_fault('table', 'down', 1),
    'table-slow': _set_platform_fault('table', 'slow_ms', 1700),
    'table-loses': _set_platform_fault('table', 'lose_answers', 2),
    'objects-down': _set_platform_fault('objects', 'down', 1),
    'list-down': _set_platform_fault('listing', 'down', 1),
    'engine-slow': _set_engine_fault('slow_factor', 20.0),
    'engine-truncates': _set_engine_fault('truncate', 2),
    'engine-ends-early': _set_engine_fault('end_early', 2),
    'engine-mixes-up': _set_engine_fault('mix_up', 2),
    'swap-fails': _set_engine_fault('swap_fail', 2),
    'swap-answer-lost': _set_engine_fault('swap_lose_answer', 2),
    'engine-refuses': _refuse_engine,
    'clock-jumps': _jump_clock,
}
FAULT_KINDS = tuple(FAULT_BY_KIND)
