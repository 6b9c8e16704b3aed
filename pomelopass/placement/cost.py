"""Estimate what a request costs at an endpoint, in milliseconds."""

from collections import abc
import dataclasses

from . import latency as latencies
from ..registry import choice
from ..registry import endpoint as endpoints

__all__ = [
    'ALL_KINDS',
    'Cost',
    'Way',
    'get_request_cost',
    'get_typical_ms',
]

# An attempt at an endpoint whose link is down takes this long to fail.
FAILED_CONNECT_MS = 150.0
# A slot that is taken delays later requests. Squared, so that a zone with few
# requests keeps them; exponents 1 to 4 and weights 0.5 to 1 cost alike within
# 3 % in bench.zones, and this pair sends least to other zones.
LOAD_WEIGHT = 0.5
LOAD_EXPONENT = 2.0
# Kind of work that covers the requests of all routes.
ALL_KINDS = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """Latency to an endpoint and the number of zone boundaries in between."""

    latency: latencies.Latency = latencies.Latency()
    crossings: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Parts of the expected cost of some work at an endpoint.

    The spreading is no cost: it orders endpoints of one zone by their load.
    """

    service_ms: float
    queue_ms: float = 0.0
    way_ms: float = 0.0
    bytes_ms: float = 0.0
    prompt_ms: float = 0.0
    risk_ms: float = 0.0
    spreading_ms: float = 0.0

    @property
    def total_ms(self) -> float:
        """Return the sum of the parts, without the spreading."""
        return (
            self.service_ms
            + self.queue_ms
            + self.way_ms
            + self.bytes_ms
            + self.prompt_ms
            + self.risk_ms
        )

    @property
    def leaving_ms(self) -> float:
        """Return what the way, the bytes and the prompt cost."""
        return self.way_ms + self.bytes_ms + self.prompt_ms


def get_typical_ms(
    states: abc.Iterable[endpoints.EndpointState],
    kind: str,
    now: float,
    default_ms: float = choice.DEFAULT_PACE_MS,
) -> float:
    """Return the mean pace of a kind of work at the endpoints that did it."""
    paces_ms = [
        endpoints.get_pace_ms(state.pace_by_kind[kind], now)
        for state in states
        if kind in state.pace_by_kind
    ]
    if not paces_ms:
        return default_ms
    return sum(paces_ms) / len(paces_ms)


def get_request_cost(
    state: endpoints.EndpointState,
    kind: str,
    typical_ms: float,
    way: Way,
    bytes_ms: float,
    now: float,
) -> Cost:
    """Return the cost of a request at an endpoint.

    What is ahead of a request is work of all kinds, so the wait for a slot
    follows the pace of all.
    """
    pace_ms = _get_pace_ms(state, kind, typical_ms, now)
    # The pace of requests includes the round trip to the endpoint.
    service_ms = max(pace_ms - way.latency.round_trip_ms, 0.0)
    slots = max(state.endpoint.slots, 1)
    load = endpoints.count_load(state, now)
    excess = max(0.0, load + 1.0 - slots) / slots
    queue = excess + LOAD_WEIGHT * min(load / slots, 1.0) ** LOAD_EXPONENT
    return Cost(
        service_ms,
        queue_ms=_get_pace_ms(state, ALL_KINDS, pace_ms, now) * queue,
        way_ms=way.latency.round_trip_ms,
        bytes_ms=bytes_ms * way.crossings,
        risk_ms=FAILED_CONNECT_MS if state.consecutive_failures else 0.0,
        spreading_ms=service_ms * load / slots,
    )


def _get_pace_ms(
    state: endpoints.EndpointState, kind: str, default_ms: float, now: float
) -> float:
    pace = state.pace_by_kind.get(kind)
    return default_ms if pace is None else endpoints.get_pace_ms(pace, now)
