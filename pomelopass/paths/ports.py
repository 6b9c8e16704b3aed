"""Define the clients for endpoints on both paths."""

from collections import abc
from typing import Protocol

from ..fleet import member
from ..registry import endpoint as endpoints
from ..requests import call as calls
from ..versions import manager as versionmanagers

__all__ = ['PEER_TIMEOUT_MS', 'DirectPort', 'PeerPort']

# Time for a peer's own connection to the endpoint and its answer.
PEER_TIMEOUT_MS = 400.0


class DirectPort(calls.EndpointPort, versionmanagers.OrderPort, Protocol):
    """Client for calls to endpoints over the instance's own links."""

    def set_on_leaving(
        self, on_leaving: abc.Callable[[endpoints.Endpoint], None]
    ) -> None:
        """Set what is called for an endpoint that says that it leaves."""

    @property
    def received_at(self) -> float:
        """Return when bytes came last from any endpoint, in loop seconds."""

    async def can_connect(self, target: endpoints.Endpoint) -> bool:
        """Return whether a connection to an endpoint opens."""

    def get_silent_ids(self, silent_ms: float) -> set[str]:
        """Return the endpoints with a request that is silent for so long."""

    def break_silent(
        self, target: endpoints.Endpoint, silent_ms: float
    ) -> None:
        """Abort the repeatable requests that received nothing for so long."""


class PeerPort(Protocol):
    """Client for calls to endpoints over the links of a peer."""

    def set_on_leaving(
        self, on_leaving: abc.Callable[[endpoints.Endpoint], None]
    ) -> None:
        """Set what is called for an endpoint that says that it leaves."""

    async def report_leaving(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> None:
        """Report what an answer over a peer's links said of its endpoint."""

    async def open(
        self,
        peer: member.Member,
        target: endpoints.Endpoint,
        call: calls.Call,
        timeout_ms: float,
        stall_ms: float | None = None,
        fresh: bool = False,
    ) -> calls.Answer:
        """Send the call and return the head of the answer.

        Raise CallFailedError, with a kind of peers.py if the peer opened no
        connection to the endpoint.
        """

    async def connect(
        self, peer: member.Member, target: endpoints.Endpoint
    ) -> None:
        """Open and close a connection to an endpoint over a peer.

        Raise CallFailedError.
        """
