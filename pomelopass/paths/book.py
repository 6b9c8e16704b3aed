"""Keep which endpoints this instance reaches over its own links."""

from collections import abc

from ..reporting import logevents

__all__ = ['PathBook']

# Endpoints that must fail before all links count as lost, if a peer reached
# one of them, and if no peer did.
MIN_FAILED_CONFIRMED = 2
MIN_FAILED_UNCONFIRMED = 4


class PathBook:
    """Outcomes of connections to endpoints over the instance's own links.

    A single endpoint that fails may be down; all of them at once, while peers
    reach them, means that the links of this instance are down.
    """

    def __init__(
        self,
        get_endpoint_count: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.get_endpoint_count = get_endpoint_count
        self.write_event = write_event
        # Endpoints whose connections failed since the last that opened.
        self.failed_ids: set[str] = set()
        # Endpoints that only a peer reached.
        self.lost_ids: set[str] = set()
        self.is_cut_off = False

    def needs_peer(self, endpoint_id: str) -> bool:
        """Return whether a request should go over a peer at once."""
        return self.is_cut_off or endpoint_id in self.lost_ids

    def record_reached(self, endpoint_id: str) -> None:
        """Record a connection or an answer over the own links."""
        self.failed_ids.clear()
        if endpoint_id in self.lost_ids:
            self.lost_ids.discard(endpoint_id)
            self._log_change(endpoint_id, 'regained')
        if self.is_cut_off:
            self.is_cut_off = False
            self.write_event(logevents.EndpointsRegained())

    def record_failure(self, endpoint_id: str) -> None:
        """Record that no connection to an endpoint opened."""
        self.failed_ids.add(endpoint_id)
        self._update()

    def record_detour(self, endpoint_id: str) -> None:
        """Record that a peer reached an endpoint that this one does not."""
        if endpoint_id not in self.lost_ids and not self.is_cut_off:
            self.lost_ids.add(endpoint_id)
            self._log_change(endpoint_id, 'lost')
        self._update()

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is not registered any more."""
        self.failed_ids.discard(endpoint_id)
        self.lost_ids.discard(endpoint_id)

    def _update(self) -> None:
        if self.is_cut_off:
            return
        is_confirmed = bool(self.failed_ids & self.lost_ids)
        required = (
            MIN_FAILED_CONFIRMED if is_confirmed else MIN_FAILED_UNCONFIRMED
        )
        required = max(min(required, self.get_endpoint_count()), 1)
        if len(self.failed_ids) >= required:
            self.is_cut_off = True
            self.write_event(
                logevents.EndpointsLost(endpoints=sorted(self.failed_ids))
            )

    def _log_change(self, endpoint_id: str, change: str) -> None:
        self.write_event(
            logevents.EndpointPath(endpoint=endpoint_id, change=change)
        )
