"""Decide which waiting item gets which engine."""

import asyncio
from collections import abc
import dataclasses

from . import job as jobs
from ..registry import choice
from ..registry import endpoint as endpoints
from ..registry import registry as registries

__all__ = ['Scheduler', 'Waiting', 'get_order']

# A run moves when another engine makes an event this many times faster.
MOVE_FACTOR = 2.2


@dataclasses.dataclass(slots=True)
class Waiting:
    """Hold an item that waits for an engine."""

    item: jobs.Item
    model: str
    service: str
    min_version: int
    # A later deadline, a fuller group or a later group waits longer.
    deadline_ms: float
    group_left: abc.Callable[[], int]
    group_index: int
    avoid: set[str]
    granted: asyncio.Future


def get_order(one: Waiting) -> tuple[float, float, int, int]:
    """Return the order key: oldest job, longest item, nearest group.

    Answers a batch with a few long items: begun last, they would hold
    their groups back alone on idle engines.
    """
    return (
        one.deadline_ms,
        -one.item.expected_length,
        one.group_left(),
        one.group_index,
    )


class Scheduler:
    """Hold the waiting items of all jobs of this instance."""

    def __init__(self, registry: registries.Registry):
        self.registry = registry
        self.get_order = get_order
        self.choose_for_run = choice.choose_for_run
        self.waiting: list[Waiting] = []
        self.scheduled = False

    async def acquire(self, waiting: Waiting) -> endpoints.EndpointState:
        """Return the engine with a place taken for the item."""
        self.waiting.append(waiting)
        self._dispatch_soon()
        try:
            return await waiting.granted
        except asyncio.CancelledError:
            if waiting.granted.done() and not waiting.granted.cancelled():
                self.release(waiting.granted.result())
            raise
        finally:
            if waiting in self.waiting:
                self.waiting.remove(waiting)

    def _dispatch_soon(self) -> None:
        # The items of a batch come one by one; their order is chosen once
        # all of them wait.
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self.dispatch)

    def release(self, state: endpoints.EndpointState) -> None:
        """Give a place back."""
        state.in_flight -= 1
        self.dispatch()

    def dispatch(self) -> None:
        """Give free places to waiting items in order."""
        self.scheduled = False
        if not self.waiting:
            return
        # What no engine has a place for is looked at once, not per item.
        full: set[tuple[str, str, int]] = set()
        for one in sorted(self.waiting, key=self.get_order):
            need = (one.service, one.model, one.min_version)
            if need in full or one.granted.done():
                continue
            # An engine that failed the item is the last choice, not none.
            state = self._choose(one, one.avoid) or self._choose(one, ())
            if state is not None:
                state.in_flight += 1
                self.waiting.remove(one)
                one.granted.set_result(state)
            else:
                full.add(need)

    def _choose(
        self, one: Waiting, avoid: abc.Container[str]
    ) -> endpoints.EndpointState | None:
        return self.choose_for_run(
            self.registry.get_by_service(one.service),
            avoid,
            one.model,
            one.min_version,
            asyncio.get_running_loop().time(),
        )

    def find_faster(
        self, state: endpoints.EndpointState, waiting: Waiting
    ) -> bool:
        """Say whether a run on a slow engine should move to another one."""
        if self.waiting or state.pace_ms == 0.0:
            return False
        best = self._choose(waiting, {state.endpoint.id})
        if best is None or best.pace_ms == 0.0:
            return False
        return state.pace_ms > MOVE_FACTOR * best.pace_ms
