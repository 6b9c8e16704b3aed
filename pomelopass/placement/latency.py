"""Keep the latency between the own zone and the others, as measured."""

import dataclasses

__all__ = ['Latency', 'ZoneLatencies', 'get_band_ms']

# Smoothing of a round trip and of its mean deviation (RFC 6298).
SMOOTHING = 0.125
SPREAD_SMOOTHING = 0.25
# A connection whose opening packet was lost is no measure of the latency: a
# sample changes it by no more than this many deviations, or milliseconds.
MAX_DEVIATIONS = 4.0
MIN_DEVIATION_MS = 1.0
# Two mean deviations hold nine samples of ten.
BAND_DEVIATIONS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Smoothed round trip and its mean deviation, in milliseconds."""

    round_trip_ms: float = 0.0
    spread_ms: float = 0.0


# Assumed for a zone without a measured connection: zones of one region are a
# few milliseconds apart.
UNMEASURED = Latency(10.0, 5.0)


class ZoneLatencies:
    """Round trips of connections that this instance opened, by zone."""

    def __init__(self, own_zone: str):
        self.own_zone = own_zone
        self.latency_by_zone: dict[str, Latency] = {}
        # Cache, as it is read for each endpoint of each request.
        self.way_by_zone: dict[str, Latency] = {}

    def record(self, zone: str, round_trip_ms: float) -> None:
        """Record the time in which a connection opened."""
        self.way_by_zone.clear()
        known = self.latency_by_zone.get(zone)
        if known is None:
            # RFC 6298 takes half of the first sample for its spread.
            known = Latency(round_trip_ms, round_trip_ms / 2)
            self.latency_by_zone[zone] = known
            return
        limit_ms = max(MIN_DEVIATION_MS, MAX_DEVIATIONS * known.spread_ms)
        change_ms = round_trip_ms - known.round_trip_ms
        change_ms = max(-limit_ms, min(limit_ms, change_ms))
        spread_change_ms = abs(change_ms) - known.spread_ms
        self.latency_by_zone[zone] = Latency(
            known.round_trip_ms + SMOOTHING * change_ms,
            known.spread_ms + SPREAD_SMOOTHING * spread_change_ms,
        )

    def get_way(self, zone: str) -> Latency:
        """Return what the way to a zone adds to that within the own zone.

        The time that this process itself takes to open connections is in
        both and cancels out.
        """
        way = self.way_by_zone.get(zone)
        if way is None:
            way = self.way_by_zone[zone] = self._find_way(zone)
        return way

    def _find_way(self, zone: str) -> Latency:
        if zone == self.own_zone:
            return Latency()
        own = self.latency_by_zone.get(self.own_zone, Latency())
        other = self.latency_by_zone.get(zone) or self.get_worst()
        return Latency(
            max(0.0, other.round_trip_ms - own.round_trip_ms),
            other.spread_ms,
        )

    def get_worst(self) -> Latency:
        """Return the latency assumed for a way that was not measured."""
        others = [
            latency
            for zone, latency in self.latency_by_zone.items()
            if zone != self.own_zone
        ]
        return max(
            others, key=lambda way: way.round_trip_ms, default=UNMEASURED
        )


def get_band_ms(way: Latency) -> float:
    """Return by how much leaving must pay before it begins.

    What is sent shows in the reports of the other zone one way later, and
    the estimate of the way is wrong by its spread.
    """
    return way.round_trip_ms / 2 + BAND_DEVIATIONS * way.spread_ms
