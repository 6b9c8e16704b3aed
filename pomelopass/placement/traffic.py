"""Count the work that leaves the availability zone."""

from collections import abc

from ..reporting import logevents
from . import spill

__all__ = ['ZoneTraffic']

# Services and zones are few; more pairs are counted as one.
MAX_PAIRS = 64
OTHER = 'other'


class ZoneTraffic:
    """Requests, runs and bytes by service and zone since the last report."""

    def __init__(self) -> None:
        self.count_by_key: dict[tuple[str, str, str], int] = {}
        self.bytes_by_pair: dict[tuple[str, str], int] = {}

    def record_choice(
        self, service: str, zone: str, reason: spill.Reason
    ) -> None:
        """Record that work goes to another zone, and why."""
        service, zone = self._bound(service, zone)
        key = (service, zone, reason.value)
        self.count_by_key[key] = self.count_by_key.get(key, 0) + 1

    def record_bytes(self, service: str, zone: str, count: int) -> None:
        """Record the bytes of a request and its answer, or of events."""
        pair = self._bound(service, zone)
        self.bytes_by_pair[pair] = self.bytes_by_pair.get(pair, 0) + count

    def take_events(self) -> abc.Iterator[logevents.ZoneLeft]:
        """Take the counts, as one event for each service, zone and reason.

        The first event of a service and zone has the bytes of both.
        """
        count_by_key, self.count_by_key = self.count_by_key, {}
        bytes_by_pair, self.bytes_by_pair = self.bytes_by_pair, {}
        for pair in bytes_by_pair:
            if not any(key[:2] == pair for key in count_by_key):
                count_by_key[*pair, 'begun-before'] = 0
        for (service, zone, reason), count in sorted(count_by_key.items()):
            yield logevents.ZoneLeft(
                service=service,
                zone=zone,
                why=reason,
                left=count,
                bytes=bytes_by_pair.pop((service, zone), 0),
            )

    def _bound(self, service: str, zone: str) -> tuple[str, str]:
        pairs = {key[:2] for key in self.count_by_key}
        pairs.update(self.bytes_by_pair)
        if (service, zone) in pairs or len(pairs) < MAX_PAIRS:
            return service, zone
        return OTHER, OTHER
