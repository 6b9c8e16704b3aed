"""Keep the endpoints that may get work, by id."""

from . import endpoint as endpoints
from ..reporting import logevents

__all__ = ['Registry']

# Time in which live endpoints are back in the registry after an outage.
RETURN_MS = 2200


class Registry:
    """Hold the state of each known endpoint."""

    def __init__(self, write_event: logevents.WriteEvent):
        self.write_event = write_event
        self.state_by_id: dict[str, endpoints.EndpointState] = {}
        # Endpoints whose entries went away in or just after an outage.
        self.missing_since_by_id: dict[str, float] = {}

    def put(self, found: endpoints.Endpoint) -> None:
        """Take in an entry of the registry."""
        self.missing_since_by_id.pop(found.id, None)
        known = self.state_by_id.get(found.id)
        restarted = (
            known is not None
            and known.endpoint.started_at_ms != found.started_at_ms
        )
        if known is None or restarted:
            self.state_by_id[found.id] = endpoints.EndpointState(
                found, version_by_model=dict(found.version_by_model)
            )
            self._tell(found, 'restarted' if restarted else 'found')
            return
        if known.endpoint.is_draining != found.is_draining:
            self._tell(found, 'draining' if found.is_draining else 'ready')
        if known.endpoint.version_by_model != found.version_by_model:
            known.version_by_model.update(found.version_by_model)
            self._tell(found, 'version')
        known.endpoint = found

    def remove(self, endpoint_id: str, now: float, in_outage: bool) -> None:
        """Drop an endpoint; after an outage, only if it does not return."""
        if endpoint_id not in self.state_by_id:
            return
        if in_outage:
            self.missing_since_by_id[endpoint_id] = now
            return
        known = self.state_by_id.pop(endpoint_id)
        self._tell(known.endpoint, 'gone')

    def drop_missing(self, outage_ended_at: float, now: float) -> None:
        """Drop those that had time to return after the outage."""
        for endpoint_id, since in list(self.missing_since_by_id.items()):
            counted_from = max(since, outage_ended_at)
            if (now - counted_from) * 1000 < RETURN_MS:
                continue
            del self.missing_since_by_id[endpoint_id]
            self.remove(endpoint_id, now, in_outage=False)

    def get_by_service(self, name: str) -> list[endpoints.EndpointState]:
        """Return the endpoints of a service that take new work."""
        return [
            one
            for one in self.state_by_id.values()
            if one.endpoint.service == name and not one.endpoint.is_draining
        ]

    def get_all_by_service(self, name: str) -> list[endpoints.EndpointState]:
        """Return all endpoints of a service, leaving ones too."""
        return [
            one
            for one in self.state_by_id.values()
            if one.endpoint.service == name
        ]

    def count_slots(self, service: str) -> int:
        """Return how many requests a service runs at a time."""
        states = self.get_by_service(service)
        return sum(one.endpoint.slots for one in states)

    def get_engine_services(self) -> set[str]:
        """Return the services whose endpoints hold model weights."""
        return {
            one.endpoint.service
            for one in self.state_by_id.values()
            if one.endpoint.version_by_model
        }

    def _tell(self, found: endpoints.Endpoint, change: str) -> None:
        self.write_event(
            logevents.EndpointChanged(
                endpoint=found.id,
                service=found.service,
                address=found.address,
                change=change,
                versions=found.version_by_model,
            )
        )
