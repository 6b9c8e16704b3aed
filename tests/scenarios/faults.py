"""Inject faults into a cluster for a while and mend them."""

import asyncio
import dataclasses

from hypothesis import strategies as st

from standins import cluster

__all__ = ['FAULT_KINDS', 'Fault', 'inject', 'make_faults', 'mend']

MEMBERS = ('entry-0', 'entry-1', 'entry-2')


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Name a fault, when it comes, whom it hits and how long it lasts."""

    at_ms: int
    kind: str
    number: int
    duration_ms: int


def make_faults(kinds: tuple[str, ...], last_ms: int, most: int):
    """Return a strategy for lists of faults."""
    fault = st.builds(
        Fault,
        at_ms=st.integers(0, last_ms),
        kind=st.sampled_from(kinds),
        number=st.integers(0, 5),
        duration_ms=st.integers(100, 6000),
    )
    return st.lists(fault, max_size=most)


async def inject(built: cluster.Cluster, fault: Fault) -> None:
    """Wait for the moment, inject the fault and undo it."""
    await asyncio.sleep(fault.at_ms / 1000)
    undo = FAULT_BY_KIND[fault.kind](built, fault)
    await asyncio.sleep(fault.duration_ms / 1000)
    undo()


def mend(built: cluster.Cluster) -> None:
    """Undo every fault but kills."""
    for member in built.member_by_name.values():
        member.thaw()
    for app in (built.table.app, built.objects.app, built.listing.app):
        app.faults = {}
    for one in built.engine_by_name.values():
        one.app.faults = {}
    built.network.cut.clear()
    built.network.refused.clear()
    built.network.lose_answer.clear()
    built.network.reset_after_write.clear()


def _get_member(built: cluster.Cluster, fault: Fault) -> cluster.Member:
    names = sorted(built.member_by_name)
    return built.member_by_name[names[fault.number % len(names)]]


def _freeze(built: cluster.Cluster, fault: Fault):
    member = _get_member(built, fault)
    member.freeze()
    return member.thaw


def _freeze_holder(built: cluster.Cluster, fault: Fault):
    for member in built.member_by_name.values():
        if member.context.duties.task_by_name:
            member.freeze()
            return member.thaw
    return _do_nothing


def _kill_holder(built: cluster.Cluster, fault: Fault):
    live = [one for one in built.member_by_name.values() if not one.gate.dead]
    for member in live:
        if member.context.duties.task_by_name and len(live) > 1:
            member.kill()
            return _do_nothing
    return _do_nothing


def _cut(built: cluster.Cluster, fault: Fault):
    names = sorted(built.member_by_name)
    pair = (names[fault.number % len(names)], '*')
    built.network.cut.add(pair)
    return lambda: built.network.cut.discard(pair)


def _set(app_name: str, fault_name: str, value: float):
    def start(built: cluster.Cluster, fault: Fault):
        app = getattr(built, app_name).app
        app.faults[fault_name] = value
        return lambda: app.faults.pop(fault_name, None)

    return start


def _set_engine(fault_name: str, value: float):
    def start(built: cluster.Cluster, fault: Fault):
        names = sorted(built.engine_by_name)
        name = names[fault.number % len(names)]
        app = built.engine_by_name[name].app
        app.faults[fault_name] = value
        return lambda: app.faults.pop(fault_name, None)

    return start


def _refuse_engine(built: cluster.Cluster, fault: Fault):
    names = sorted(built.engine_by_name)
    address = f'{names[fault.number % len(names)]}:1'
    built.network.refused.add(address)
    return lambda: built.network.refused.discard(address)


def _jump_clock(built: cluster.Cluster, fault: Fault):
    clock = _get_member(built, fault).clock
    clock.utc_offset_ms += (fault.number - 2) * 3_600_000
    return _do_nothing


def _do_nothing() -> None:
    pass


FAULT_BY_KIND = {
    'freeze': _freeze,
    'freeze-holder': _freeze_holder,
    'kill-holder': _kill_holder,
    'cut': _cut,
    'table-down': _set('table', 'down', 1),
    'table-slow': _set('table', 'slow_ms', 1700),
    'table-loses': _set('table', 'lose_answers', 2),
    'objects-down': _set('objects', 'down', 1),
    'list-down': _set('listing', 'down', 1),
    'engine-slow': _set_engine('slow_factor', 20.0),
    'engine-truncates': _set_engine('truncate', 2),
    'engine-ends-early': _set_engine('end_early', 2),
    'engine-mixes-up': _set_engine('mix_up', 2),
    'swap-fails': _set_engine('swap_fail', 2),
    'swap-answer-lost': _set_engine('swap_lose_answer', 2),
    'engine-refuses': _refuse_engine,
    'clock-jumps': _jump_clock,
}
FAULT_KINDS = tuple(FAULT_BY_KIND)
