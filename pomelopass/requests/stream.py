"""Carry the stream of one request, resumed elsewhere where allowed."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from .. import message
from . import attempt as attempts
from . import call as calls
from . import forward
from ..jobs import events
from . import outcome as outcomes
from ..registry import choice
from ..registry import endpoint as endpoints
from ..reporting import logevents
from . import routes
from . import suspects as suspicions

__all__ = ['StreamForwarder']

STALL_MS = 2500.0
EVENT_END = b'\n\n'


@dataclasses.dataclass(slots=True)
class _Stream:
    call: calls.Call
    route: routes.Route
    service: str
    give_up_at: float
    fingerprint: str
    began_at: float
    status: int = 0
    may_have_run: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    last_event_id: str | None = None
    reason: str = ''


class StreamForwarder:
    """Pass events on as they arrive."""

    def __init__(self, forwarder: forward.Forwarder, version_field: str):
        self.forwarder = forwarder
        self.version_field = version_field

    async def open_stream(
        self, call: calls.Call, route: routes.Route
    ) -> outcomes.Outcome | message.Reply:
        """Return the reply whose events are still to come, or a failure."""
        now = asyncio.get_running_loop().time()
        limit = call.deadline_at or now + route.timeout_ms / 1000
        stream = _Stream(
            dataclasses.replace(call, deadline_at=limit),
            route,
            routes.choose_service(route, self.forwarder.rng),
            limit,
            suspicions.get_fingerprint(call),
            now,
        )
        opened = await self._open(stream)
        if isinstance(opened, outcomes.Outcome):
            self._tell(stream, opened.kind.value)
            return opened
        answer, state = opened
        chunks = self._pass_on(stream, answer, state)
        return message.Reply(answer.status, answer.headers, chunks=chunks)

    async def _open(
        self, stream: _Stream
    ) -> outcomes.Outcome | tuple[calls.Answer, endpoints.EndpointState]:
        loop = asyncio.get_running_loop()
        left = stream.give_up_at - loop.time()
        full_until = loop.time() + left * forward.FULL_WAIT_SHARE
        while loop.time() < stream.give_up_at:
            suspects = self.forwarder.suspects
            if suspects.is_stopped(stream.fingerprint, loop.time()):
                stream.reason = 'crashes-endpoints'
                break
            state = self._choose(stream)
            if state is None:
                if not stream.refused or loop.time() >= full_until:
                    break
                stream.refused.clear()
                await asyncio.sleep(forward.FULL_PAUSE_MS / 1000)
                continue
            answer = await self._try_endpoint(stream, state)
            if answer is not None:
                return answer, state
            if stream.may_have_run and not self._may_repeat(stream):
                break
        return _make_failure(stream)

    def _choose(self, stream: _Stream) -> endpoints.EndpointState | None:
        return choice.choose_for_call(
            self.forwarder.registry.get_by_service(stream.service),
            stream.avoid | stream.refused,
            self.forwarder.availability_zone,
            asyncio.get_running_loop().time(),
        )

    async def _try_endpoint(
        self, stream: _Stream, state: endpoints.EndpointState
    ) -> calls.Answer | None:
        left = stream.give_up_at - asyncio.get_running_loop().time()
        call = dataclasses.replace(
            stream.call,
            last_event_id=stream.last_event_id or stream.call.last_event_id,
        )
        try:
            answer = await self.forwarder.port.open(
                state.endpoint,
                call,
                left * 1000,
                STALL_MS,
                fresh=not stream.route.resumable,
            )
        except calls.CallFailedError as error:
            stream.may_have_run += error.may_have_run
            await self._note_break(stream, state, error.kind, error.broke_off)
            return None
        if not answer.not_run:
            stream.may_have_run += 1
            stream.tried.add(state.endpoint.id)
            stream.status = answer.status
            return answer
        await answer.reply.close()
        stream.reason = 'endpoint-refused'
        stream.refused.add(state.endpoint.id)
        stream.refused_by.add(state.endpoint.id)
        return None

    async def _note_break(
        self,
        stream: _Stream,
        state: endpoints.EndpointState,
        reason: str,
        broke_off: bool,
    ) -> None:
        stream.reason = reason
        stream.avoid.add(state.endpoint.id)
        stream.tried.add(state.endpoint.id)
        endpoints.note_failure(state, asyncio.get_running_loop().time())
        if broke_off:
            await attempts.judge_break(
                self.forwarder.attempts, state, stream.fingerprint
            )

    def _may_repeat(self, stream: _Stream) -> bool:
        route = stream.route
        return route.resumable and len(stream.avoid) < route.max_attempts

    async def _pass_on(
        self,
        stream: _Stream,
        answer: calls.Answer,
        state: endpoints.EndpointState,
    ) -> abc.AsyncGenerator[bytes, None]:
        outcome = 'broken-off'
        try:
            while True:
                run = self._pass_run(stream, answer, state)
                try:
                    async with contextlib.aclosing(run):
                        async for chunk in run:
                            yield chunk
                    outcome = outcomes.OutcomeKind.ANSWERED.value
                    self.forwarder.suspects.note_answered(stream.fingerprint)
                    return
                except message.ExchangeError as error:
                    broke_off = error.kind in message.BREAK_KINDS
                    await self._note_break(
                        stream, state, error.kind, broke_off
                    )
                if not self._may_repeat(stream):
                    raise ConnectionResetError
                opened = await self._open(stream)
                if isinstance(opened, outcomes.Outcome):
                    raise ConnectionResetError
                answer, state = opened
        except (GeneratorExit, asyncio.CancelledError):
            outcome = 'caller-left'
            raise
        finally:
            self._tell(stream, outcome)

    async def _pass_run(
        self,
        stream: _Stream,
        answer: calls.Answer,
        state: endpoints.EndpointState,
    ) -> abc.AsyncGenerator[bytes, None]:
        parser = events.EventParser(self.version_field)
        pending = b''
        whole_stream = False
        state.in_flight += 1
        try:
            async for chunk in answer.reply.chunks:
                if not stream.route.resumable:
                    yield chunk
                    continue
                # Only whole events, so that another run can go on.
                whole, mark, pending = (pending + chunk).rpartition(EVENT_END)
                found = parser.feed(chunk)
                if found:
                    stream.last_event_id = found[-1].id
                if mark:
                    yield whole + mark
            if pending:
                raise message.ExchangeError('truncated', 1)
            whole_stream = True
        finally:
            state.in_flight -= 1
            if not whole_stream:
                await answer.reply.close()

    def _tell(self, stream: _Stream, outcome: str) -> None:
        now = asyncio.get_running_loop().time()
        self.forwarder.write_event(
            logevents.RequestEnded(
                id=stream.call.id,
                route=stream.route.name,
                outcome=outcome,
                status=stream.status,
                reason=stream.reason,
                endpoints=sorted(stream.tried),
                refused_by=sorted(stream.refused_by),
                may_have_run=stream.may_have_run,
                last_event_id=stream.last_event_id,
                took_ms=round((now - stream.began_at) * 1000, 1),
            )
        )


def _make_failure(stream: _Stream) -> outcomes.Outcome:
    kind = outcomes.OutcomeKind.NOT_RUN
    if stream.may_have_run:
        kind = outcomes.OutcomeKind.MAY_HAVE_RUN
    return outcomes.Outcome(
        kind,
        stream.reason or 'no-endpoint',
        retry_after_ms=forward.NO_ENDPOINT_RETRY_MS,
    )
