"""Assign waiting items to engines."""

import asyncio
from collections import abc
import dataclasses

from . import job as jobs
from ..limits import permits as permitpools
from ..placement import placer as placers
from ..registry import choice
from ..registry import endpoint as endpoints
from ..registry import registry as registries

__all__ = ['Scheduler', 'WaitingItem', 'get_order']

# A run moves when another engine generates events this many times faster.
MOVE_FACTOR = 2.2
# Items of one need that may wait for their own zone in one dispatch: each of
# them costs a search among all engines.
MAX_HELD = 32
# Bounds how often waiting items cause a dispatch.
MIN_HOLD_MS = 5.0


@dataclasses.dataclass(slots=True)
class WaitingItem:
    """An item that waits for an engine."""

    item: jobs.Item
    model: str
    service: str
    min_version: int
    # Items with a later deadline, more remaining items in their group or a
    # higher group index wait longer.
    deadline_ms: float
    count_group_remaining: abc.Callable[[], int]
    group_index: int
    avoid: set[str]
    granted: asyncio.Future
    # Whether an endpoint of a software version may resume the text.
    can_resume_at: abc.Callable[[str], bool] = lambda software: True
    # Number of events that the text has.
    count_events: abc.Callable[[], int] = lambda: 0
    # Where the prompt of the text is cached, and how long reading it took.
    cache_zone: str | None = None
    prompt_ms: float = 0.0
    queued_at: float = float('-inf')


def get_order(waiting_item: WaitingItem) -> tuple[float, float, int, int]:
    """Return the sort key: deadline, length, items left in group, group.

    Long items come first: if the few long items of a batch started last, they
    would delay their groups while most engines are idle.
    """
    return (
        waiting_item.deadline_ms,
        -waiting_item.item.expected_length,
        waiting_item.count_group_remaining(),
        waiting_item.group_index,
    )


class Scheduler:
    """Assign the waiting items of all jobs of this instance."""

    def __init__(
        self,
        registry: registries.Registry,
        permits: permitpools.PermitPool,
        placer: placers.Placer | None = None,
    ):
        self.placer = placer or placers.Placer('')
        self.registry = registry
        self.permits = permits
        self.get_order = get_order
        self.choose_for_run = choice.choose_for_run
        self.waiting: list[WaitingItem] = []
        self.dispatch_scheduled = False
        # When an item that waits for its own zone has waited enough.
        self.hold_timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, waiting_item: WaitingItem
    ) -> endpoints.EndpointState:
        """Wait for an engine, reserve a slot of it and return it."""
        waiting_item.queued_at = asyncio.get_running_loop().time()
        self.waiting.append(waiting_item)
        self._dispatch_soon()
        try:
            return await waiting_item.granted
        except asyncio.CancelledError:
            if (
                waiting_item.granted.done()
                and not waiting_item.granted.cancelled()
            ):
                self.release(waiting_item.granted.result())
            raise
        finally:
            if waiting_item in self.waiting:
                self.waiting.remove(waiting_item)

    def _dispatch_soon(self) -> None:
        # The items of a batch arrive one by one and are ordered once all
        # of them wait.
        if not self.dispatch_scheduled:
            self.dispatch_scheduled = True
            asyncio.get_running_loop().call_soon(self.dispatch)

    def release(self, state: endpoints.EndpointState) -> None:
        """Release a slot."""
        state.in_flight -= 1
        self.dispatch()

    def dispatch(self) -> None:
        """Assign free slots to waiting items in order."""
        self.dispatch_scheduled = False
        if not self.waiting:
            return
        # Needs that no engine has a slot for are tried once, not per item.
        unmet: set[tuple[str, str, int]] = set()
        holds = _Holds()
        for waiting_item in sorted(self.waiting, key=self.get_order):
            need = (
                waiting_item.service,
                waiting_item.model,
                waiting_item.min_version,
            )
            if need in unmet or waiting_item.granted.done():
                continue
            state = self._choose_preferred(waiting_item, holds, need)
            if holds.is_held(waiting_item):
                if holds.is_full(need):
                    unmet.add(need)
            elif state is not None:
                state.in_flight += 1
                self.permits.take(state.endpoint.id)
                self.waiting.remove(waiting_item)
                waiting_item.granted.set_result(state)
            else:
                unmet.add(need)
                self._request_permits(waiting_item)
        self._set_hold_timer(holds)

    def _set_hold_timer(self, holds: '_Holds') -> None:
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None
        if holds.wait_ms is not None:
            delay_s = max(holds.wait_ms, MIN_HOLD_MS) / 1000
            self.hold_timer = asyncio.get_running_loop().call_later(
                delay_s, self.dispatch
            )

    def _choose_preferred(
        self,
        waiting_item: WaitingItem,
        holds: '_Holds',
        need: tuple[str, str, int],
    ) -> endpoints.EndpointState | None:
        if self.placer.is_enabled:
            return self._place(waiting_item, holds, need)
        # An engine that failed the item, and one that must begin its text
        # again, are used only if there is no other.
        return (
            self._choose(waiting_item, waiting_item.avoid, True)
            or self._choose(waiting_item, (), True)
            or self._choose(waiting_item, waiting_item.avoid, False)
            or self._choose(waiting_item, (), False)
        )

    def _place(
        self,
        waiting_item: WaitingItem,
        holds: '_Holds',
        need: tuple[str, str, int],
    ) -> endpoints.EndpointState | None:
        """Return the engine of a run, or None if it waits for its zone."""
        now = asyncio.get_running_loop().time()
        work = _make_work(waiting_item, holds.count_by_need.get(need, 0), now)
        for avoid, must_resume in (
            (waiting_item.avoid, True),
            ((), True),
            (waiting_item.avoid, False),
            ((), False),
        ):
            placed = self.placer.choose_for_run(
                self._find_open(waiting_item, must_resume), avoid, work, now
            )
            if placed.decision is not None:
                self.placer.record_run(placed.decision, work, now)
                return placed.decision.candidate.state
            if placed.wait_ms:
                holds.add(waiting_item, need, placed.wait_ms)
                return None
        return None

    def _choose(
        self,
        waiting_item: WaitingItem,
        avoid: abc.Container[str],
        must_resume: bool,
    ) -> endpoints.EndpointState | None:
        open_states = self._find_open(waiting_item, must_resume)
        return self._choose_among(open_states, waiting_item, avoid)

    def _find_open(
        self, waiting_item: WaitingItem, must_resume: bool
    ) -> list[endpoints.EndpointState]:
        open_states, _ = self.permits.split(
            self.registry.get_by_service(waiting_item.service)
        )
        if must_resume:
            open_states = [
                state
                for state in open_states
                if waiting_item.can_resume_at(state.endpoint.software)
            ]
        return open_states

    def _choose_among(
        self,
        states: list[endpoints.EndpointState],
        waiting_item: WaitingItem,
        avoid: abc.Container[str],
    ) -> endpoints.EndpointState | None:
        return self.choose_for_run(
            states,
            avoid,
            waiting_item.model,
            waiting_item.min_version,
            asyncio.get_running_loop().time(),
        )

    def _request_permits(self, waiting_item: WaitingItem) -> None:
        _, limited_states = self.permits.split(
            self.registry.get_by_service(waiting_item.service)
        )
        # No more than the waiting items can use.
        missing = len(self.waiting)
        for state in limited_states:
            if missing <= 0:
                return
            if self._choose_among([state], waiting_item, ()) is not None:
                self.permits.request(state.endpoint.id)
                missing -= 1

    def should_move(
        self, state: endpoints.EndpointState, waiting_item: WaitingItem
    ) -> bool:
        """Return whether a run on a slow engine should move to another."""
        if self.waiting or state.pace_ms == 0.0:
            return False
        avoid = {state.endpoint.id, *waiting_item.avoid}
        best = self._choose(waiting_item, avoid, True)
        if best is None or best.pace_ms == 0.0:
            return False
        if state.pace_ms <= MOVE_FACTOR * best.pace_ms:
            return False
        now = asyncio.get_running_loop().time()
        # The engine that runs the text has its prompt in its cache.
        waiting_item.cache_zone = state.endpoint.availability_zone
        work = _make_work(waiting_item, 0, now)
        return self.placer.pays_to_move(state, best, work, now)


class _Holds:
    """Items of one dispatch that wait for an engine of their zone."""

    def __init__(self) -> None:
        self.count_by_need: dict[tuple[str, str, int], int] = {}
        self.wait_ms: float | None = None
        self.last: WaitingItem | None = None

    def add(
        self,
        waiting_item: WaitingItem,
        need: tuple[str, str, int],
        wait_ms: float,
    ) -> None:
        """Record that an item waits for so long."""
        self.last = waiting_item
        self.count_by_need[need] = self.count_by_need.get(need, 0) + 1
        self.wait_ms = min(self.wait_ms or wait_ms, wait_ms)

    def is_held(self, waiting_item: WaitingItem) -> bool:
        """Return whether the item waits."""
        return self.last is waiting_item

    def is_full(self, need: tuple[str, str, int]) -> bool:
        """Return whether no further item of a need may wait."""
        return self.count_by_need[need] >= MAX_HELD


def _make_work(
    waiting_item: WaitingItem, ahead: int, now: float
) -> placers.ItemWork:
    item = waiting_item.item
    return placers.ItemWork(
        waiting_item.service,
        waiting_item.model,
        waiting_item.min_version,
        len(item.body),
        item.expected_length,
        waiting_item.count_events(),
        (now - waiting_item.queued_at) * 1000,
        ahead,
        waiting_item.cache_zone,
        waiting_item.prompt_ms,
    )
