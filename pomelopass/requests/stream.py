"""Carry the stream of one request, resumed elsewhere where allowed."""

import asyncio
from collections import abc
import dataclasses

from .. import message
from . import call as calls
from . import forward
from ..jobs import events
from . import outcome as outcomes
from ..registry import choice
from ..registry import endpoint as endpoints
from . import routes

__all__ = ['StreamForwarder']

STALL_MS = 2500.0
EVENT_END = b'\n\n'


@dataclasses.dataclass(slots=True)
class _Stream:
    call: calls.Call
    route: routes.Route
    service: str
    give_up_at: float
    sent: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)
    last_event_id: str | None = None


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
        call = dataclasses.replace(call, deadline_at=limit)
        service = routes.choose_service(route, self.forwarder.rng)
        stream = _Stream(call, route, service, limit)
        opened = await self._open(stream)
        if isinstance(opened, outcomes.Outcome):
            return opened
        answer, state = opened
        chunks = self._pass_on(stream, answer, state)
        return message.Reply(answer.status, answer.headers, chunks=chunks)

    async def _open(
        self, stream: _Stream
    ) -> outcomes.Outcome | tuple[calls.Answer, endpoints.EndpointState]:
        loop = asyncio.get_running_loop()
        ran = False
        refused: set[str] = set()
        while loop.time() < stream.give_up_at:
            states = self.forwarder.registry.get_by_service(stream.service)
            state = choice.choose_for_call(
                states,
                stream.avoid | refused,
                self.forwarder.availability_zone,
                loop.time(),
            )
            if state is None and not refused:
                break
            if state is None:
                refused.clear()
                await asyncio.sleep(forward.FULL_PAUSE_MS / 1000)
                continue
            call = dataclasses.replace(
                stream.call,
                last_event_id=stream.last_event_id
                or stream.call.last_event_id,
            )
            try:
                left_ms = (stream.give_up_at - loop.time()) * 1000
                answer = await self.forwarder.port.open(
                    state.endpoint,
                    call,
                    left_ms,
                    STALL_MS,
                    fresh=not stream.route.resumable,
                )
            except calls.CallFailedError as error:
                endpoints.note_failure(state, loop.time())
                stream.avoid.add(state.endpoint.id)
                ran = ran or error.may_have_run
                if ran and not self._may_repeat(stream):
                    break
                continue
            if not answer.not_run:
                stream.sent += 1
                return answer, state
            await answer.reply.close()
            refused.add(state.endpoint.id)
        kind = outcomes.OutcomeKind.NOT_RUN
        if ran:
            kind = outcomes.OutcomeKind.MAY_HAVE_RUN
        return outcomes.Outcome(
            kind,
            'no-endpoint',
            retry_after_ms=forward.NO_ENDPOINT_RETRY_MS,
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
        while True:
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
                    pending += chunk
                    whole, mark, rest = pending.rpartition(EVENT_END)
                    pending = rest
                    found = parser.feed(chunk)
                    if found:
                        stream.last_event_id = found[-1].id
                    if mark:
                        yield whole + mark
                if pending:
                    raise message.ExchangeError('truncated', 1)
                whole_stream = True
                return
            except message.ExchangeError:
                endpoints.note_failure(
                    state, asyncio.get_running_loop().time()
                )
                stream.avoid.add(state.endpoint.id)
                if not self._may_repeat(stream):
                    raise ConnectionResetError from None
            finally:
                state.in_flight -= 1
                if not whole_stream:
                    await answer.reply.close()
            opened = await self._open(stream)
            if isinstance(opened, outcomes.Outcome):
                raise ConnectionResetError
            answer, state = opened
