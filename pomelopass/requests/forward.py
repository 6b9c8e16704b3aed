"""Carry one request to endpoints until one gives a whole answer."""

import asyncio
from collections import abc
import dataclasses
import random

from . import attempt as attempts
from . import call as calls
from . import outcome as outcomes
from ..registry import choice
from ..registry import endpoint as endpoints
from ..registry import registry as registries
from ..reporting import logevents
from . import routes
from . import suspects as suspicions

__all__ = ['Forwarder']

# Part of the aim after which a second endpoint is asked as well.
HEDGE_SHARE = 0.45
MIN_HEDGE_MS = 60.0
# Pause after all endpoints refused, so that their queues can move.
FULL_PAUSE_MS = 25.0
# Part of the time left that a request waits while all endpoints refuse.
FULL_WAIT_SHARE = 0.6
NO_ENDPOINT_RETRY_MS = 500.0
# Time kept back for the answer to reach the caller before it gives up.
ANSWER_MARGIN_MS = 25.0


@dataclasses.dataclass(slots=True)
class _Progress:
    call: calls.Call
    route: routes.Route
    service: str
    give_up_at: float
    fingerprint: str
    may_have_run: int = 0
    errors: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    # All that refused it, also before the last pause.
    refused_by: set[str] = dataclasses.field(default_factory=set)
    last: outcomes.Outcome | None = None
    reason: str = ''


class Forwarder:
    """Send requests to the endpoints of their route's service."""

    def __init__(
        self,
        registry: registries.Registry,
        port: calls.EndpointPort,
        availability_zone: str,
        rng: random.Random,
        write_event: logevents.WriteEvent,
        suspects: suspicions.Suspects,
    ):
        self.suspects = suspects
        self.attempts = attempts.AttemptContext(port, suspects, write_event)
        self.registry = registry
        self.port = port
        self.availability_zone = availability_zone
        self.rng = rng
        self.write_event = write_event

    async def forward(
        self, call: calls.Call, route: routes.Route
    ) -> outcomes.Outcome:
        """Return the answer to a request that is not streamed."""
        now = asyncio.get_running_loop().time()
        limit = now + route.timeout_ms / 1000
        if call.deadline_at is not None:
            limit = min(limit, call.deadline_at)
        call = dataclasses.replace(call, deadline_at=limit)
        service = routes.choose_service(route, self.rng)
        give_up_at = limit - ANSWER_MARGIN_MS / 1000
        fingerprint = suspicions.get_fingerprint(call)
        progress = _Progress(call, route, service, give_up_at, fingerprint)
        outcome = await self._run(progress)
        self._tell(progress, outcome, now)
        return outcome

    async def _run(self, progress: _Progress) -> outcomes.Outcome:
        now = asyncio.get_running_loop().time()
        full_until = now + (progress.give_up_at - now) * FULL_WAIT_SHARE
        idempotent = progress.route.repeat is routes.Repeat.IDEMPOTENT
        tasks: set[asyncio.Task] = set()
        try:
            while True:
                now = asyncio.get_running_loop().time()
                if now >= progress.give_up_at:
                    return self._give_up(progress, bool(tasks))
                if self.suspects.is_stopped(progress.fingerprint, now):
                    progress.reason = 'crashes-endpoints'
                    return self._give_up(progress, False)
                if not tasks:
                    state = self._choose(progress)
                    if state is None and progress.refused:
                        if now >= full_until:
                            return self._give_up(progress, False)
                        progress.refused.clear()
                        await asyncio.sleep(FULL_PAUSE_MS / 1000)
                        continue
                    if state is None:
                        return self._give_up(progress, False)
                    tasks.add(self._start(progress, state))
                wait_s = self._get_wait_s(progress, tasks, idempotent, now)
                done, _ = await asyncio.wait(
                    tasks,
                    timeout=wait_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                tasks -= done
                outcome = self._take(progress, done)
                if outcome is not None:
                    return outcome
                if not done and len(tasks) == 1 and idempotent:
                    self._hedge(progress, tasks)
                if not tasks and not self._may_go_on(progress, idempotent):
                    return self._give_up(progress, False)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _get_wait_s(
        self,
        progress: _Progress,
        tasks: set[asyncio.Task],
        idempotent: bool,
        now: float,
    ) -> float:
        left = progress.give_up_at - now
        if not idempotent or len(tasks) > 1:
            return left
        hedge_ms = max(progress.route.aim_ms * HEDGE_SHARE, MIN_HEDGE_MS)
        return min(left, hedge_ms / 1000)

    def _hedge(self, progress: _Progress, tasks: set[asyncio.Task]) -> None:
        sent = progress.may_have_run + len(tasks)
        if sent >= progress.route.max_attempts:
            return
        state = self._choose(progress)
        if state is not None and state.endpoint.id not in progress.tried:
            tasks.add(self._start(progress, state))

    def _may_go_on(self, progress: _Progress, idempotent: bool) -> bool:
        if not idempotent:
            return progress.may_have_run == 0
        return progress.may_have_run < progress.route.max_attempts

    def _choose(self, progress: _Progress) -> endpoints.EndpointState | None:
        now = asyncio.get_running_loop().time()
        states = self.registry.get_by_service(progress.service)
        fresh = progress.tried | progress.refused
        found = choice.choose_for_call(
            states, fresh, self.availability_zone, now
        )
        if found is None and not progress.refused:
            # Each endpoint failed once; another try is still allowed.
            found = choice.choose_for_call(
                states, (), self.availability_zone, now
            )
        return found

    def _start(
        self, progress: _Progress, state: endpoints.EndpointState
    ) -> asyncio.Task:
        progress.tried.add(state.endpoint.id)
        # A kept connection may just be closing; what must not run twice
        # does not take that chance.
        fresh = progress.route.repeat is not routes.Repeat.IDEMPOTENT
        return asyncio.ensure_future(
            attempts.run_attempt(
                self.attempts,
                state,
                progress.call,
                progress.give_up_at,
                fresh,
                progress.fingerprint,
            )
        )

    def _take(
        self, progress: _Progress, done: abc.Iterable[asyncio.Task]
    ) -> outcomes.Outcome | None:
        for task in done:
            attempt = task.result()
            progress.reason = attempt.reason or progress.reason
            if attempt.not_run:
                progress.tried.discard(attempt.endpoint_id)
                progress.refused.add(attempt.endpoint_id)
                progress.refused_by.add(attempt.endpoint_id)
                continue
            progress.may_have_run += 1
            if attempt.outcome is None:
                continue
            if attempt.outcome.status < 500:
                self.suspects.note_answered(progress.fingerprint)
                return dataclasses.replace(
                    attempt.outcome, errors=progress.errors
                )
            progress.errors += 1
            progress.last = attempt.outcome
        return None

    def _give_up(self, progress: _Progress, pending: bool) -> outcomes.Outcome:
        if progress.last is not None:
            return dataclasses.replace(progress.last, errors=progress.errors)
        timed_out = progress.reason == 'timeout' and progress.may_have_run
        if pending or timed_out:
            return outcomes.Outcome(outcomes.OutcomeKind.TIMED_OUT, 'timeout')
        if progress.may_have_run:
            return outcomes.Outcome(
                outcomes.OutcomeKind.MAY_HAVE_RUN, progress.reason
            )
        return outcomes.Outcome(
            outcomes.OutcomeKind.NOT_RUN,
            progress.reason or 'no-endpoint',
            retry_after_ms=NO_ENDPOINT_RETRY_MS,
        )

    def _tell(
        self, progress: _Progress, outcome: outcomes.Outcome, began: float
    ) -> None:
        took_ms = (asyncio.get_running_loop().time() - began) * 1000
        self.write_event(
            logevents.RequestEnded(
                id=progress.call.id,
                route=progress.route.name,
                outcome=outcome.kind.value,
                status=outcome.status,
                reason=outcome.reason,
                endpoints=sorted(progress.tried),
                refused_by=sorted(progress.refused_by),
                may_have_run=progress.may_have_run,
                took_ms=round(took_ms, 1),
            )
        )
