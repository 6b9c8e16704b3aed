"""State of the registered endpoints by id."""

import collections
from collections import abc

from . import changelog
from . import endpoint as endpoints
from ..reporting import logevents

__all__ = ['Registry']

# Live endpoints register again within this time after an outage.
REREGISTRATION_TIMEOUT_MS = 2200
MAX_LEAVING = 4096


class Registry:
    """The registered endpoints and what is observed of each."""

    def __init__(self, write_event: logevents.WriteEvent):
        self.changes = changelog.ChangeLog(write_event)
        self.state_by_id: dict[str, endpoints.EndpointState] = {}
        # The same states; a request or a check concerns one service only.
        self.states_by_service: dict[
            str, dict[str, endpoints.EndpointState]
        ] = {}
        # Counted at most once between two changes of a service.
        self.software_counts_by_service: dict[
            str, collections.Counter[str]
        ] = {}
        # Runs that other instances reported, also at unknown endpoints.
        self.runs_elsewhere_by_id: dict[str, int] = {}
        # Endpoints whose entries disappeared during or just after an outage.
        self.missing_since_by_id: dict[str, float] = {}
        # Start of each endpoint that said itself that it leaves. Its entry
        # may say otherwise, or come back, while the table is away.
        self.leaving_start_by_id: dict[str, int] = {}

    def put(self, entry: endpoints.Endpoint) -> bool:
        """Add or update an endpoint; return whether anything changed.

        An entry that was put before and has not changed is the same object.
        """
        was_missing = self.missing_since_by_id.pop(entry.id, None) is not None
        state = self.state_by_id.get(entry.id)
        if state is not None and state.endpoint is entry and not was_missing:
            return False
        self.software_counts_by_service.pop(entry.service, None)
        restarted = (
            state is not None
            and state.endpoint.started_at_ms != entry.started_at_ms
        )
        if state is None or restarted:
            if restarted and state.endpoint.service != entry.service:
                self._remove_from_service(state.endpoint)
            self._add(entry)
            self._update_leaving(entry.id)
            self.changes.record(entry, 'restarted' if restarted else 'found')
            return True
        if state.endpoint.is_draining != entry.is_draining:
            self.changes.record(
                entry, 'draining' if entry.is_draining else 'ready'
            )
        if state.endpoint.version_by_model != entry.version_by_model:
            state.version_by_model.update(entry.version_by_model)
            self.changes.record(entry, 'version')
        if state.endpoint.service != entry.service:
            self._remove_from_service(state.endpoint)
            self._add_to_service(entry.service, state)
        state.endpoint = entry
        self._update_leaving(entry.id)
        return True

    def set_runs_elsewhere(self, count_by_id: dict[str, int]) -> None:
        """Replace the runs of other instances, by id of the endpoint."""
        previous = self.runs_elsewhere_by_id
        self.runs_elsewhere_by_id = count_by_id
        for endpoint_id in previous.keys() | count_by_id.keys():
            state = self.state_by_id.get(endpoint_id)
            if state is not None:
                state.in_flight_elsewhere = count_by_id.get(endpoint_id, 0)

    def _add(self, entry: endpoints.Endpoint) -> None:
        state = endpoints.EndpointState(
            entry,
            in_flight_elsewhere=self.runs_elsewhere_by_id.get(entry.id, 0),
            version_by_model=dict(entry.version_by_model),
        )
        self.state_by_id[entry.id] = state
        self._add_to_service(entry.service, state)

    def _add_to_service(
        self, service: str, state: endpoints.EndpointState
    ) -> None:
        states = self.states_by_service.setdefault(service, {})
        states[state.endpoint.id] = state

    def _remove_from_service(self, entry: endpoints.Endpoint) -> None:
        self.software_counts_by_service.pop(entry.service, None)
        states = self.states_by_service[entry.service]
        del states[entry.id]
        if not states:
            del self.states_by_service[entry.service]

    def record_leaving(self, endpoint_id: str, started_at_ms: int) -> None:
        """Record that an endpoint said that it leaves; final for its start."""
        if self.leaving_start_by_id.get(endpoint_id) == started_at_ms:
            return
        if len(self.leaving_start_by_id) >= MAX_LEAVING:
            oldest = next(iter(self.leaving_start_by_id))
            del self.leaving_start_by_id[oldest]
        self.leaving_start_by_id[endpoint_id] = started_at_ms
        self._update_leaving(endpoint_id)
        state = self.state_by_id.get(endpoint_id)
        if state is not None and state.said_leaving:
            self.changes.record(state.endpoint, 'leaving')

    def find_open(self, endpoint_id: str) -> endpoints.Endpoint | None:
        """Return the endpoint if it is registered and takes requests."""
        state = self.state_by_id.get(endpoint_id)
        return None if state is None or state.is_leaving else state.endpoint

    def _update_leaving(self, endpoint_id: str) -> None:
        state = self.state_by_id.get(endpoint_id)
        if state is None:
            return
        started_at_ms = self.leaving_start_by_id.get(endpoint_id)
        state.said_leaving = started_at_ms == state.endpoint.started_at_ms

    def remove(self, endpoint_id: str, now: float, in_outage: bool) -> None:
        """Remove an endpoint; in an outage, only mark it as missing."""
        if endpoint_id not in self.state_by_id:
            return
        if in_outage:
            self.missing_since_by_id[endpoint_id] = now
            return
        state = self.state_by_id.pop(endpoint_id)
        self._remove_from_service(state.endpoint)
        self.changes.record(state.endpoint, 'gone')

    def drop_missing(self, outage_ended_at: float, now: float) -> None:
        """Remove missing endpoints that did not register again in time."""
        for endpoint_id, missing_since in list(
            self.missing_since_by_id.items()
        ):
            absent_since = max(missing_since, outage_ended_at)
            if (now - absent_since) * 1000 < REREGISTRATION_TIMEOUT_MS:
                continue
            del self.missing_since_by_id[endpoint_id]
            self.remove(endpoint_id, now, in_outage=False)

    def get_by_service(self, name: str) -> list[endpoints.EndpointState]:
        """Return the endpoints of a service that accept new work.

        An outage makes most entries disappear together; a few that do so left.
        """
        states = [
            state
            for state in self.states_by_service.get(name, {}).values()
            if not state.is_leaving
        ]
        if not self.missing_since_by_id:
            return states
        registered = [
            state
            for state in states
            if state.endpoint.id not in self.missing_since_by_id
        ]
        return registered if 2 * len(registered) > len(states) else states

    def get_all_by_service(self, name: str) -> list[endpoints.EndpointState]:
        """Return all endpoints of a service, including draining ones."""
        return list(self.states_by_service.get(name, {}).values())

    def count_software(self, service: str) -> abc.Mapping[str, int]:
        """Return the number of a service's endpoints by software version."""
        counts = self.software_counts_by_service.get(service)
        if counts is None:
            counts = collections.Counter(
                state.endpoint.software
                for state in self.get_all_by_service(service)
            )
            self.software_counts_by_service[service] = counts
        return counts

    def count_slots(self, service: str) -> int:
        """Return how many requests a service can run at a time."""
        states = self.get_by_service(service)
        return sum(state.endpoint.slots for state in states)

    def get_engine_services(self) -> set[str]:
        """Return the services whose endpoints hold model weights."""
        return {
            service
            for service, states in self.states_by_service.items()
            if any(
                state.endpoint.version_by_model for state in states.values()
            )
        }
