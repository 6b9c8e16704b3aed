"""Call the platform's API for duties of one instance at a time."""

import asyncio
from collections import abc
import contextlib

import orjson

from .. import message
from ..edges import httpclient
from ..leadership import outcome as outcomes
from . import names
from ..scaling import order as orders
from ..usage import report as reports

__all__ = ['DutyClient']

# A former holder's call ends before its successor's first one: the successor
# waits for longer than the end of the grant and this time.
CALL_TIMEOUT_MS = 2000
MAX_REPLY_BYTES = 65_536
# Share of the platform's rate limit that is used. When a subject changes its
# holder, both holders may call within one second.
RATE_SHARE = 0.8
USAGE_SUBJECT = 'usage'
# Statuses with which the platform guarantees that the call was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

MaySend = abc.Callable[[], bool]


class DutyClient:
    """Client that keeps one call in flight for each subject.

    The rate of calls is that of all subjects and instances together; each
    subject gets an equal share of it, which only its holder uses.
    """

    def __init__(
        self,
        http: httpclient.HttpClient,
        address: str,
        calls_per_s: float,
        fences_are_checked: bool,
    ):
        self.http = http
        self.address = address
        self.calls_per_s = calls_per_s
        self.fences_are_checked = fences_are_checked
        self.subject_count = 1
        self.next_call_at_by_subject: dict[str, float] = {}
        self.subjects_in_flight: set[str] = set()

    def set_subject_count(self, count: int) -> None:
        """Set among how many subjects of all duties the rate is shared."""
        self.subject_count = max(count, 1)

    def encode_report(
        self, window: int, counts: abc.Mapping[str, int]
    ) -> bytes:
        """Return the body of the report of a window."""
        return orjson.dumps(
            {'window_id': window, 'counts': counts},
            option=orjson.OPT_SORT_KEYS,
        )

    async def report_usage(
        self,
        report: reports.Report,
        holder: str,
        fence: int,
        may_send: MaySend,
    ) -> outcomes.DutyOutcome:
        """Send the report of a window unless may_send forbids it by then."""
        return await self._call(
            USAGE_SUBJECT,
            names.USAGE_PATH,
            report.body,
            holder,
            fence,
            may_send,
        )

    async def order_engines(
        self,
        order: orders.EngineOrder,
        holder: str,
        fence: int,
        may_send: MaySend,
    ) -> outcomes.DutyOutcome:
        """Order a number of engines unless may_send forbids it by then."""
        content = {
            'service': order.service,
            'zone': order.availability_zone,
            'target_groups': order.count,
        }
        if order.is_spot:
            content['spot'] = True
        return await self._call(
            order.subject,
            names.SCALING_PATH,
            orjson.dumps(content),
            holder,
            fence,
            may_send,
        )

    async def _call(
        self,
        subject: str,
        path: str,
        body: bytes,
        holder: str,
        fence: int,
        may_send: MaySend,
    ) -> outcomes.DutyOutcome:
        request = message.Request(
            'POST',
            path,
            (
                ('content-type', 'application/json'),
                (names.DUTY_HOLDER, holder),
                (names.FENCE_TOKEN, str(fence)),
            ),
            body,
        )
        if subject in self.subjects_in_flight:
            return outcomes.DutyOutcome.WITHDRAWN
        self.subjects_in_flight.add(subject)
        try:
            await self._wait_for_turn(subject)
            return await self._send(request, may_send)
        finally:
            self.subjects_in_flight.discard(subject)

    async def _wait_for_turn(self, subject: str) -> None:
        now = asyncio.get_running_loop().time()
        turn_at = max(now, self.next_call_at_by_subject.get(subject, now))
        interval_s = self.subject_count / (self.calls_per_s * RATE_SHARE)
        self.next_call_at_by_subject[subject] = turn_at + interval_s
        await asyncio.sleep(turn_at - now)

    async def _send(
        self, request: message.Request, may_send: MaySend
    ) -> outcomes.DutyOutcome:
        try:
            # On a pooled connection that the server has closed, the outcome
            # would be needlessly unknown.
            reply = await self.http.open(
                self.address,
                request,
                CALL_TIMEOUT_MS,
                fresh=True,
                may_send=may_send,
            )
        except message.ExchangeError as error:
            if error.kind == message.WITHDRAWN:
                return outcomes.DutyOutcome.WITHDRAWN
            if not error.bytes_written:
                return outcomes.DutyOutcome.UNREACHABLE
            return outcomes.DutyOutcome.UNKNOWN
        # The status decides, also if the body is cut.
        with contextlib.suppress(message.ExchangeError):
            await reply.read(MAX_REPLY_BYTES)
        return self._get_outcome(reply.status)

    def _get_outcome(self, status: int) -> outcomes.DutyOutcome:
        if status == 200:
            return outcomes.DutyOutcome.ACCEPTED
        if status == 409 and self.fences_are_checked:
            return outcomes.DutyOutcome.FENCED
        if status == 409:
            return outcomes.DutyOutcome.UNAVAILABLE
        if status in NOT_RUN_STATUSES:
            return outcomes.DutyOutcome.BUSY
        return outcomes.DutyOutcome.UNKNOWN
