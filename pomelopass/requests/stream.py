"""Forward streamed answers, resumed on another endpoint where allowed."""

import asyncio
from collections import abc
import contextlib

from .. import answermemory
from .. import message
from . import answerbody
from . import call as calls
from . import callstate
from . import forward
from ..jobs import events
from ..origins import recorder as origins
from . import outcome as outcomes
from . import routes
from . import streamopen

__all__ = ['StreamForwarder']

# Callers disconnect after a pause of this length or so many target latencies.
MIN_CALLER_PAUSE_MS = 2000.0
CALLER_PAUSE_TARGETS = 4
# A resumable stream moves away from a silent endpoint before that.
RESUME_PAUSE_SHARE = 0.8
# Any other stream is aborted only after its caller has disconnected.
BREAK_PAUSE_SHARE = 1.25
EVENT_END = b'\n\n'


class StreamForwarder:
    """Forwards the events of streamed answers as they arrive."""

    def __init__(
        self,
        forwarder: forward.Forwarder,
        origin_recorder: origins.OriginRecorder,
        version_field: str,
    ):
        self.forwarder = forwarder
        self.opener = streamopen.StreamOpener(forwarder, origin_recorder)
        self.version_field = version_field

    async def open_stream(
        self, call: calls.Call, route: routes.Route
    ) -> outcomes.Outcome | message.Reply:
        """Return a reply whose events are still to come, or a failure."""
        open_deadline_at = routes.get_time_limit(route, call.deadline_at)
        stream = streamopen.Stream(
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
        stream.state.start = self.forwarder.start_book.open(call)
        opened = await self.opener.begin(stream, open_deadline_at)
        if isinstance(opened, outcomes.Outcome):
            self._log_end(stream, opened.kind.value, opened.status)
            return opened
        stream.status = opened.answer.status
        chunks = self._relay_stream(stream, opened)
        return message.Reply(
            opened.answer.status, opened.answer.headers, chunks=chunks
        )

    async def _relay_stream(
        self, stream: streamopen.Stream, opened: streamopen.OpenedStream
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
                    await self.opener.record_break(
                        stream,
                        opened.endpoint_state,
                        error.kind,
                        error.kind in message.DISCONNECT_KINDS,
                    )
                reopened = await self.opener.open(
                    stream, stream.state.give_up_at
                )
                if isinstance(reopened, outcomes.Outcome):
                    raise ConnectionResetError
                opened = reopened
        except (GeneratorExit, asyncio.CancelledError):
            outcome = 'caller-left'
            raise
        finally:
            self.opener.origins.end(stream.state.call.id)
            self._log_end(stream, outcome, stream.status)

    async def _relay_run(
        self, stream: streamopen.Stream, opened: streamopen.OpenedStream
    ) -> abc.AsyncGenerator[bytes, None]:
        loop = asyncio.get_running_loop()
        parser = events.EventParser(self.version_field, stream.last_event_id)
        pending = b''
        is_complete = False
        has_events = False
        opened_at = loop.time()
        received_bytes = 0
        stall_at = loop.time() + stream.stall_ms / 1000
        kept = self.forwarder.memory.open(
            opened.endpoint_state.endpoint.id, lambda: None
        )
        opened.endpoint_state.in_flight += 1
        try:
            async for chunk in opened.answer.reply.chunks:
                if not stream.has_begun:
                    # An endpoint has begun when its first event arrives.
                    stream.has_begun = True
                    stream.state.start.place(loop.time())
                received_bytes += len(chunk)
                if not stream.state.route.resumable:
                    yield chunk
                    continue
                # Pass on complete events only, so that another run can resume.
                complete_events, separator, pending = (
                    pending + chunk
                ).rpartition(EVENT_END)
                parsed_events = parser.feed(chunk)
                if parsed_events:
                    if not has_events and stream.last_event_id is None:
                        first_ms = (loop.time() - opened_at) * 1000
                        stream.state.prompt_ms = first_ms
                    has_events = True
                    stream.last_event_id = parsed_events[-1].id
                    stall_at = loop.time() + stream.stall_ms / 1000
                elif loop.time() >= stall_at:
                    # Bytes keep arriving, but no event.
                    raise message.ExchangeError(message.TIMEOUT, 1)
                kept.resize(len(pending) + len(parser.unread))
                if separator:
                    yield complete_events + separator
            may_be_cut = stream.state.route.resumable and not (
                has_events or calls.marks_its_end(opened.answer)
            )
            if pending or may_be_cut:
                raise message.ExchangeError('truncated', 1)
            is_complete = True
        except answermemory.AnswerDiscardedError:
            raise message.ExchangeError(answerbody.DISCARDED, 1) from None
        finally:
            opened.endpoint_state.in_flight -= 1
            self.forwarder.placer.record_answer(
                opened.endpoint_state,
                callstate.get_work(stream.state),
                None,
                received_bytes,
            )
            if not is_complete:
                await opened.answer.reply.close()

    def _log_end(
        self, stream: streamopen.Stream, outcome: str, status: int
    ) -> None:
        self.forwarder.write_event(
            callstate.make_ended_event(
                stream.state, outcome, status, stream.last_event_id
            )
        )


def _get_stall_timeout_ms(route: routes.Route) -> float:
    pause_ms = max(
        MIN_CALLER_PAUSE_MS, route.target_latency_ms * CALLER_PAUSE_TARGETS
    )
    share = RESUME_PAUSE_SHARE if route.resumable else BREAK_PAUSE_SHARE
    return pause_ms * share
