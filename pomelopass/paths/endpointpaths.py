"""Send calls to endpoints over own links, or over those of a peer."""

import asyncio
from collections import abc

from .. import message
from . import book as books
from ..fleet import member
from . import peers as peerbooks
from . import ports
from ..registry import endpoint as endpoints
from ..requests import call as calls
from . import search as searches
from ..versions import orders
from . import watch as watches

__all__ = ['EndpointPaths']

CONNECT_KINDS = ('connect-timeout', 'connect-failed')
MIN_TIMEOUT_MS = 1.0
MAX_REPORTED = 4096


class EndpointPaths:
    """Endpoint port that falls back to peers while own links fail.

    A call goes to a peer only while it is certain that no endpoint received
    it. The peer opens the connection and adds no decision of its own.
    """

    def __init__(
        self,
        direct: ports.DirectPort,
        peer_port: ports.PeerPort,
        book: books.PathBook,
        watch: watches.PathWatch,
        search: searches.PeerSearch,
    ):
        self.direct = direct
        self.peer_port = peer_port
        self.book = book
        self.watch = watch
        self.search = search
        self.peer_book = search.peer_book
        # Name of the peer that carried the last call, by endpoint id.
        self.carrier_by_id: dict[str, str] = {}
        self.reported: set[tuple[str, str, int]] = set()
        self.reports: set[asyncio.Task] = set()

    async def open(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the answer once its head arrived; raise CallFailedError."""
        deadline = asyncio.get_running_loop().time() + timeout_ms / 1000
        kind = calls.UNREACHABLE
        self.watch.wake()
        if not self.book.needs_peer(target.id):
            try:
                return await self._open_directly(
                    target, call, timeout_ms, stall_ms, fresh
                )
            except calls.CallFailedError as error:
                if error.kind not in CONNECT_KINDS or error.may_have_run:
                    raise
                kind = error.kind
        for peer in self._choose_peers(target):
            answer = await self._open_over_peer(
                peer, target, call, deadline, stall_ms, fresh
            )
            if answer is not None:
                return answer
        if self.book.is_cut_off:
            kind = calls.UNREACHABLE
        raise calls.CallFailedError(kind, False)

    async def _open_directly(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None,
        fresh: bool,
    ) -> calls.Answer:
        try:
            answer = await self.direct.open(
                target, call, timeout_ms, stall_ms, fresh
            )
        except calls.CallFailedError as error:
            if error.kind in CONNECT_KINDS and not error.may_have_run:
                self.book.record_failure(target.id)
            raise
        self.book.record_reached(target.id)
        return answer

    async def _open_over_peer(
        self,
        peer: member.Member,
        target: endpoints.Endpoint,
        call: calls.Call,
        deadline: float,
        stall_ms: float | None,
        fresh: bool,
    ) -> calls.Answer | None:
        """Return the answer, or None if nothing reached the endpoint."""
        remaining_ms = (deadline - asyncio.get_running_loop().time()) * 1000
        if remaining_ms < MIN_TIMEOUT_MS:
            return None
        try:
            answer = await self.peer_port.open(
                peer, target, call, remaining_ms, stall_ms, fresh
            )
        except calls.CallFailedError as error:
            if error.may_have_run or error.kind == message.WITHDRAWN:
                raise
            self._record_failure(peer, target, error.kind, remaining_ms)
            return None
        now = asyncio.get_running_loop().time()
        self.peer_book.record_served(peer.name, target.id, now)
        answer.peer = peer.name
        if answer.is_leaving:
            self._report_leaving(peer, target)
        self.book.record_detour(target.id)
        if len(self.carrier_by_id) >= MAX_REPORTED:
            self.carrier_by_id.clear()
        self.carrier_by_id[target.id] = peer.name
        return answer

    def get_carrier(self, endpoint_id: str) -> str | None:
        """Return the name of the peer that carries calls, if one does."""
        if not self.book.needs_peer(endpoint_id):
            return None
        return self.carrier_by_id.get(endpoint_id)

    async def is_refused(self, target: endpoints.Endpoint) -> bool:
        """Return whether an endpoint refuses connections on all paths."""
        if not await self.direct.is_refused(target):
            return False
        self.book.record_failure(target.id)
        self.watch.wake()
        for peer in self._choose_peers(target)[:1]:
            if await self.search.ask(peer, target):
                self.book.record_detour(target.id)
                return False
        # The refusal of a lost link says nothing about the endpoint.
        return not self.book.needs_peer(target.id)

    async def fetch_report(
        self, target: endpoints.Endpoint
    ) -> orders.Report | None:
        """Return the weight versions an endpoint reports; None on failure."""
        report = await self.direct.fetch_report(target)
        if report is None and not await self.direct.can_connect(target):
            self.book.record_failure(target.id)
            self.watch.wake()
        return report

    async def order_version(
        self,
        target: endpoints.Endpoint,
        order: orders.VersionOrder,
        may_send: abc.Callable[[], bool],
    ) -> orders.OrderOutcome:
        """Order an endpoint to load a weight version, over own links only.

        An order must come from the instance that its fencing token names.
        """
        return await self.direct.order_version(target, order, may_send)

    def _choose_peers(self, target: endpoints.Endpoint) -> list[member.Member]:
        now = asyncio.get_running_loop().time()
        return self.peer_book.choose(target.id, now)

    def _record_failure(
        self,
        peer: member.Member,
        target: endpoints.Endpoint,
        kind: str,
        waited_ms: float,
    ) -> None:
        if kind == 'connect-timeout' and waited_ms < ports.PEER_TIMEOUT_MS:
            # The call ended before the peer could have answered.
            kind = peerbooks.ENDPOINT_UNREACHABLE
        now = asyncio.get_running_loop().time()
        self.peer_book.record_failure(peer.name, target.id, kind, now)

    def _report_leaving(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> None:
        """Let the peer whose links carried the answer know of it, once."""
        report = (peer.name, target.id, target.started_at_ms)
        if report in self.reported:
            return
        if len(self.reported) >= MAX_REPORTED:
            self.reported.clear()
        self.reported.add(report)
        task = asyncio.ensure_future(
            self.peer_port.report_leaving(peer, target)
        )
        self.reports.add(task)
        task.add_done_callback(self.reports.discard)
