"""Serve the platform's API for duties, with faults and a record of calls."""

import asyncio
from collections import abc
import dataclasses

import orjson

from pomelopass import message

__all__ = ['DutyApi', 'DutyCall', 'DutyLinks']

ANSWER_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class DutyCall:
    """A call as it was executed, and whether its token was refused."""

    at: float
    subject: str
    holder: str
    fence: int
    body: bytes
    is_refused: bool


@dataclasses.dataclass(slots=True)
class DutyApi:
    """The API of a platform; times are seconds of the event loop."""

    duties: tuple[str, ...] = ('usage_report',)
    checks_fences: bool = True
    lease_s: float = 3.0
    # Answered with 503.
    down: bool = False
    # The answers of so many calls are lost; the calls are executed.
    lost_answers: int = 0
    # So many calls get no answer and are executed that much later.
    late_calls: int = 0
    late_s: float = 5.0
    # Zones and whether spot: orders of more get 409.
    unavailable: set[tuple[str, bool]] = dataclasses.field(default_factory=set)
    # Called with the zone, whether spot, and the number of engines ordered.
    on_order: abc.Callable[[str, bool, int], None] = (
        lambda zone, is_spot, count: None
    )
    calls: list[DutyCall] = dataclasses.field(default_factory=list)
    fence_by_subject: dict[str, int] = dataclasses.field(default_factory=dict)
    # First body accepted for each window of usage.
    body_by_window: dict[int, bytes] = dataclasses.field(default_factory=dict)
    reported_at_by_window: dict[int, float] = dataclasses.field(
        default_factory=dict
    )

    def execute(self, request: message.Request) -> int:
        """Execute a call and return the status of its answer."""
        content = orjson.loads(request.body)
        headers = dict(request.headers)
        subject = 'usage'
        if request.target == '/scale':
            subject = f'{content["service"]}/{content["zone"]}'
        fence = int(headers['fence-token'])
        highest = self.fence_by_subject.get(subject, 0)
        is_refused = self.checks_fences and fence < highest
        now = asyncio.get_running_loop().time()
        self.calls.append(
            DutyCall(
                now,
                subject,
                headers['duty-holder'],
                fence,
                request.body,
                is_refused,
            )
        )
        if is_refused:
            return 409
        self.fence_by_subject[subject] = max(fence, highest)
        if request.target == '/usage':
            window = content['window_id']
            self.body_by_window.setdefault(window, request.body)
            self.reported_at_by_window.setdefault(window, now)
            return 200
        is_spot = content.get('spot', False)
        if (content['zone'], is_spot) in self.unavailable:
            return 409
        self.on_order(content['zone'], is_spot, content['target_groups'])
        return 200

    async def handle(self, request: message.Request) -> message.Reply:
        """Answer a call over HTTP; without an answer, close."""
        await asyncio.sleep(ANSWER_S)
        if self.down:
            return message.Reply(503)
        if self.late_calls:
            self.late_calls -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self.execute, request)
            raise ConnectionResetError
        status = self.execute(request)
        if self.lost_answers:
            self.lost_answers -= 1
            raise ConnectionResetError
        return message.Reply(status)

    def get_counts(self) -> dict[int, dict[str, int]]:
        """Return the reported counts by window."""
        return {
            window: orjson.loads(body)['counts']
            for window, body in self.body_by_window.items()
        }

    def find_violations(self) -> list[str]:
        """Return what must never happen and did."""
        return [
            *self._find_other_reports(),
            *self._find_shared_tokens(),
            *self._find_alternations(),
            *self._find_repeated_tokens(),
            *([] if self.checks_fences else self._find_lower_tokens()),
        ]

    def _find_other_reports(self) -> abc.Iterator[str]:
        for call in self.calls:
            if call.subject != 'usage' or call.is_refused:
                continue
            window = orjson.loads(call.body)['window_id']
            if self.body_by_window[window] != call.body:
                yield f'window {window} was reported with other counts'

    def _find_shared_tokens(self) -> abc.Iterator[str]:
        holder_by_token: dict[tuple[str, int], str] = {}
        for call in self.calls:
            token = (call.subject, call.fence)
            if holder_by_token.setdefault(token, call.holder) != call.holder:
                yield f'two holders sent token {call.fence}'

    def _find_alternations(self) -> abc.Iterator[str]:
        last_at: dict[tuple[str, str], float] = {}
        previous: dict[str, str] = {}
        for call in self.calls:
            if call.is_refused:
                continue
            key = (call.subject, call.holder)
            has_changed = previous.get(call.subject) != call.holder
            since_s = call.at - last_at.get(key, float('-inf'))
            if has_changed and since_s < self.lease_s:
                yield f'{call.holder} acted again within the lease'
            previous[call.subject] = call.holder
            last_at[key] = call.at

    def _find_repeated_tokens(self) -> abc.Iterator[str]:
        refused: set[tuple[str, str, int]] = set()
        for call in self.calls:
            token = (call.subject, call.holder, call.fence)
            if token in refused:
                yield f'{call.holder} used token {call.fence} again'
            if call.is_refused:
                refused.add(token)

    def _find_lower_tokens(self) -> abc.Iterator[str]:
        highest: dict[str, int] = {}
        for call in self.calls:
            if call.fence < highest.get(call.subject, 0):
                yield f'token {call.fence} came after a higher one'
            highest[call.subject] = max(
                call.fence, highest.get(call.subject, 0)
            )


@dataclasses.dataclass(slots=True)
class DutyLinks:
    """HTTP client of one instance to the API, without a network."""

    api: DutyApi
    # How long a connection takes to open.
    connect_s: float = 0.0
    is_cut: bool = False
    # Set when a connection is asked for.
    was_opened: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    async def open(
        self,
        address: str,
        request: message.Request,
        timeout_ms: float,
        fresh: bool = False,
        may_send: abc.Callable[[], bool] = lambda: True,
    ) -> message.OpenReply:
        """Send a request, return the response head; raise ExchangeError."""
        self.was_opened.set()
        await asyncio.sleep(self.connect_s)
        if self.is_cut:
            raise message.ExchangeError('connect-failed', 0)
        if not may_send():
            raise message.ExchangeError(message.WITHDRAWN, 0)
        try:
            reply = await self.api.handle(request)
        except ConnectionResetError:
            await asyncio.sleep(timeout_ms / 1000)
            raise message.ExchangeError(
                message.TIMEOUT, len(request.body)
            ) from None
        return message.OpenReply(reply.status, (), _make_chunks(), 1)


async def _make_chunks() -> abc.AsyncGenerator[bytes, None]:
    yield b''
