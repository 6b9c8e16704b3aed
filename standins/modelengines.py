"""Simulate model engines and plain services for entry instances."""

import asyncio
import collections
from collections import abc
import dataclasses
import random

import orjson

from pomelopass import message
from pomelopass.platform import endpointclient
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import call as calls
from pomelopass.versions import orders
from standins import endlessbodies
from standins import rowtable

__all__ = ['EndpointPool', 'FakeEndpoint']

EVENT_S = 0.03
LOAD_S = 0.9
WORK_S = 0.02
REPORT_S = 0.002
RESTART_S = 1.0
MAX_RECEIVED = 10_000
# An endpoint that runs this body crashes.
POISON = b'poison'
ENDPOINT_TABLE = 'servers'


@dataclasses.dataclass(slots=True)
class FakeEndpoint:
    """State and injected faults of an engine or a plain service."""

    id: str
    service: str
    slots: int = 8
    version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    checks_fences: bool = True
    load_s: float = LOAD_S
    report_s: float = REPORT_S
    alive: bool = True
    draining: bool = False
    # Whether its answers say that it leaves, whatever its entry says.
    says_leaving: bool = False
    slowness: float = 1.0
    running: int = 0
    # The model whose weights are being loaded; other models keep serving.
    loading: str | None = None
    order_count: int = 0
    fence: int = 0
    error_share: float = 0.0
    error_status: int = 500
    error_body: bytes = b'{}\n\n'
    break_share: float = 0.0
    # A broken stream ends without a transport error, but inside an event.
    breaks_cleanly: bool = False
    # Share of runs whose connection closes in order before the first event.
    ends_at_once_share: float = 0.0
    lose_share: float = 0.0
    # Requests a second that the endpoint names as its limit.
    limit_per_s: float | None = None
    # Times at which requests, reports and orders arrived.
    arrivals: list[float] = dataclasses.field(default_factory=list)
    ran: list[str] = dataclasses.field(default_factory=list)
    accepted_orders: list[orders.VersionOrder] = dataclasses.field(
        default_factory=list
    )
    # Event loop times of the accepted orders, in seconds.
    ordered_at: list[float] = dataclasses.field(default_factory=list)
    started_at_ms: int = 1
    address: str = '10.0.0.1:8000'
    availability_zone: str = 'north'
    # Plain services: time of a request by the first part of its path.
    work_s_by_path: dict[str, float] = dataclasses.field(default_factory=dict)
    # Requests that may wait for a slot; others are refused. Without any, the
    # endpoint reports no load.
    queue: int = 0
    waiting: int = 0
    answer_bytes: int = 4
    # Whether the end of a stream differs from a lost connection.
    marks_end: bool = False
    free: asyncio.Semaphore | None = None
    # Version of the software, which marks the events that it writes.
    software: str = ''
    # Where bytes come without end until the caller closes, by name.
    endless: str | None = None
    endless_bytes: int = 0
    availability_zone: str = 'north'
    is_spot: bool = False
    # Id and headers of the newest requests.
    received: collections.deque[tuple[str, message.Headers]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=MAX_RECEIVED)
        )
    )


class EndpointPool:
    """Endpoints by id; serves calls to them."""

    def __init__(self, service: rowtable.RowService, rng: random.Random):
        self.service = service
        self.rng = rng
        self.endpoint_by_id: dict[str, FakeEndpoint] = {}
        self.events_by_item: dict[str, int] = {}
        # One way between zones in seconds, and its share that varies.
        self.way_s = 0.0
        self.way_jitter = 0.0
        self.way_factor_by_zone: dict[str, float] = {}
        # Endpoints crash by bad luck while they begin to run these ids.
        self.crashes_left_by_id: dict[str, int] = {}
        self.run_times_by_id: dict[str, list[float]] = {}
        # Number of the first event of each run, by id.
        self.first_events_by_id: dict[str, list[int]] = {}

    def add(self, endpoint: FakeEndpoint) -> FakeEndpoint:
        """Start an endpoint and register it."""
        self.endpoint_by_id[endpoint.id] = endpoint
        self.register(endpoint)
        return endpoint

    def register(self, endpoint: FakeEndpoint) -> None:
        """Write an endpoint's registration row."""
        entry = {
            'service': endpoint.service,
            'address': endpoint.address,
            'zone': endpoint.availability_zone,
            'slots': endpoint.slots,
            'state': 'draining' if endpoint.draining else 'ready',
            'seq': endpoint.order_count,
            'born': endpoint.started_at_ms,
            'version': endpoint.software,
            'models': [
                {'name': name, 'version': version}
                for name, version in endpoint.version_by_model.items()
            ],
        }
        if endpoint.is_spot:
            entry['spot'] = True
        self.service.put(ENDPOINT_TABLE, endpoint.id, orjson.dumps(entry))

    def draw_way_s(self, zone: str, other: str) -> float:
        """Return the time of one way between two zones."""
        if zone == other or not self.way_s:
            return 0.0
        factor = max(
            self.way_factor_by_zone.get(zone, 1.0),
            self.way_factor_by_zone.get(other, 1.0),
        )
        jitter = 1.0 + self.way_jitter * self.rng.random()
        return self.way_s * factor * jitter

    def crash(self, endpoint_id: str) -> None:
        """End an endpoint without draining and remove its row."""
        self.endpoint_by_id[endpoint_id].alive = False
        self.service.remove(ENDPOINT_TABLE, endpoint_id)

    def crash_and_restart(self, endpoint_id: str) -> None:
        """Crash an endpoint and restart it after RESTART_S seconds."""
        endpoint = self.endpoint_by_id[endpoint_id]
        if endpoint.alive:
            self.crash(endpoint_id)
            loop = asyncio.get_running_loop()
            loop.call_later(RESTART_S, self._restart, endpoint)

    def find(self, endpoint_id: str) -> FakeEndpoint:
        """Return an endpoint, or a dead one for an unknown id."""
        endpoint = self.endpoint_by_id.get(endpoint_id)
        return endpoint or FakeEndpoint(endpoint_id, '', alive=False)

    async def open(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the answer's head and body stream; raise CallFailedError."""
        await asyncio.sleep(0.002)
        endpoint = self.find(target.id)
        self._count_arrival(endpoint)
        if (
            call.last_event_id is not None
            and endpoint.alive
            and target.started_at_ms != endpoint.started_at_ms
        ):
            raise calls.CallFailedError(calls.RESTARTED, False)
        if call.grant is not None and not call.grant.may_send():
            raise calls.CallFailedError(message.WITHDRAWN, False)
        if endpoint.alive:
            headers = endpointclient.make_headers(target, call)
            endpoint.received.append((call.id, headers))
        answer = await self._answer(endpoint, call, stall_ms)
        answer.limit_per_s = endpoint.limit_per_s
        answer.is_leaving = endpoint.says_leaving
        return answer

    async def _answer(
        self,
        endpoint: FakeEndpoint,
        call: calls.Call,
        stall_ms: float | None,
    ) -> calls.Answer:
        if endpoint.alive and call.id in self.crashes_left_by_id:
            loop = asyncio.get_running_loop()
            self.run_times_by_id.setdefault(call.id, []).append(loop.time())
        if endpoint.alive and self._crashes(call):
            endpoint.ran.append(call.id)
            endpoint.alive = False
            loop = asyncio.get_running_loop()
            loop.call_later(RESTART_S, self._restart, endpoint)
            raise calls.CallFailedError('reset', True)
        if not endpoint.alive:
            raise calls.CallFailedError('connect-failed', False)
        if endpoint.queue:
            return await self._serve_queued(endpoint, call)
        if endpoint.running >= endpoint.slots or (
            endpoint.loading and endpoint.loading == _get_model(call, endpoint)
        ):
            return _make_answer(503, b'', not_run=True)
        endpoint.ran.append(call.id)
        if endpoint.endless is not None:
            return _make_endless_answer(endpoint, call)
        if self.rng.random() < endpoint.error_share:
            return _make_answer(
                endpoint.error_status,
                endpoint.error_body,
                signature=f's-{call.id}',
            )
        if endpoint.version_by_model:
            return self._start_run(endpoint, call, stall_ms)
        endpoint.running += 1
        try:
            await asyncio.sleep(WORK_S * endpoint.slowness)
        finally:
            endpoint.running -= 1
        if self.rng.random() < endpoint.lose_share:
            raise calls.CallFailedError('reset', True)
        return _make_answer(200, b'done', signature=f's-{call.id}')

    async def _serve_queued(
        self, endpoint: FakeEndpoint, call: calls.Call
    ) -> calls.Answer:
        """Run a request of a plain service once a slot is free."""
        if endpoint.waiting >= endpoint.queue:
            return _make_answer(503, b'', not_run=True)
        if endpoint.free is None:
            endpoint.free = asyncio.Semaphore(endpoint.slots)
        endpoint.waiting += 1
        try:
            await endpoint.free.acquire()
        finally:
            endpoint.waiting -= 1
        endpoint.running += 1
        endpoint.ran.append(call.id)
        try:
            path = call.target.split('/')[1]
            work_s = endpoint.work_s_by_path.get(path, WORK_S)
            await asyncio.sleep(work_s * endpoint.slowness)
        finally:
            endpoint.running -= 1
            endpoint.free.release()
        answer = _make_answer(
            200, b'x' * endpoint.answer_bytes, signature=f's-{call.id}'
        )
        answer.load = endpoints.LoadReport(
            endpoint.running, endpoint.waiting, endpoint.slots
        )
        return answer

    async def is_refused(self, target: endpoints.Endpoint) -> bool:
        """Return whether connections to an endpoint are refused."""
        await asyncio.sleep(0.002)
        return not self.find(target.id).alive

    async def fetch_report(
        self, target: endpoints.Endpoint
    ) -> orders.Report | None:
        """Return an engine's weight report, or None without an answer."""
        endpoint = self.find(target.id)
        await asyncio.sleep(endpoint.report_s)
        self._count_arrival(endpoint)
        if not endpoint.alive:
            return None
        return orders.Report(
            dict(endpoint.version_by_model),
            endpoint.loading is not None,
            endpoint.order_count,
        )

    async def order_version(
        self, target: endpoints.Endpoint, order: orders.VersionOrder
    ) -> orders.OrderOutcome:
        """Order an endpoint to load a weight version."""
        await asyncio.sleep(0.002)
        endpoint = self.find(target.id)
        self._count_arrival(endpoint)
        if not endpoint.alive:
            return orders.OrderOutcome.UNKNOWN
        if endpoint.checks_fences and order.fence < endpoint.fence:
            return orders.OrderOutcome.FENCED
        if endpoint.loading or order.expected_count != endpoint.order_count:
            return orders.OrderOutcome.BUSY
        endpoint.fence = order.fence
        endpoint.order_count += 1
        endpoint.accepted_orders.append(order)
        endpoint.loading = order.model
        loop = asyncio.get_running_loop()
        endpoint.ordered_at.append(loop.time())
        loop.call_later(endpoint.load_s, self._end_load, endpoint, order)
        return orders.OrderOutcome.ACCEPTED

    def _crashes(self, call: calls.Call) -> bool:
        if self.crashes_left_by_id.get(call.id, 0) > 0:
            self.crashes_left_by_id[call.id] -= 1
            return True
        return call.body == POISON

    def _count_arrival(self, endpoint: FakeEndpoint) -> None:
        if endpoint.alive:
            endpoint.arrivals.append(asyncio.get_running_loop().time())

    def _restart(self, endpoint: FakeEndpoint) -> None:
        endpoint.alive = True
        endpoint.started_at_ms += 1
        self.register(endpoint)

    def _end_load(
        self, endpoint: FakeEndpoint, order: orders.VersionOrder
    ) -> None:
        endpoint.loading = None
        if endpoint.alive:
            endpoint.version_by_model[order.model] = order.version
            self.register(endpoint)

    def _start_run(
        self, endpoint: FakeEndpoint, call: calls.Call, stall_ms: float | None
    ) -> calls.Answer:
        first = int(call.last_event_id or 0) + 1
        self.first_events_by_id.setdefault(call.id, []).append(first)
        answer = _make_answer(200, b'', signature=f's-{call.id}')
        model = _get_model(call, endpoint)
        answer.weight_version = endpoint.version_by_model[model]
        if endpoint.marks_end:
            answer.reply.headers = (('transfer-encoding', 'chunked'),)
        answer.reply.chunks = self._make_events(
            endpoint, call, first, stall_ms
        )
        return answer

    async def _make_events(
        self,
        endpoint: FakeEndpoint,
        call: calls.Call,
        first: int,
        stall_ms: float | None,
    ) -> abc.AsyncGenerator[bytes, None]:
        endpoint.running += 1
        # A stream that its caller resumes has the text of its first request.
        text_id = (
            message.find_header(call.headers, 'stream-text')
            or message.find_header(call.headers, 'resumes')
            or call.id
        )
        try:
            total = self.events_by_item.setdefault(
                text_id, self.rng.randint(2, 30)
            )
            breaks = self.rng.random() < endpoint.break_share
            version = None
            if (
                endpoint.ends_at_once_share
                and self.rng.random() < endpoint.ends_at_once_share
            ):
                return
            for number in range(first, total + 1):
                pause_s = EVENT_S * endpoint.slowness
                if stall_ms is not None and pause_s > stall_ms / 1000:
                    await asyncio.sleep(stall_ms / 1000)
                    raise message.ExchangeError('timeout', 1)
                await asyncio.sleep(pause_s)
                if not endpoint.alive or (breaks and number > total // 2):
                    yield f'id: {number}\nda'.encode()
                    if endpoint.breaks_cleanly:
                        return
                    raise message.ExchangeError('truncated', 1)
                current_version = endpoint.version_by_model[
                    _get_model(call, endpoint)
                ]
                version_line = ''
                if version is not None and current_version != version:
                    version_line = f'weight-versions: {current_version}\n'
                version = current_version
                data = make_event_data(text_id, number, endpoint.software)
                event = f'{version_line}id: {number}\ndata: {data}\n\n'
                yield event.encode()
        finally:
            endpoint.running -= 1


def _get_model(call: calls.Call, endpoint: FakeEndpoint) -> str:
    first = next(iter(endpoint.version_by_model))
    return message.find_header(call.headers, 'model') or first


def make_event_data(text_id: str, number: int, software: str = '') -> str:
    """Return the data of an event, with the software that wrote it."""
    return f'{text_id}.{number}{"@" if software else ""}{software}'


def make_text(item_id: str, events: int, software: str = '') -> str:
    """Return the complete text of an item with a number of events."""
    return '\n'.join(
        make_event_data(item_id, number, software)
        for number in range(1, events + 1)
    )


def _make_endless_answer(
    endpoint: FakeEndpoint, call: calls.Call
) -> calls.Answer:
    body = endlessbodies.ENDLESS[endpoint.endless]

    async def make_chunks() -> abc.AsyncGenerator[bytes, None]:
        number = int(call.last_event_id or 0)
        while True:
            number += 1
            await asyncio.sleep(body.pause_s)
            piece = body.make_piece(number)
            endpoint.endless_bytes += len(piece)
            yield piece

    answer = _make_answer(
        body.status, b'', body.not_run, None if body.not_run else call.id
    )
    answer.reply.chunks = make_chunks()
    return answer


def _make_answer(
    status: int,
    body: bytes,
    not_run: bool = False,
    signature: str | None = None,
) -> calls.Answer:
    async def make_chunks() -> abc.AsyncGenerator[bytes, None]:
        yield body

    reply = message.OpenReply(status, (), make_chunks(), 1)
    return calls.Answer(status, (), not_run, signature, None, None, reply)
