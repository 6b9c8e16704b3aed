"""Cut the links between one instance and the in-memory endpoints."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import enum

from pomelopass.entry import connecttimes
from pomelopass import message
from pomelopass.registry import endpoint as endpoints
from pomelopass.requests import call as calls
from pomelopass.versions import orders
from standins import modelengines

__all__ = ['CutKind', 'InstanceLinks']

# How long a connection attempt of an instance may take.
CONNECT_TIMEOUT_S = 0.15


class CutKind(enum.Enum):
    """What connections to endpoints do while the links are cut."""

    HANG = 'hang'
    RESET = 'reset'
    REFUSE = 'refuse'
    # Open connections live on while new ones are refused.
    LIVE_ON = 'live-on'


@dataclasses.dataclass(slots=True)
class _Use:
    """A request on its connection, and when bytes came last."""

    endpoint_id: str
    is_repeatable: bool
    received_at: float
    broken: asyncio.Future


class InstanceLinks:
    """Endpoint port of one instance over links that may be cut."""

    def __init__(
        self,
        pool: modelengines.EndpointPool,
        zone: str = 'north',
        times: connecttimes.ConnectTimes | None = None,
    ):
        self.pool = pool
        self.zone = zone
        self.times = times or connecttimes.ConnectTimes()
        # Zones to which new requests hang; open ones are answered.
        self.lost_zones: set[str] = set()
        self.cut: CutKind | None = None
        # Endpoints with idle connections, and those whose last one died.
        self.idle_ids: set[str] = set()
        self.dead_ids: set[str] = set()
        self.uses: list[_Use] = []
        self.last_received_at = float('-inf')
        self.connects: list[str] = []
        # How long a connection for an order takes to open.
        self.connect_s = 0.0
        self.on_leaving: abc.Callable[[endpoints.Endpoint], None] = (
            lambda target: None
        )

    def set_on_leaving(
        self, on_leaving: abc.Callable[[endpoints.Endpoint], None]
    ) -> None:
        """Set what is called for an endpoint that says that it leaves."""
        self.on_leaving = on_leaving

    @property
    def received_at(self) -> float:
        """Return when bytes came last from any endpoint."""
        return self.last_received_at

    async def open(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the answer's head and body stream; raise CallFailedError."""
        loop = asyncio.get_running_loop()
        use = _Use(target.id, not fresh, loop.time(), loop.create_future())
        self.uses.append(use)
        if self.cut in (CutKind.RESET, CutKind.REFUSE):
            # An idle connection shows that it was reset.
            self.idle_ids.clear()
        if target.availability_zone in self.lost_zones:
            self.idle_ids.discard(target.id)
        try:
            if fresh or call.avoids_idle or target.id not in self.idle_ids:
                await self._connect(target, timeout_ms)
            elif target.id in self.dead_ids:
                await self._wait_in_silence(use, timeout_ms, stall_ms)
            else:
                await self._pass_cut(use, timeout_ms, stall_ms)
            await self._pass_way(target)
            answer = await self.pool.open(target, call, timeout_ms, stall_ms)
            await self._pass_way(target)
            await self._pass_cut(use, timeout_ms, stall_ms)
        except message.ExchangeError as error:
            self.uses.remove(use)
            kind = 'reset' if error.kind == 'truncated' else error.kind
            raise calls.CallFailedError(kind, True) from None
        except BaseException:
            self.uses.remove(use)
            raise
        self._record_received(use)
        if answer.is_leaving:
            self.on_leaving(target)
        self.idle_ids.add(target.id)
        self.dead_ids.discard(target.id)
        chunks = answer.reply.chunks
        answer.reply.chunks = self._pass_chunks(use, chunks, stall_ms)
        return answer

    def sever(self) -> None:
        """Let the idle connections die without a reset; new ones work."""
        self.dead_ids = set(self.idle_ids)

    async def open_for_peer(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None,
    ) -> calls.Answer:
        """Carry a call of a peer, without a look at its answer."""
        await self._connect(target, timeout_ms)
        return await self.pool.open(target, call, timeout_ms, stall_ms)

    async def is_refused(self, target: endpoints.Endpoint) -> bool:
        """Return whether connections to an endpoint are refused."""
        if self.cut is None:
            return await self.pool.is_refused(target)
        await asyncio.sleep(0.002)
        return self.cut in (CutKind.REFUSE, CutKind.LIVE_ON)

    async def can_connect(self, target: endpoints.Endpoint) -> bool:
        """Return whether a connection to an endpoint opens."""
        try:
            await self._connect(target, CONNECT_TIMEOUT_S * 1000)
        except calls.CallFailedError:
            return False
        return self.pool.find(target.id).alive

    def get_silent_ids(self, silent_ms: float) -> set[str]:
        """Return the endpoints whose requests in flight are all silent."""
        now = asyncio.get_running_loop().time()
        return {
            use.endpoint_id
            for use in self.uses
            if (now - use.received_at) * 1000 >= silent_ms
        }

    def break_silent(
        self, target: endpoints.Endpoint, silent_ms: float
    ) -> None:
        """Abort the repeatable requests that received nothing for so long."""
        now = asyncio.get_running_loop().time()
        for use in self.uses:
            is_silent = (now - use.received_at) * 1000 >= silent_ms
            if (
                use.endpoint_id == target.id
                and use.is_repeatable
                and is_silent
                and not use.broken.done()
            ):
                use.broken.set_result(None)
        self.idle_ids.discard(target.id)

    async def fetch_report(
        self, target: endpoints.Endpoint
    ) -> orders.Report | None:
        """Return an engine's weight report, or None without an answer."""
        if self.cut is not None:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return None
        return await self.pool.fetch_report(target)

    async def order_version(
        self,
        target: endpoints.Endpoint,
        order: orders.VersionOrder,
        may_send: abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order an endpoint to load a weight version."""
        if self.cut is not None:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return orders.OrderOutcome.UNKNOWN
        await asyncio.sleep(self.connect_s)
        if not may_send():
            return orders.OrderOutcome.WITHDRAWN
        return await self.pool.order_version(target, order)

    def _record_received(self, use: _Use) -> None:
        use.received_at = asyncio.get_running_loop().time()
        self.last_received_at = use.received_at

    async def _connect(
        self, target: endpoints.Endpoint, timeout_ms: float
    ) -> None:
        self.connects.append(target.id)
        zone = target.availability_zone
        if zone in self.lost_zones:
            await asyncio.sleep(min(CONNECT_TIMEOUT_S, timeout_ms / 1000))
            raise calls.CallFailedError('connect-timeout', False)
        if self.cut in (CutKind.REFUSE, CutKind.LIVE_ON):
            await asyncio.sleep(0.002)
            raise calls.CallFailedError('connect-failed', False)
        if self.cut is not None:
            await asyncio.sleep(min(CONNECT_TIMEOUT_S, timeout_ms / 1000))
            raise calls.CallFailedError('connect-timeout', False)
        started_at = asyncio.get_running_loop().time()
        await self._pass_way(target)
        await self._pass_way(target)
        took_s = asyncio.get_running_loop().time() - started_at
        self.times.on_connected(target.address, took_s * 1000)

    async def _pass_way(self, target: endpoints.Endpoint) -> None:
        way_s = self.pool.draw_way_s(self.zone, target.availability_zone)
        if way_s:
            await asyncio.sleep(way_s)

    async def _pass_cut(
        self, use: _Use, timeout_ms: float, stall_ms: float | None
    ) -> None:
        """Fail as an open connection does if the links are cut."""
        if self.cut in (None, CutKind.LIVE_ON):
            return
        if self.cut is not CutKind.HANG:
            self.idle_ids.discard(use.endpoint_id)
            raise message.ExchangeError('truncated', 1)
        await self._wait_in_silence(use, timeout_ms, stall_ms)

    async def _wait_in_silence(
        self, use: _Use, timeout_ms: float, stall_ms: float | None
    ) -> None:
        wait_ms = min(timeout_ms, stall_ms or timeout_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await use.broken
                raise message.ExchangeError('truncated', 1)
        raise message.ExchangeError('timeout', 1)

    async def _pass_chunks(
        self,
        use: _Use,
        chunks: abc.AsyncGenerator[bytes, None],
        stall_ms: float | None,
    ) -> abc.AsyncGenerator[bytes, None]:
        try:
            async with contextlib.aclosing(chunks):
                async for chunk in chunks:
                    # A body without a stall limit ends with its request.
                    await self._pass_cut(use, 10_000.0, stall_ms)
                    self._record_received(use)
                    yield chunk
        finally:
            self.uses.remove(use)
