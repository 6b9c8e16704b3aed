"""Simulate the network between instances and stand-ins in one process."""

import asyncio
from collections import abc
import dataclasses
import random

from pomelopass import message

__all__ = ['Gate', 'MemoryHttp', 'MemoryNetwork', 'MemoryPeers']

REQUEST_BYTES = 256
Handler = abc.Callable[[message.Request], abc.Awaitable[message.Reply]]


@dataclasses.dataclass(slots=True)
class Gate:
    """Gate of an instance's network calls: open, closed (frozen) or dead."""

    open: asyncio.Event
    dead: bool = False

    async def wait(self) -> None:
        """Wait until the gate opens; never return if dead."""
        if self.dead:
            await asyncio.get_running_loop().create_future()
        await self.open.wait()


@dataclasses.dataclass(slots=True)
class MemoryNetwork:
    """Listeners, zones, latencies and injected network faults."""

    rng: random.Random
    near_ms: float = 0.5
    far_ms: float = 5.0
    loss: float = 0.0
    loss_delay_ms: float = 200.0
    handler_by_address: dict[str, Handler] = dataclasses.field(
        default_factory=dict
    )
    zone_by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    reset_after_write: dict[str, int] = dataclasses.field(default_factory=dict)
    lose_answer: dict[str, int] = dataclasses.field(default_factory=dict)
    # Connections accepted and reset by a listener whose process has ended.
    resets_after_exit: int = 0
    messages: int = 0

    def get_delay_s(self, source_zone: str, address: str) -> float:
        """Return the one-way delay, with occasional retransmission."""
        is_remote = self.zone_by_address.get(address) != source_zone
        delay_ms = self.far_ms if is_remote else self.near_ms
        delay_ms *= 0.75 + 0.5 * self.rng.random()
        if is_remote and self.rng.random() < self.loss:
            delay_ms += self.loss_delay_ms
        return delay_ms / 1000

    def is_cut(self, source: str, address: str) -> bool:
        """Return whether the source cannot reach the address."""
        pairs = ((source, address), (source, '*'), ('*', address))
        return any(pair in self.cut for pair in pairs)


class MemoryHttp:
    """Send an instance's requests over the simulated network."""

    def __init__(
        self, network: MemoryNetwork, source: str, zone: str, gate: Gate
    ):
        self.network = network
        self.source = source
        self.zone = zone
        self.gate = gate

    async def open(
        self,
        address: str,
        request: message.Request,
        timeout_ms: float,
        fresh: bool = False,
    ) -> message.OpenReply:
        """Return the reply's head and body stream; raise ExchangeError."""
        deadline = asyncio.get_running_loop().time() + timeout_ms / 1000
        await self.gate.wait()
        written_bytes = REQUEST_BYTES + len(request.body)
        try:
            async with asyncio.timeout_at(deadline):
                reply = await self._send(address, request, written_bytes)
        except TimeoutError:
            raise message.ExchangeError('timeout', written_bytes) from None
        await self.gate.wait()
        chunks = self._pass_chunks(reply, deadline, written_bytes)
        return message.OpenReply(
            reply.status, reply.headers, chunks, written_bytes
        )

    async def is_refused(self, address: str, timeout_ms: float) -> bool:
        """Return whether connections to an address are refused."""
        network = self.network
        await self.gate.wait()
        if network.is_cut(self.source, address):
            await asyncio.sleep(timeout_ms / 1000)
            return False
        while True:
            await asyncio.sleep(network.get_delay_s(self.zone, address) * 2)
            is_listening = address in network.handler_by_address
            if is_listening and address not in network.refused:
                return False
            if network.resets_after_exit == 0:
                return True
            network.resets_after_exit -= 1

    async def _send(
        self, address: str, request: message.Request, written_bytes: int
    ) -> message.Reply:
        network = self.network
        network.messages += 1
        delay_s = network.get_delay_s(self.zone, address)
        handler = network.handler_by_address.get(address)
        if handler is None or address in network.refused:
            await asyncio.sleep(delay_s)
            if network.resets_after_exit > 0:
                network.resets_after_exit -= 1
                raise message.ExchangeError('reset', written_bytes)
            raise message.ExchangeError('connect-failed', 0)
        if network.is_cut(self.source, address):
            await asyncio.sleep(1.0)
            raise message.ExchangeError('connect-timeout', 0)
        await asyncio.sleep(delay_s)
        if _take_fault(network.reset_after_write, address):
            raise message.ExchangeError('reset', written_bytes)
        try:
            # The handler keeps running when its caller gives up.
            reply = await asyncio.shield(
                asyncio.ensure_future(handler(request))
            )
        except OSError:
            raise message.ExchangeError('reset', written_bytes) from None
        await asyncio.sleep(delay_s)
        if _take_fault(network.lose_answer, address):
            raise message.ExchangeError('reset', written_bytes)
        if address in network.refused:
            raise message.ExchangeError('reset', written_bytes)
        return reply

    async def _pass_chunks(
        self, reply: message.Reply, deadline: float, written_bytes: int
    ) -> abc.AsyncGenerator[bytes, None]:
        if reply.chunks is None:
            yield reply.body
            return
        loop = asyncio.get_running_loop()
        try:
            async for chunk in reply.chunks:
                await self.gate.wait()
                if loop.time() > deadline:
                    raise message.ExchangeError('timeout', written_bytes)
                yield chunk
        except OSError:
            raise message.ExchangeError('truncated', written_bytes) from None
        finally:
            await reply.chunks.aclose()


class MemoryPeers:
    """Call the peer handlers of other instances."""

    def __init__(
        self, network: MemoryNetwork, source: str, zone: str, gate: Gate
    ):
        self.network = network
        self.source = source
        self.zone = zone
        self.gate = gate
        self.handler_by_address: dict[str, object] = {}
        self.gate_by_address: dict[str, Gate] = {}

    async def exchange(self, address: str, digest):
        """Exchange digests; return None if the peer does not answer."""
        return await self._call(address, 'exchange', digest)

    async def ask_claim(self, address: str, key: str, fingerprint: str):
        """Ask a key's owner about a claim; None if it does not answer."""
        return await self._call(address, 'ask_claim', key, fingerprint)

    async def _call(self, address: str, name: str, *arguments):
        await self.gate.wait()
        handler = self.handler_by_address.get(address)
        far_gate = self.gate_by_address.get(address)
        cut = self.network.is_cut(self.source, address)
        if handler is None or cut or not far_gate.open.is_set():
            await asyncio.sleep(1.0)
            await self.gate.wait()
            return None
        if far_gate.dead:
            return None
        delay_s = self.network.get_delay_s(self.zone, address)
        await asyncio.sleep(delay_s)
        answer = getattr(handler, name)(*arguments)
        await asyncio.sleep(delay_s)
        await self.gate.wait()
        return answer


def _take_fault(counts: dict[str, int], address: str) -> bool:
    count = counts.get(address, 0)
    if count > 0:
        counts[address] = count - 1
    return count > 0
