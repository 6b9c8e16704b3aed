"""Run model engines and plain services in memory for entry instances."""

import asyncio
from collections import abc
import dataclasses
import random

import orjson

from pomelopass import message
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import call as calls
from pomelopass.versions import orders
from standins import rowtable

__all__ = ['EndpointPool', 'FakeEndpoint']

EVENT_S = 0.03
LOAD_S = 0.9
WORK_S = 0.02
RESTART_S = 1.0
# An endpoint that runs this body crashes.
POISON = b'poison'
ENDPOINT_TABLE = 'servers'


@dataclasses.dataclass(slots=True)
class FakeEndpoint:
    """Hold the state of an engine or of a plain service."""

    id: str
    service: str
    slots: int = 8
    version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    checks_fences: bool = True
    alive: bool = True
    draining: bool = False
    slowness: float = 1.0
    running: int = 0
    # The model whose weights are being loaded; others go on.
    loading: str | None = None
    order_count: int = 0
    fence: int = 0
    error_share: float = 0.0
    error_status: int = 500
    break_share: float = 0.0
    # A broken stream ends as a whole one does, but inside an event.
    breaks_cleanly: bool = False
    lose_share: float = 0.0
    ran: list[str] = dataclasses.field(default_factory=list)
    accepted_orders: list[orders.VersionOrder] = dataclasses.field(
        default_factory=list
    )
    started_at_ms: int = 1
    address: str = '10.0.0.1:8000'


class EndpointPool:
    """Hold endpoints by id and serve calls to them."""

    def __init__(self, service: rowtable.RowService, rng: random.Random):
        self.service = service
        self.rng = rng
        self.endpoint_by_id: dict[str, FakeEndpoint] = {}
        self.events_by_item: dict[str, int] = {}

    def add(self, one: FakeEndpoint) -> FakeEndpoint:
        """Start an endpoint and register it."""
        self.endpoint_by_id[one.id] = one
        self.register(one)
        return one

    def register(self, one: FakeEndpoint) -> None:
        """Write the entry of an endpoint."""
        entry = {
            'service': one.service,
            'address': one.address,
            'zone': 'north',
            'slots': one.slots,
            'state': 'draining' if one.draining else 'ready',
            'seq': one.order_count,
            'born': one.started_at_ms,
            'models': [
                {'name': name, 'version': version}
                for name, version in one.version_by_model.items()
            ],
        }
        self.service.put(ENDPOINT_TABLE, one.id, orjson.dumps(entry))

    def crash(self, endpoint_id: str) -> None:
        """End an endpoint without a word; its entry goes."""
        self.endpoint_by_id[endpoint_id].alive = False
        self.service.remove(ENDPOINT_TABLE, endpoint_id)

    def crash_and_restart(self, endpoint_id: str) -> None:
        """End an endpoint that starts again by itself."""
        one = self.endpoint_by_id[endpoint_id]
        if one.alive:
            self.crash(endpoint_id)
            loop = asyncio.get_running_loop()
            loop.call_later(RESTART_S, self._restart, one)

    async def open(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the head of the answer; raise CallFailedError."""
        await asyncio.sleep(0.002)
        one = self.endpoint_by_id[target.id]
        if call.body == POISON and one.alive:
            one.ran.append(call.id)
            one.alive = False
            loop = asyncio.get_running_loop()
            loop.call_later(RESTART_S, self._restart, one)
            raise calls.CallFailedError('reset', True)
        if not one.alive:
            raise calls.CallFailedError('connect-failed', False)
        if one.running >= one.slots or (
            one.loading and one.loading == _get_model(call, one)
        ):
            return _make_answer(503, b'', not_run=True)
        one.ran.append(call.id)
        if self.rng.random() < one.error_share:
            return _make_answer(
                one.error_status, b'{}\n\n', signature=f's-{call.id}'
            )
        if one.version_by_model:
            return self._start_run(one, call, stall_ms)
        one.running += 1
        try:
            await asyncio.sleep(WORK_S * one.slowness)
        finally:
            one.running -= 1
        if self.rng.random() < one.lose_share:
            raise calls.CallFailedError('reset', True)
        return _make_answer(200, b'done', signature=f's-{call.id}')

    async def read(self, answer: calls.Answer, limit: int) -> bytes:
        """Return the whole body; raise CallFailedError."""
        try:
            return await answer.reply.read(limit)
        except message.ExchangeError as error:
            raise calls.CallFailedError(error.kind, True) from None

    async def is_refused(self, target: endpoints.Endpoint) -> bool:
        """Say whether nothing listens at an endpoint's address."""
        await asyncio.sleep(0.002)
        return not self.endpoint_by_id[target.id].alive

    async def fetch_report(
        self, target: endpoints.Endpoint
    ) -> orders.Report | None:
        """Return what an engine says of its weights, or None."""
        await asyncio.sleep(0.002)
        one = self.endpoint_by_id[target.id]
        if not one.alive:
            return None
        return orders.Report(
            dict(one.version_by_model),
            one.loading is not None,
            one.order_count,
        )

    async def order_version(
        self, target: endpoints.Endpoint, order: orders.VersionOrder
    ) -> orders.OrderOutcome:
        """Order an endpoint to a weight version."""
        await asyncio.sleep(0.002)
        one = self.endpoint_by_id[target.id]
        if not one.alive:
            return orders.OrderOutcome.UNKNOWN
        if one.checks_fences and order.fence < one.fence:
            return orders.OrderOutcome.FENCED
        if one.loading or order.expected_count != one.order_count:
            return orders.OrderOutcome.BUSY
        one.fence = order.fence
        one.order_count += 1
        one.accepted_orders.append(order)
        one.loading = order.model
        loop = asyncio.get_running_loop()
        loop.call_later(LOAD_S, self._end_load, one, order)
        return orders.OrderOutcome.ACCEPTED

    def _restart(self, one: FakeEndpoint) -> None:
        one.alive = True
        one.started_at_ms += 1
        self.register(one)

    def _end_load(self, one: FakeEndpoint, order: orders.VersionOrder) -> None:
        one.loading = None
        if one.alive:
            one.version_by_model[order.model] = order.version
            self.register(one)

    def _start_run(
        self, one: FakeEndpoint, call: calls.Call, stall_ms: float | None
    ) -> calls.Answer:
        first = int(call.last_event_id or 0) + 1
        answer = _make_answer(200, b'', signature=f's-{call.id}')
        model = _get_model(call, one)
        answer.weight_version = one.version_by_model[model]
        answer.reply.chunks = self._make_events(one, call, first, stall_ms)
        return answer

    async def _make_events(
        self,
        one: FakeEndpoint,
        call: calls.Call,
        first: int,
        stall_ms: float | None,
    ) -> abc.AsyncGenerator[bytes, None]:
        one.running += 1
        try:
            total = self.events_by_item.setdefault(
                call.id, self.rng.randint(2, 30)
            )
            breaks = self.rng.random() < one.break_share
            version = None
            for number in range(first, total + 1):
                pause_s = EVENT_S * one.slowness
                if stall_ms is not None and pause_s > stall_ms / 1000:
                    await asyncio.sleep(stall_ms / 1000)
                    raise message.ExchangeError('timeout', 1)
                await asyncio.sleep(pause_s)
                if not one.alive or (breaks and number > total // 2):
                    yield f'id: {number}\nda'.encode()
                    if one.breaks_cleanly:
                        return
                    raise message.ExchangeError('truncated', 1)
                now = one.version_by_model[_get_model(call, one)]
                line = ''
                if version is not None and now != version:
                    line = f'weight-versions: {now}\n'
                version = now
                event = f'{line}id: {number}\ndata: {call.id}.{number}\n\n'
                yield event.encode()
        finally:
            one.running -= 1


def _get_model(call: calls.Call, one: FakeEndpoint) -> str:
    first = next(iter(one.version_by_model))
    return message.find_header(call.headers, 'model') or first


def make_text(item_id: str, events: int) -> str:
    """Return the whole text of an item with so many events."""
    return '\n'.join(f'{item_id}.{one}' for one in range(1, events + 1))


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
