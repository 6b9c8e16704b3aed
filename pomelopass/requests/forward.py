"""Carry one request to endpoints until one gives a whole answer."""

import asyncio
from collections import abc
import dataclasses
import random

from . import attempt as attempts
from . import call as calls
from . import callstate
from . import outcome as outcomes
from . import quarantine as quarantines
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from . import routes

__all__ = ['Forwarder']

# Part of the aim after which a second endpoint is asked as well.
HEDGE_SHARE = 0.45
MIN_HEDGE_MS = 60.0
# Time kept back for the answer to reach the caller before it gives up.
ANSWER_MARGIN_MS = 25.0


class Forwarder:
    """Send requests to the endpoints of their route's service."""

    def __init__(
        self,
        registry: registries.Registry,
        port: calls.EndpointPort,
        availability_zone: str,
        rng: random.Random,
        write_event: logevents.WriteEvent,
        quarantine: quarantines.Quarantine,
    ):
        self.quarantine = quarantine
        self.attempts = attempts.AttemptContext(port, quarantine, write_event)
        self.registry = registry
        self.port = port
        self.availability_zone = availability_zone
        self.rng = rng
        self.write_event = write_event

    async def forward(
        self, call: calls.Call, route: routes.Route
    ) -> outcomes.Outcome:
        """Return the answer to a request that is not streamed."""
        limit = routes.get_time_limit(route, call.deadline_at)
        state = callstate.begin(
            call, route, limit, ANSWER_MARGIN_MS / 1000, self.rng
        )
        outcome = await self._run(state)
        self.write_event(
            callstate.make_event(state, outcome.kind.value, outcome.status)
        )
        return outcome

    async def _run(self, state: callstate.CallState) -> outcomes.Outcome:
        full_until = callstate.get_full_until(state)
        tasks: set[asyncio.Task] = set()
        try:
            while True:
                now = asyncio.get_running_loop().time()
                if now >= state.give_up_at:
                    return callstate.give_up(state, bool(tasks))
                if self.quarantine.is_quarantined(state.fingerprint, now):
                    state.reason = 'crashes-endpoints'
                    return callstate.give_up(state)
                if not tasks:
                    chosen = self._choose(state)
                    if chosen is not None:
                        tasks.add(self._start(state, chosen))
                    elif await callstate.wait_for_room(state, full_until):
                        continue
                    else:
                        return callstate.give_up(state)
                done = await self._wait(state, tasks, now)
                tasks -= done
                outcome = self._take(state, done)
                if outcome is not None:
                    return outcome
                if not done:
                    self._hedge(state, tasks)
                if not tasks and not callstate.may_try(state):
                    return callstate.give_up(state)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait(
        self, state: callstate.CallState, tasks: set[asyncio.Task], now: float
    ) -> set[asyncio.Task]:
        wait_s = state.give_up_at - now
        if routes.may_repeat(state.route) and len(tasks) == 1:
            hedge_ms = max(
                state.route.target_latency_ms * HEDGE_SHARE, MIN_HEDGE_MS
            )
            wait_s = min(wait_s, hedge_ms / 1000)
        done, _ = await asyncio.wait(
            tasks, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _hedge(
        self, state: callstate.CallState, tasks: set[asyncio.Task]
    ) -> None:
        if len(tasks) > 1 or not routes.may_repeat(state.route):
            return
        if state.may_have_run + len(tasks) >= state.route.max_attempts:
            return
        chosen = self._choose(state)
        if chosen is not None and chosen.endpoint.id not in state.tried:
            tasks.add(self._start(state, chosen))

    def _choose(
        self, state: callstate.CallState
    ) -> endpoints.EndpointState | None:
        return callstate.choose(state, self.registry, self.availability_zone)

    def _start(
        self, state: callstate.CallState, chosen: endpoints.EndpointState
    ) -> asyncio.Task:
        state.tried.add(chosen.endpoint.id)
        # A kept connection may just be closing; what must not run twice
        # does not take that chance.
        fresh = not routes.may_repeat(state.route)
        return asyncio.ensure_future(
            attempts.run_attempt(
                self.attempts,
                chosen,
                state.call,
                state.give_up_at,
                fresh,
                state.fingerprint,
            )
        )

    def _take(
        self, state: callstate.CallState, done: abc.Iterable[asyncio.Task]
    ) -> outcomes.Outcome | None:
        for task in done:
            attempt = task.result()
            state.reason = attempt.reason or state.reason
            if attempt.not_run:
                callstate.record_refusal(state, attempt.endpoint_id)
                continue
            state.may_have_run += 1
            if attempt.outcome is None:
                continue
            if attempt.outcome.status < 500:
                self.quarantine.note_answered(state.fingerprint)
                return dataclasses.replace(
                    attempt.outcome, errors=state.errors
                )
            state.errors += 1
            state.last = attempt.outcome
        return None
