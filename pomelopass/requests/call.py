"""Define a request to an endpoint and its answer."""

import dataclasses
from typing import Protocol

from .. import message
from ..registry import endpoint
from ..workspaces import grant as grants

__all__ = [
    'DISCARD_TIMEOUT_MS',
    'MAX_DISCARDED_BYTES',
    'RESTARTED',
    'UNPROCESSABLE_STATUS',
    'UNREACHABLE',
    'Answer',
    'Call',
    'CallFailedError',
    'EndpointPort',
    'marks_its_end',
]

# An endpoint reports that the content fails on every run.
UNPROCESSABLE_STATUS = 422
# Kind of failure if no path leads to an endpoint.
UNREACHABLE = 'unreachable'
# Kind of failure of a resumed request whose endpoint started again since its
# entry was written, perhaps with other software.
RESTARTED = 'restarted'
# Longer bodies that are not needed cost more to read than a new connection.
MAX_DISCARDED_BYTES = 65_536
DISCARD_TIMEOUT_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Request as the caller sent it, without the service's own headers.

    The deadline is a time of the event loop in seconds. A stream that its
    caller resumes names the id of the request that brought its first event.
    """

    id: str
    host: str
    method: str
    target: str
    headers: message.Headers
    body: bytes
    deadline_at: float | None
    last_event_id: str | None = None
    resumes: str | None = None
    # An attempt before was silent: idle connections may have died as well.
    avoids_idle: bool = False
    # Name of the workspace for which it runs; empty for none.
    workspace: str = ''
    # Whether headers that could hold a key or a workspace are left out.
    drops_credentials: bool = False
    # Checked right before the first byte is sent to an endpoint.
    grant: grants.Grant | None = None


@dataclasses.dataclass(slots=True)
class Answer:
    """Head of an answer whose body is still being received.

    With not_run the endpoint guarantees that it ran nothing. The limit is the
    requests per second that the endpoint takes from all instances together,
    or None if it names no limit.
    """

    status: int
    headers: message.Headers
    not_run: bool
    signature: str | None
    weight_version: int | None
    load: endpoint.LoadReport | None
    reply: message.OpenReply
    limit_per_s: float | None = None
    # Whether the endpoint says that it stops soon.
    is_leaving: bool = False
    # Name of the instance over which it came; empty for own links.
    peer: str = ''


def marks_its_end(answer: Answer) -> bool:
    """Return whether the end of the answer differs from a lost connection.

    An answer without a length ends with its connection, also if the endpoint
    dies in order.
    """
    headers = answer.reply.headers
    return (
        message.find_header(headers, 'transfer-encoding') is not None
        or message.find_header(headers, 'content-length') is not None
    )


class CallFailedError(Exception):
    """Raised when an endpoint gave no usable answer."""

    def __init__(self, kind: str, may_have_run: bool):
        super().__init__(kind)
        # An endpoint that dies during a request resets the connection.
        self.connection_broken = (
            may_have_run and kind in message.DISCONNECT_KINDS
        )
        self.kind = kind
        self.may_have_run = may_have_run


class EndpointPort(Protocol):
    """Client for calls to endpoints."""

    async def open(
        self,
        target: endpoint.Endpoint,
        call: Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> Answer:
        """Send the call and return the head of the answer.

        stall_ms limits each pause, fresh forces a new connection. Raise
        CallFailedError.
        """

    async def is_refused(self, target: endpoint.Endpoint) -> bool:
        """Return whether the endpoint's address refuses connections."""
