"""Describe one request to an endpoint and its answer."""

import dataclasses
from typing import Protocol

from .. import message
from ..registry import endpoint

__all__ = [
    'UNPROCESSABLE_STATUS',
    'Answer',
    'Call',
    'CallFailedError',
    'EndpointPort',
]

# An endpoint's word that this content fails at each run.
UNPROCESSABLE_STATUS = 422


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Hold a request as the caller sent it, less its own headers.

    The deadline is on the clock of the event loop, in seconds.
    """

    id: str
    host: str
    method: str
    target: str
    headers: message.Headers
    body: bytes
    deadline_at: float | None
    last_event_id: str | None = None


@dataclasses.dataclass(slots=True)
class Answer:
    """Hold the head of an answer; its body is still coming in.

    An answer that says not_run is the endpoint's word that nothing ran.
    """

    status: int
    headers: message.Headers
    not_run: bool
    signature: str | None
    weight_version: int | None
    load: endpoint.LoadReport | None
    reply: message.OpenReply


class CallFailedError(Exception):
    """Tell that an endpoint gave no usable answer."""

    def __init__(self, kind: str, may_have_run: bool):
        super().__init__(kind)
        # An endpoint that ends within a request resets its connection.
        self.broke_off = may_have_run and kind in message.BREAK_KINDS
        self.kind = kind
        self.may_have_run = may_have_run


class EndpointPort(Protocol):
    """Send calls to endpoints."""

    async def open(
        self,
        target: endpoint.Endpoint,
        call: Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> Answer:
        """Return the head of the answer; raise CallFailedError."""

    async def is_refused(self, target: endpoint.Endpoint) -> bool:
        """Say whether nothing listens at an endpoint's address."""

    async def read(self, answer: Answer, limit: int) -> bytes:
        """Return the whole body; raise CallFailedError."""
