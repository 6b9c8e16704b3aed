"""Maintain the local view of configuration, fleet and endpoints."""

import asyncio
from collections import abc

from ..fleet import member
from ..registry import registry as registries
from ..reporting import logevents
from ..requests import routes
from ..workspaces import directory

__all__ = ['View']


class View:
    """Configuration in force and last known state of the fleet."""

    def __init__(
        self,
        membership: member.Membership,
        registry: registries.Registry,
        write_event: logevents.WriteEvent,
    ):
        self.membership = membership
        self.registry = registry
        self.write_event = write_event
        self.configuration: routes.Configuration | None = None
        # Services whose streams callers may resume.
        self.resumable_services: set[str] = set()
        # State of the fleet of which the runs were summed last.
        self.summed_revision = -1
        self.on_limits: abc.Callable[[routes.CallerLimits], None] = (
            lambda limits: None
        )

    def put_configuration(self, configuration: routes.Configuration) -> bool:
        """Apply a configuration if it is newer; return whether it is."""
        current = self.configuration
        if current is not None and current.version >= configuration.version:
            return False
        self.configuration = configuration
        self.resumable_services = routes.get_resumable_services(configuration)
        self.on_limits(configuration.limits)
        self.write_event(
            logevents.ConfigurationInForce(version=configuration.version)
        )
        ended = directory.find_ended(
            current.workspaces if current is not None else None,
            configuration.workspaces,
        )
        if ended:
            self.write_event(
                logevents.KeysEnded(
                    version=configuration.version, workspaces=ended
                )
            )
        return True

    def put_member(self, instance: member.Member) -> None:
        """Record a heartbeat."""
        now = asyncio.get_running_loop().time()
        previous = self.membership.member_by_name.get(instance.name)
        if previous is None or previous.incarnation != instance.incarnation:
            self.write_event(
                logevents.InstanceFound(
                    instance=instance.name, start=instance.incarnation
                )
            )
        self.membership.put(instance, now)

    def update_in_flight_elsewhere(self) -> None:
        """Sum the runs of other live instances at each endpoint.

        They change only with the copy of the fleet's heartbeats.
        """
        if self.summed_revision == self.membership.revision:
            return
        self.summed_revision = self.membership.revision
        now = asyncio.get_running_loop().time()
        own_name = self.membership.own_name
        count_by_id: dict[str, int] = {}
        for name, instance in self.membership.member_by_name.items():
            if not instance.runs_by_endpoint or name == own_name:
                continue
            if not self.membership.is_alive(name, now):
                continue
            for endpoint_id, count in instance.runs_by_endpoint.items():
                subtotal = count_by_id.get(endpoint_id, 0)
                count_by_id[endpoint_id] = subtotal + count
        self.registry.set_runs_elsewhere(count_by_id)

    def get_runs(self) -> dict[str, int]:
        """Return the number of runs of this instance at each engine."""
        return {
            endpoint_id: state.in_flight
            for endpoint_id, state in self.registry.state_by_id.items()
            if state.in_flight and state.endpoint.version_by_model
        }

    def needs_single_version(self, model: str) -> bool:
        """Return whether a run of a model must use one weight version."""
        if self.configuration is None:
            return False
        service_names = {
            service.name
            for service in self.configuration.service_by_name.values()
            if model in service.models
        }
        return any(
            route.single_version
            and any(share.service in service_names for share in route.shares)
            for host_routes in self.configuration.routes_by_host.values()
            for route in host_routes
        )
