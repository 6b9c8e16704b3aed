"""Remember the request limits that endpoints named to any instance."""

from collections import abc
import dataclasses

import orjson

from .. import decoding

__all__ = [
    'LimitBook',
    'NamedLimit',
    'decode_limits',
    'encode_limits',
]

# An endpoint without a request for this long may have lifted its limit.
LIMIT_TTL_MS = 15_000
# Lower limits still let an instance ask whether the limit is in force.
MIN_RATE_PER_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """Limit in requests a second, or None where an endpoint lifted it.

    The time is that of the table service in milliseconds.
    """

    per_s: decoding.FiniteFloat | None
    observed_ms: decoding.Int64


class LimitBook:
    """Newest limit of each endpoint, from own answers and from peers."""

    def __init__(self) -> None:
        self.limit_by_endpoint: dict[str, NamedLimit] = {}

    def observe(
        self, endpoint_id: str, per_s: float | None, now_ms: int
    ) -> None:
        """Record what an answer of the endpoint names."""
        if per_s is not None or endpoint_id in self.limit_by_endpoint:
            self.limit_by_endpoint[endpoint_id] = NamedLimit(per_s, now_ms)

    def merge(self, limits: abc.Mapping[str, NamedLimit]) -> None:
        """Adopt what a peer observed later than this instance knows."""
        for endpoint_id, limit in limits.items():
            known = self.limit_by_endpoint.get(endpoint_id)
            if known is None or known.observed_ms < limit.observed_ms:
                self.limit_by_endpoint[endpoint_id] = limit

    def get_rate(self, endpoint_id: str, now_ms: int) -> float | None:
        """Return the requests a second that are allowed; None: no limit."""
        limit = self.limit_by_endpoint.get(endpoint_id)
        if limit is None or limit.per_s is None:
            return None
        if now_ms - limit.observed_ms > LIMIT_TTL_MS:
            return None
        return max(limit.per_s, MIN_RATE_PER_S)

    def get_recent(self, now_ms: int) -> dict[str, NamedLimit]:
        """Return the limits to report to peers; forget the expired ones."""
        self.limit_by_endpoint = {
            endpoint_id: limit
            for endpoint_id, limit in self.limit_by_endpoint.items()
            if now_ms - limit.observed_ms <= LIMIT_TTL_MS
        }
        return dict(self.limit_by_endpoint)


def encode_limits(limits: abc.Mapping[str, NamedLimit]) -> bytes:
    """Return the row value of the limits."""
    return orjson.dumps(dict(limits))


def decode_limits(value: bytes) -> dict[str, NamedLimit]:
    """Return the limits of a row; raise ValueError if malformed."""
    return _decode(value)


_decode = decoding.make_decoder(dict[str, NamedLimit])
