"""Forward streamed answers, resumed on another endpoint where allowed."""

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
from ..origins import origin
from ..origins import recorder as origins
from . import outcome as outcomes
from ..registry import endpoint as endpoints
from . import routes

__all__ = ['StreamForwarder']

# Callers disconnect after a pause of this length or so many target latencies.
MIN_CALLER_PAUSE_MS = 2000.0
CALLER_PAUSE_TARGETS = 4
# A resumable stream moves away from a silent endpoint before that.
RESUME_PAUSE_SHARE = 0.8
# Any other stream is aborted only after its caller has disconnected.
BREAK_PAUSE_SHARE = 1.25
EVENT_END = b'\n\n'
# An error's body is passed on only if it ends this soon.
ERROR_BODY_TIMEOUT_MS = 500.0


@dataclasses.dataclass(slots=True)
class _Stream:
    state: callstate.CallState
    stall_ms: float
    status: int = 0
    last_event_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenedStream:
    answer: calls.Answer
    endpoint_state: endpoints.EndpointState


class StreamForwarder:
    """Forwards the events of streamed answers as they arrive."""

    def __init__(
        self,
        forwarder: forward.Forwarder,
        origin_recorder: origins.OriginRecorder,
        version_field: str,
    ):
        self.forwarder = forwarder
        self.origins = origin_recorder
        self.version_field = version_field

    async def open_stream(
        self, call: calls.Call, route: routes.Route
    ) -> outcomes.Outcome | message.Reply:
        """Return a reply whose events are still to come, or a failure."""
        open_deadline_at = routes.get_time_limit(route, call.deadline_at)
        stream = _Stream(
            callstate.make_state(
                call,
                route,
                call.deadline_at or open_deadline_at,
                0.0,
                self.forwarder.rng,
            ),
            _get_stall_timeout_ms(route),
            last_event_id=call.last_event_id,
        )
        opened = await self._begin(stream, open_deadline_at)
        if isinstance(opened, outcomes.Outcome):
            self._log_end(stream, opened.kind.value, opened.status)
            return opened
        stream.status = opened.answer.status
        chunks = self._relay_stream(stream, opened)
        return message.Reply(
            opened.answer.status, opened.answer.headers, chunks=chunks
        )

    async def _begin(
        self, stream: _Stream, open_deadline_at: float
    ) -> outcomes.Outcome | _OpenedStream:
        """Open a stream at an endpoint that may begin it, or go on with it."""
        state = stream.state
        if not state.route.resumable:
            return await self._open(stream, open_deadline_at)
        if stream.last_event_id is not None:
            try:
                await self._bind_origin(state)
            except origins.OriginUnknownError:
                state.reason = 'origin-unknown'
                return callstate.get_final_outcome(state)
            return await self._open(stream, open_deadline_at)
        state.software = self.origins.get_required_software(state.service)
        opened = await self._open(stream, open_deadline_at)
        if isinstance(opened, outcomes.Outcome) or opened.answer.status != 200:
            return opened
        state.software = opened.endpoint_state.endpoint.software
        is_recorded = False
        try:
            is_recorded = await self.origins.record(
                state.call.id,
                origin.Origin(state.service, state.software),
                len(state.route.shares) == 1,
            )
        finally:
            if not is_recorded:
                await opened.answer.reply.close()
        if is_recorded:
            return opened
        # No event has reached the caller, who may ask again.
        state.reason = 'origin-not-stored'
        return callstate.get_final_outcome(state)

    async def _bind_origin(self, state: callstate.CallState) -> None:
        """Let only the software that began a stream go on with it."""
        began = await self.origins.find(
            state.call.resumes,
            [share.service for share in state.route.shares],
        )
        state.service = began.service
        state.software = began.software

    async def _open(
        self, stream: _Stream, open_deadline_at: float
    ) -> outcomes.Outcome | _OpenedStream:
        state = stream.state
        loop = asyncio.get_running_loop()
        capacity_deadline_at = callstate.get_capacity_deadline(state)
        while loop.time() < open_deadline_at and callstate.may_attempt(state):
            if self.forwarder.quarantine.is_quarantined(
                state.fingerprint, loop.time()
            ):
                state.reason = 'crashes-endpoints'
                break
            endpoint_state = callstate.choose_endpoint(
                state,
                self.forwarder.registry,
                self.forwarder.permits,
                self.forwarder.availability_zone,
            )
            if endpoint_state is None:
                if await callstate.wait_for_capacity(
                    state, capacity_deadline_at
                ):
                    continue
                break
            answer = await self._try_endpoint(stream, endpoint_state)
            if answer is not None:
                return _OpenedStream(answer, endpoint_state)
        return callstate.get_final_outcome(state)

    async def _try_endpoint(
        self, stream: _Stream, endpoint_state: endpoints.EndpointState
    ) -> calls.Answer | None:
        state = stream.state
        remaining_s = state.give_up_at - asyncio.get_running_loop().time()
        call = dataclasses.replace(
            state.call, last_event_id=stream.last_event_id
        )
        try:
            answer = await self.forwarder.port.open(
                endpoint_state.endpoint,
                call,
                remaining_s * 1000,
                stream.stall_ms,
                fresh=not routes.may_repeat(state.route),
            )
        except calls.CallFailedError as error:
            state.may_have_run += error.may_have_run
            await self._record_break(
                stream, endpoint_state, error.kind, error.connection_broken
            )
            return None
        if answer.not_run:
            await answer.reply.close()
            state.reason = 'endpoint-refused'
            callstate.record_refusal(state, endpoint_state.endpoint.id)
            return None
        state.may_have_run += 1
        state.tried.add(endpoint_state.endpoint.id)
        if stream.status and answer.status != stream.status:
            # The caller has already received another status.
            await answer.reply.close()
            state.reason = 'other-status'
            return None
        if answer.status < 500 or not routes.may_repeat(state.route):
            return answer
        await self._store_error(stream, answer)
        return None

    async def _store_error(
        self, stream: _Stream, answer: calls.Answer
    ) -> None:
        try:
            async with asyncio.timeout(ERROR_BODY_TIMEOUT_MS / 1000):
                body = await self.forwarder.port.read(
                    answer, attempts.MAX_ANSWER_BYTES
                )
        except (calls.CallFailedError, TimeoutError) as error:
            await answer.reply.close()
            stream.state.reason = getattr(error, 'kind', 'timeout')
            return
        stream.state.errors += 1
        stream.state.last_error = outcomes.make_answered_outcome(answer, body)

    async def _record_break(
        self,
        stream: _Stream,
        endpoint_state: endpoints.EndpointState,
        reason: str,
        connection_broken: bool,
    ) -> None:
        stream.state.reason = reason
        stream.state.tried.add(endpoint_state.endpoint.id)
        endpoints.record_failure(
            endpoint_state, asyncio.get_running_loop().time()
        )
        if connection_broken:
            await attempts.record_if_crashed(
                self.forwarder.attempts,
                endpoint_state,
                stream.state.fingerprint,
            )

    async def _relay_stream(
        self, stream: _Stream, opened: _OpenedStream
    ) -> abc.AsyncGenerator[bytes, None]:
        outcome = 'broken-off'
        try:
            while True:
                run = self._relay_run(stream, opened)
                try:
                    async with contextlib.aclosing(run):
                        async for chunk in run:
                            yield chunk
                    outcome = outcomes.OutcomeKind.ANSWERED.value
                    self.forwarder.quarantine.clear(
                        stream.state.fingerprint,
                        asyncio.get_running_loop().time(),
                    )
                    return
                except message.ExchangeError as error:
                    await self._record_break(
                        stream,
                        opened.endpoint_state,
                        error.kind,
                        error.kind in message.DISCONNECT_KINDS,
                    )
                reopened = await self._open(stream, stream.state.give_up_at)
                if isinstance(reopened, outcomes.Outcome):
                    raise ConnectionResetError
                opened = reopened
        except (GeneratorExit, asyncio.CancelledError):
            outcome = 'caller-left'
            raise
        finally:
            self.origins.end(stream.state.call.id)
            self._log_end(stream, outcome, stream.status)

    async def _relay_run(
        self, stream: _Stream, opened: _OpenedStream
    ) -> abc.AsyncGenerator[bytes, None]:
        loop = asyncio.get_running_loop()
        parser = events.EventParser(self.version_field, stream.last_event_id)
        pending = b''
        is_complete = False
        stall_at = loop.time() + stream.stall_ms / 1000
        opened.endpoint_state.in_flight += 1
        try:
            async for chunk in opened.answer.reply.chunks:
                if not stream.state.route.resumable:
                    yield chunk
                    continue
                # Pass on complete events only, so that another run can resume.
                complete_events, separator, pending = (
                    pending + chunk
                ).rpartition(EVENT_END)
                parsed_events = _parse_events(parser, chunk)
                if parsed_events:
                    stream.last_event_id = parsed_events[-1].id
                    stall_at = loop.time() + stream.stall_ms / 1000
                elif loop.time() >= stall_at:
                    # Bytes keep arriving, but no event.
                    raise message.ExchangeError('timeout', 1)
                if separator:
                    yield complete_events + separator
            if pending:
                raise message.ExchangeError('truncated', 1)
            is_complete = True
        finally:
            opened.endpoint_state.in_flight -= 1
            if not is_complete:
                await opened.answer.reply.close()

    def _log_end(self, stream: _Stream, outcome: str, status: int) -> None:
        self.forwarder.write_event(
            callstate.make_ended_event(
                stream.state, outcome, status, stream.last_event_id
            )
        )


def _parse_events(
    parser: events.EventParser, chunk: bytes
) -> list[events.Event]:
    try:
        return parser.feed(chunk)
    except events.BadEventError:
        # The stream's log line names the reason.
        raise message.ExchangeError('bad-event', 1) from None


def _get_stall_timeout_ms(route: routes.Route) -> float:
    pause_ms = max(
        MIN_CALLER_PAUSE_MS, route.target_latency_ms * CALLER_PAUSE_TARGETS
    )
    share = RESUME_PAUSE_SHARE if route.resumable else BREAK_PAUSE_SHARE
    return pause_ms * share
