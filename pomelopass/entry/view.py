"""Keep what an entry instance believes: configuration, fleet, endpoints."""

import asyncio
from collections import abc

from ..fleet import member
from ..registry import registry as registries
from ..reporting import logevents
from ..requests import routes

__all__ = ['View']


class View:
    """Hold the configuration in force and the known fleet."""

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
        self.on_limits: abc.Callable[[routes.CallerLimits], None] = (
            lambda limits: None
        )

    def put_configuration(self, found: routes.Configuration) -> bool:
        """Take a configuration into force unless a newer one is."""
        known = self.configuration
        if known is not None and known.version >= found.version:
            return False
        self.configuration = found
        self.on_limits(found.limits)
        self.write_event(logevents.ConfigurationInForce(version=found.version))
        return True

    def put_member(self, found: member.Member) -> None:
        """Take in a heartbeat."""
        now = asyncio.get_running_loop().time()
        known = self.membership.member_by_name.get(found.name)
        if known is None or known.incarnation != found.incarnation:
            self.write_event(
                logevents.InstanceFound(
                    instance=found.name, start=found.incarnation
                )
            )
        self.membership.put(found, now)

    def update_in_flight_elsewhere(self) -> None:
        """Add up what other living instances run at each endpoint."""
        now = asyncio.get_running_loop().time()
        own_name = self.membership.own_name
        count_by_id: dict[str, int] = {}
        for name, one in self.membership.member_by_name.items():
            if not one.runs_by_endpoint or name == own_name:
                continue
            if not self.membership.is_alive(name, now):
                continue
            for endpoint_id, count in one.runs_by_endpoint.items():
                known = count_by_id.get(endpoint_id, 0)
                count_by_id[endpoint_id] = known + count
        for endpoint_id, state in self.registry.state_by_id.items():
            state.in_flight_elsewhere = count_by_id.get(endpoint_id, 0)

    def get_runs(self) -> dict[str, int]:
        """Return this instance's runs by endpoint, engines only."""
        return {
            endpoint_id: state.in_flight
            for endpoint_id, state in self.registry.state_by_id.items()
            if state.in_flight and state.endpoint.version_by_model
        }

    def needs_single_version(self, model: str) -> bool:
        """Say whether runs of a model must not change their weights."""
        if self.configuration is None:
            return False
        services = {
            one.name
            for one in self.configuration.service_by_name.values()
            if model in one.models
        }
        return any(
            route.single_version
            and any(share.service in services for share in route.shares)
            for some in self.configuration.routes_by_host.values()
            for route in some
        )
