"""Carry the stream of one request, resumed elsewhere where allowed."""

import asyncio
from collections import abc
import contextlib
import dataclasses

from .. import message
from . import attempt as attempts
from . import call as calls
from . import callstate
from . import forward
from ..jobs import events
from . import outcome as outcomes
from ..registry import endpoint as endpoints
from . import routes

__all__ = ['StreamForwarder']

# Callers leave after a pause of this length, or of so many aims.
CALLER_PAUSE_MS = 2000.0
CALLER_PAUSE_AIMS = 4
# A stream that may go on elsewhere leaves a silent endpoint before that.
RESUME_SHARE = 0.8
# Any other is broken off only after its caller must have left.
BREAK_SHARE = 1.25
EVENT_END = b'\n\n'


@dataclasses.dataclass(slots=True)
class _Stream:
    state: callstate.CallState
    stall_ms: float
    status: int = 0
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Opened:
    answer: calls.Answer
    chosen: endpoints.EndpointState


class StreamForwarder:
    """Pass events on as they arrive."""

    def __init__(self, forwarder: forward.Forwarder, version_field: str):
        self.forwarder = forwarder
        self.version_field = version_field

    async def open_stream(
        self, call: calls.Call, route: routes.Route
    ) -> outcomes.Outcome | message.Reply:
        """Return the reply whose events are still to come, or a failure."""
        open_until = routes.get_time_limit(route, call.deadline_at)
        stream = _Stream(
            callstate.begin(
                call,
                route,
                call.deadline_at or open_until,
                0.0,
                self.forwarder.rng,
            ),
            _get_stall_ms(route),
            last_event_id=call.last_event_id,
        )
        opened = await self._open(stream, open_until)
        if isinstance(opened, outcomes.Outcome):
            self._tell(stream, opened.kind.value, opened.status)
            return opened
        stream.status = opened.answer.status
        chunks = self._pass_on(stream, opened)
        return message.Reply(
            opened.answer.status, opened.answer.headers, chunks=chunks
        )

    async def _open(
        self, stream: _Stream, open_until: float
    ) -> outcomes.Outcome | _Opened:
        state = stream.state
        loop = asyncio.get_running_loop()
        full_until = callstate.get_full_until(state)
        while loop.time() < open_until and callstate.may_try(state):
            if self.forwarder.quarantine.is_quarantined(
                state.fingerprint, loop.time()
            ):
                state.reason = 'crashes-endpoints'
                break
            chosen = callstate.choose(
                state,
                self.forwarder.registry,
                self.forwarder.availability_zone,
            )
            if chosen is None:
                if await callstate.wait_for_room(state, full_until):
                    continue
                break
            answer = await self._try_endpoint(stream, chosen)
            if answer is not None:
                return _Opened(answer, chosen)
        return callstate.give_up(state)

    async def _try_endpoint(
        self, stream: _Stream, chosen: endpoints.EndpointState
    ) -> calls.Answer | None:
        state = stream.state
        left_s = state.give_up_at - asyncio.get_running_loop().time()
        call = dataclasses.replace(
            state.call, last_event_id=stream.last_event_id
        )
        try:
            answer = await self.forwarder.port.open(
                chosen.endpoint,
                call,
                left_s * 1000,
                stream.stall_ms,
                fresh=not routes.may_repeat(state.route),
            )
        except calls.CallFailedError as error:
            state.may_have_run += error.may_have_run
            await self._note_break(stream, chosen, error.kind, error.broke_off)
            return None
        if answer.not_run:
            await answer.reply.close()
            state.reason = 'endpoint-refused'
            callstate.record_refusal(state, chosen.endpoint.id)
            return None
        state.may_have_run += 1
        state.tried.add(chosen.endpoint.id)
        if stream.status and answer.status != stream.status:
            # What the caller has already begun to read can't turn into this.
            await answer.reply.close()
            state.reason = 'other-status'
            return None
        if answer.status < 500 or not routes.may_repeat(state.route):
            return answer
        await self._keep_error(stream, answer)
        return None

    async def _keep_error(self, stream: _Stream, answer: calls.Answer) -> None:
        try:
            body = await self.forwarder.port.read(
                answer, attempts.MAX_ANSWER_BYTES
            )
        except calls.CallFailedError as error:
            stream.state.reason = error.kind
            return
        stream.state.errors += 1
        stream.state.last = outcomes.make_answered(answer, body)

    async def _note_break(
        self,
        stream: _Stream,
        chosen: endpoints.EndpointState,
        reason: str,
        broke_off: bool,
    ) -> None:
        stream.state.reason = reason
        stream.state.tried.add(chosen.endpoint.id)
        endpoints.record_failure(chosen, asyncio.get_running_loop().time())
        if broke_off:
            await attempts.judge_break(
                self.forwarder.attempts, chosen, stream.state.fingerprint
            )

    async def _pass_on(
        self, stream: _Stream, opened: _Opened
    ) -> abc.AsyncGenerator[bytes, None]:
        outcome = 'broken-off'
        try:
            while True:
                run = self._pass_run(stream, opened)
                try:
                    async with contextlib.aclosing(run):
                        async for chunk in run:
                            yield chunk
                    outcome = outcomes.OutcomeKind.ANSWERED.value
                    self.forwarder.quarantine.note_answered(
                        stream.state.fingerprint
                    )
                    return
                except message.ExchangeError as error:
                    await self._note_break(
                        stream,
                        opened.chosen,
                        error.kind,
                        error.kind in message.BREAK_KINDS,
                    )
                again = await self._open(stream, stream.state.give_up_at)
                if isinstance(again, outcomes.Outcome):
                    raise ConnectionResetError
                opened = again
        except (GeneratorExit, asyncio.CancelledError):
            outcome = 'caller-left'
            raise
        finally:
            self._tell(stream, outcome, stream.status)

    async def _pass_run(
        self, stream: _Stream, opened: _Opened
    ) -> abc.AsyncGenerator[bytes, None]:
        parser = events.EventParser(self.version_field)
        pending = b''
        whole_stream = False
        opened.chosen.in_flight += 1
        try:
            async for chunk in opened.answer.reply.chunks:
                if not stream.state.route.resumable:
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
            opened.chosen.in_flight -= 1
            if not whole_stream:
                await opened.answer.reply.close()

    def _tell(self, stream: _Stream, outcome: str, status: int) -> None:
        self.forwarder.write_event(
            callstate.make_event(
                stream.state, outcome, status, stream.last_event_id
            )
        )


def _get_stall_ms(route: routes.Route) -> float:
    pause_ms = max(
        CALLER_PAUSE_MS, route.target_latency_ms * CALLER_PAUSE_AIMS
    )
    share = RESUME_SHARE if route.resumable else BREAK_SHARE
    return pause_ms * share
