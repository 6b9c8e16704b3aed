"""Assign waiting items to engines."""

import asyncio
from collections import abc
import dataclasses

from . import job as jobs
from ..limits import permits as permitpools
from ..registry import choice
from ..registry import endpoint as endpoints
from ..registry import registry as registries

__all__ = ['Scheduler', 'WaitingItem', 'get_order']

# A run moves when another engine generates events this many times faster.
MOVE_FACTOR = 2.2


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
        self, registry: registries.Registry, permits: permitpools.PermitPool
    ):
        self.registry = registry
        self.permits = permits
        self.get_order = get_order
        self.choose_for_run = choice.choose_for_run
        self.waiting: list[WaitingItem] = []
        self.dispatch_scheduled = False

    async def acquire(
        self, waiting_item: WaitingItem
    ) -> endpoints.EndpointState:
        """Wait for an engine, reserve a slot of it and return it."""
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
        for waiting_item in sorted(self.waiting, key=self.get_order):
            need = (
                waiting_item.service,
                waiting_item.model,
                waiting_item.min_version,
            )
            if need in unmet or waiting_item.granted.done():
                continue
            state = self._choose_preferred(waiting_item)
            if state is not None:
                state.in_flight += 1
                self.permits.take(state.endpoint.id)
                self.waiting.remove(waiting_item)
                waiting_item.granted.set_result(state)
            else:
                unmet.add(need)
                self._request_permits(waiting_item)

    def _choose_preferred(
        self, waiting_item: WaitingItem
    ) -> endpoints.EndpointState | None:
        # An engine that failed the item, and one that must begin its text
        # again, are used only if there is no other.
        return (
            self._choose(waiting_item, waiting_item.avoid, True)
            or self._choose(waiting_item, (), True)
            or self._choose(waiting_item, waiting_item.avoid, False)
            or self._choose(waiting_item, (), False)
        )

    def _choose(
        self,
        waiting_item: WaitingItem,
        avoid: abc.Container[str],
        must_resume: bool,
    ) -> endpoints.EndpointState | None:
        open_states, _ = self.permits.split(
            self.registry.get_by_service(waiting_item.service)
        )
        if must_resume:
            open_states = [
                state
                for state in open_states
                if waiting_item.can_resume_at(state.endpoint.software)
            ]
        return self._choose_among(open_states, waiting_item, avoid)

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
        best = self._choose(waiting_item, {state.endpoint.id}, True)
        if best is None or best.pace_ms == 0.0:
            return False
        return state.pace_ms > MOVE_FACTOR * best.pace_ms
