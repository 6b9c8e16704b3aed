"""Log the answers of endpoints and the request limits that they name."""

import asyncio
from collections import abc

from . import book as books
from ..registry import endpoint as endpoints
from ..reporting import logevents
from ..requests import call as calls

__all__ = ['ObservedEndpoints']

# Smaller changes of a limit are not logged.
MIN_LOGGED_CHANGE = 0.2


class ObservedEndpoints:
    """Endpoint port that notes and logs the limits that answers name."""

    def __init__(
        self,
        port: calls.EndpointPort,
        book: books.LimitBook,
        get_table_ms: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.port = port
        self.book = book
        self.get_table_ms = get_table_ms
        self.write_event = write_event
        self.logged_limit_by_id: dict[str, float] = {}
        # The other calls pass unchanged.
        self.is_refused = port.is_refused
        self.fetch_report = port.fetch_report
        self.order_version = port.order_version

    async def open(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Return the answer once its head arrived; raise CallFailedError."""
        started_at = asyncio.get_running_loop().time()
        try:
            answer = await self.port.open(
                target, call, timeout_ms, stall_ms, fresh
            )
        except calls.CallFailedError as error:
            not_run = not error.may_have_run
            self._log_answer(
                target, call, started_at, 0, not_run, reason=error.kind
            )
            raise
        self._log_answer(
            target,
            call,
            started_at,
            answer.status,
            answer.not_run,
            answer.limit_per_s,
            peer=answer.peer,
            leaving=answer.is_leaving,
        )
        self.book.observe(target.id, answer.limit_per_s, self.get_table_ms())
        self._log_limit(target.id, answer.limit_per_s or 0.0)
        return answer

    def _log_answer(
        self,
        target: endpoints.Endpoint,
        call: calls.Call,
        started_at: float,
        status: int,
        not_run: bool,
        limit: float | None = None,
        reason: str = '',
        peer: str = '',
        leaving: bool = False,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.write_event(
            logevents.EndpointAnswered(
                id=call.id,
                endpoint=target.id,
                status=status,
                not_run=not_run,
                limit=limit,
                took_ms=round((now - started_at) * 1000, 1),
                software=target.software,
                resumed_after=call.last_event_id,
                resumes=call.resumes,
                reason=reason,
                peer=peer,
                leaving=leaving,
            )
        )

    def _log_limit(self, endpoint_id: str, limit: float) -> None:
        logged = self.logged_limit_by_id.get(endpoint_id, 0.0)
        if limit and abs(limit - logged) <= MIN_LOGGED_CHANGE * logged:
            return
        if limit == logged:
            return
        self.logged_limit_by_id.pop(endpoint_id, None)
        if limit:
            self.logged_limit_by_id[endpoint_id] = limit
        self.write_event(
            logevents.EndpointLimited(endpoint=endpoint_id, limit=limit)
        )
