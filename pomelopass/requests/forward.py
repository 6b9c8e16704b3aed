"""Forward a request to endpoints until one returns a complete answer."""

import asyncio
from collections import abc
import dataclasses
import random

from .. import answermemory
from .. import message
from . import attempt as attempts
from . import call as calls
from . import callstate
from ..limits import permits as permitpools
from . import outcome as outcomes
from ..placement import placer as placers
from . import quarantine as quarantines
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from . import routes
from . import start as starts

__all__ = ['Forwarder']

# Share of the target latency after which a hedged attempt starts.
HEDGE_DELAY_SHARE = 0.45
MIN_HEDGE_DELAY_MS = 60.0
# Reserved so that the answer reaches the caller before its deadline.
ANSWER_MARGIN_MS = 25.0
# Time in which attempts that reached their deadline end.
ATTEMPT_END_MS = 5.0


class Forwarder:
    """Forwards requests to the endpoints of their route's service."""

    def __init__(
        self,
        registry: registries.Registry,
        port: calls.EndpointPort,
        availability_zone: str,
        rng: random.Random,
        write_event: logevents.WriteEvent,
        quarantine: quarantines.Quarantine,
        permits: permitpools.PermitPool,
        memory: answermemory.AnswerMemory,
        start_book: starts.StartBook = starts.NO_STARTS,
        placer: placers.Placer | None = None,
    ):
        self.start_book = start_book
        self.memory = memory
        self.placer = placer or placers.Placer(availability_zone)
        self.permits = permits
        self.quarantine = quarantine
        self.attempts = attempts.AttemptContext(
            port, quarantine, write_event, memory, self.placer
        )
        self.registry = registry
        self.port = port
        self.rng = rng
        self.write_event = write_event

    async def forward(
        self,
        call: calls.Call,
        route: routes.Route,
        may_quarantine: bool = True,
    ) -> outcomes.Outcome:
        """Return the answer to a request that is not streamed."""
        deadline_at = routes.get_time_limit(route, call.deadline_at)
        state = callstate.make_state(
            call, route, deadline_at, ANSWER_MARGIN_MS / 1000, self.rng
        )
        state.start = self.start_book.open(state.call)
        if not may_quarantine:
            state.fingerprint = None
        outcome = await self._run(state)
        self.write_event(
            callstate.make_ended_event(
                state, outcome.kind.value, outcome.status
            )
        )
        return outcome

    async def _run(self, state: callstate.CallState) -> outcomes.Outcome:
        capacity_deadline_at = callstate.get_capacity_deadline(state)
        tasks: set[asyncio.Task] = set()
        try:
            while True:
                now = asyncio.get_running_loop().time()
                if now >= state.give_up_at:
                    return callstate.get_final_outcome(state, bool(tasks))
                if self.quarantine.is_quarantined(state.fingerprint, now):
                    state.reason = 'crashes-endpoints'
                    return callstate.get_final_outcome(state)
                if not tasks and not callstate.may_send(state):
                    state.reason = message.WITHDRAWN
                    return callstate.get_final_outcome(state)
                if not tasks:
                    endpoint_state = self._choose_endpoint(state)
                    if endpoint_state is not None:
                        if not state.may_have_run:
                            # Recorded before the answer, so that the request
                            # is reported if this instance is lost.
                            state.start.place(now)
                        tasks.add(self._start_attempt(state, endpoint_state))
                    elif await callstate.wait_for_capacity(
                        state, capacity_deadline_at
                    ):
                        continue
                    else:
                        return callstate.get_final_outcome(state)
                done_tasks = await self._wait(state, tasks, now)
                tasks -= done_tasks
                outcome = self._process_results(state, done_tasks)
                if not (tasks or state.may_have_run):
                    state.start.withdraw()
                if outcome is not None:
                    return outcome
                if not done_tasks:
                    self._hedge(state, tasks)
                if not tasks and not callstate.may_attempt(state):
                    return callstate.get_final_outcome(state)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait(
        self, state: callstate.CallState, tasks: set[asyncio.Task], now: float
    ) -> set[asyncio.Task]:
        # Attempts end at that time; whether one was sent decides the answer.
        wait_s = state.give_up_at - now + ATTEMPT_END_MS / 1000
        if routes.may_repeat(state.route) and len(tasks) == 1:
            hedge_delay_ms = max(
                state.route.target_latency_ms * HEDGE_DELAY_SHARE,
                MIN_HEDGE_DELAY_MS,
            )
            wait_s = min(wait_s, hedge_delay_ms / 1000)
        done_tasks, _ = await asyncio.wait(
            tasks, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        return done_tasks

    def _hedge(
        self, state: callstate.CallState, tasks: set[asyncio.Task]
    ) -> None:
        if len(tasks) > 1 or not routes.may_repeat(state.route):
            return
        if state.may_have_run + len(tasks) >= state.route.max_attempts:
            return
        endpoint_state = self._choose_endpoint(state, only_untried=True)
        if endpoint_state is not None:
            # The attempt before may wait on a connection that died unnoticed.
            state.call = dataclasses.replace(state.call, avoids_idle=True)
            tasks.add(self._start_attempt(state, endpoint_state))

    def _choose_endpoint(
        self, state: callstate.CallState, only_untried: bool = False
    ) -> endpoints.EndpointState | None:
        return callstate.choose_endpoint(
            state,
            self.registry,
            self.permits,
            self.placer,
            only_untried,
        )

    def _start_attempt(
        self,
        state: callstate.CallState,
        endpoint_state: endpoints.EndpointState,
    ) -> asyncio.Task:
        state.tried.add(endpoint_state.endpoint.id)
        # The endpoint may be closing a pooled connection, so requests
        # that must not run twice use a new one.
        fresh = not routes.may_repeat(state.route)
        return asyncio.ensure_future(
            attempts.run_attempt(
                self.attempts,
                endpoint_state,
                state.call,
                state.give_up_at,
                fresh,
                state.fingerprint,
                callstate.get_work(state),
            )
        )

    def _process_results(
        self,
        state: callstate.CallState,
        done_tasks: abc.Iterable[asyncio.Task],
    ) -> outcomes.Outcome | None:
        for task in done_tasks:
            attempt = task.result()
            if attempt.reason == message.WITHDRAWN:
                callstate.record_withdrawal(state, attempt.endpoint_id)
                continue
            state.reason = attempt.reason or state.reason
            if attempt.reason == calls.UNREACHABLE:
                callstate.record_unreachable(state, attempt.endpoint_id)
                continue
            if attempt.not_run:
                callstate.record_refusal(state, attempt.endpoint_id)
                continue
            state.may_have_run += 1
            state.start.place(attempt.began_at)
            if attempt.outcome is None:
                continue
            if attempt.outcome.status < 500:
                self.quarantine.clear(
                    state.fingerprint, asyncio.get_running_loop().time()
                )
                return dataclasses.replace(
                    attempt.outcome, errors=state.errors
                )
            state.errors += 1
            state.last_error = attempt.outcome
        return None
