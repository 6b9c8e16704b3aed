"""Open resumable and other streams at endpoints that may run them."""

import asyncio
import dataclasses

from .. import message
from . import answerbody
from . import attempt as attempts
from . import call as calls
from . import callstate
from . import forward
from ..origins import origin
from ..origins import recorder as origins
from . import outcome as outcomes
from ..registry import endpoint as endpoints
from . import routes

__all__ = ['OpenedStream', 'Stream', 'StreamOpener']

# An error's body is passed on only if it ends this soon.
ERROR_BODY_TIMEOUT_MS = 500.0


def _is_success(status: int) -> bool:
    return 200 <= status < 300


class _ForeignStreamError(Exception):
    """Raised when a caller resumes a stream of another workspace."""


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream across the endpoints that run it."""

    state: callstate.CallState
    stall_ms: float
    status: int = 0
    last_event_id: str | None = None
    # Whether an endpoint sent the first event.
    has_begun: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedStream:
    """An answer whose events are still to come, and its endpoint."""

    answer: calls.Answer
    endpoint_state: endpoints.EndpointState


class StreamOpener:
    """Chooses endpoints for streams until one answers."""

    def __init__(
        self,
        forwarder: forward.Forwarder,
        origin_recorder: origins.OriginRecorder,
    ):
        self.forwarder = forwarder
        self.origins = origin_recorder

    async def begin(
        self, stream: Stream, open_deadline_at: float
    ) -> outcomes.Outcome | OpenedStream:
        """Open a stream at an endpoint that may begin or resume it."""
        state = stream.state
        if not state.route.resumable:
            return await self.open(stream, open_deadline_at)
        if stream.last_event_id is not None:
            try:
                await self._bind_origin(state)
            except origins.OriginUnknownError:
                state.reason = 'origin-unknown'
                return callstate.get_final_outcome(state)
            except _ForeignStreamError:
                return outcomes.Outcome(outcomes.OutcomeKind.FOREIGN)
            return await self.open(stream, open_deadline_at)
        state.software = self.origins.get_required_software(state.service)
        opened = await self.open(stream, open_deadline_at)
        if isinstance(opened, outcomes.Outcome) or opened.answer.status != 200:
            return opened
        state.software = opened.endpoint_state.endpoint.software
        is_recorded = False
        try:
            is_recorded = await self.origins.record(
                state.call.id,
                origin.Origin(
                    state.service, state.software, state.call.workspace
                ),
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
        """Let only the software that began a stream resume it.

        Raise OriginUnknownError, or _ForeignStreamError if the stream belongs
        to another workspace.
        """
        began = await self.origins.find(
            state.call.resumes,
            [share.service for share in state.route.shares],
        )
        call = state.call
        if call.drops_credentials and (
            began.workspace not in ('', call.workspace)
        ):
            raise _ForeignStreamError
        state.service = began.service
        state.software = began.software

    async def open(
        self, stream: Stream, open_deadline_at: float
    ) -> outcomes.Outcome | OpenedStream:
        """Return the answer of an endpoint that runs the stream."""
        state = stream.state
        loop = asyncio.get_running_loop()
        capacity_deadline_at = callstate.get_capacity_deadline(state)
        while loop.time() < open_deadline_at and callstate.may_attempt(state):
            if self.forwarder.quarantine.is_quarantined(
                state.fingerprint, loop.time()
            ):
                state.reason = 'crashes-endpoints'
                break
            if not callstate.may_send(state):
                state.reason = message.WITHDRAWN
                break
            endpoint_state = callstate.choose_endpoint(
                state,
                self.forwarder.registry,
                self.forwarder.permits,
                self.forwarder.placer,
            )
            if endpoint_state is None:
                if await callstate.wait_for_capacity(
                    state, capacity_deadline_at
                ):
                    continue
                break
            answer = await self._try_endpoint(stream, endpoint_state)
            if answer is None:
                continue
            if _is_success(answer.status):
                return OpenedStream(answer, endpoint_state)
            await self._store_error(stream, answer, endpoint_state.endpoint.id)
            if answer.status < 500:
                break
        return callstate.get_final_outcome(state)

    async def _try_endpoint(
        self, stream: Stream, endpoint_state: endpoints.EndpointState
    ) -> calls.Answer | None:
        state = stream.state
        remaining_s = state.give_up_at - asyncio.get_running_loop().time()
        sent_at = asyncio.get_running_loop().time()
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
            if error.kind == message.WITHDRAWN:
                callstate.record_withdrawal(state, endpoint_state.endpoint.id)
                return None
            if error.may_have_run:
                self._place_start(stream, sent_at)
            if error.kind == calls.RESTARTED:
                # Its new entry decides whether it may resume the stream.
                state.reason = error.kind
                callstate.record_refusal(state, endpoint_state.endpoint.id)
                return None
            await self.record_break(
                stream, endpoint_state, error.kind, error.connection_broken
            )
            return None
        if answer.not_run:
            await answer.reply.close()
            state.reason = 'endpoint-refused'
            callstate.record_refusal(state, endpoint_state.endpoint.id)
            return None
        state.may_have_run += 1
        self._place_start(stream, asyncio.get_running_loop().time())
        state.tried.add(endpoint_state.endpoint.id)
        if _is_success(answer.status) and answer.signature is None:
            await answer.reply.close()
            await self.record_break(
                stream, endpoint_state, 'no-signature', False
            )
            return None
        if stream.status and answer.status != stream.status:
            # The caller has already received another status.
            await answer.reply.close()
            state.reason = 'other-status'
            return None
        return answer

    def _place_start(self, stream: Stream, at: float) -> None:
        """Record that an endpoint may have begun, before its first event."""
        if not stream.has_begun:
            stream.state.start.place(at)

    async def _store_error(
        self, stream: Stream, answer: calls.Answer, owner: str
    ) -> None:
        try:
            async with asyncio.timeout(ERROR_BODY_TIMEOUT_MS / 1000):
                body, kept = await answerbody.read_body(
                    answer, self.forwarder.memory, owner
                )
        except (calls.CallFailedError, TimeoutError) as error:
            await answer.reply.close()
            stream.state.reason = getattr(error, 'kind', 'timeout')
            return
        stream.state.errors += 1
        stream.state.last_error = outcomes.make_answered_outcome(
            answer, body, kept
        )

    async def record_break(
        self,
        stream: Stream,
        endpoint_state: endpoints.EndpointState,
        reason: str,
        connection_broken: bool,
    ) -> None:
        """Record that an endpoint broke a stream off."""
        stream.state.reason = reason
        if reason == message.TIMEOUT:
            stream.state.call = dataclasses.replace(
                stream.state.call, avoids_idle=True
            )
        stream.state.tried.add(endpoint_state.endpoint.id)
        if stream.last_event_id is not None:
            stream.state.cache_zone = endpoint_state.endpoint.availability_zone
        if reason == calls.UNREACHABLE:
            callstate.record_unreachable(
                stream.state, endpoint_state.endpoint.id
            )
        attempts.record_failure(endpoint_state, reason)
        if connection_broken:
            await attempts.record_if_crashed(
                self.forwarder.attempts,
                endpoint_state,
                stream.state.fingerprint,
            )
