"""Save the inputs of a placement, and restore them elsewhere."""

from collections import abc
import dataclasses

import pydantic

from . import latency
from . import placer as placers
from ..registry import endpoint as endpoints
from . import sizes

__all__ = ['STATE_PATH', 'RouteServices', 'Snapshot', 'restore', 'take']

# Path of the saved state, on the metrics address of an instance.
STATE_PATH = '/placement'


class RouteServices(pydantic.BaseModel):
    """A route and the services that its requests go to."""

    name: str
    services: list[str]
    is_jobs: bool = False


class Snapshot(pydantic.BaseModel):
    """State of one instance's placement; times are those of its loop."""

    # Times of what never happened are infinite.
    model_config = pydantic.ConfigDict(ser_json_inf_nan='strings')

    instance: str
    own_zone: str
    transfer_ms_per_mb: float | None
    now: float
    states: list[endpoints.EndpointState]
    routes: list[RouteServices]
    latency_by_zone: dict[str, latency.Latency]
    answer_bytes_by_route: dict[str, float]
    text_by_model: dict[str, sizes.TextSize]
    carrier_zone_by_id: dict[str, str]
    # Services whose work leaves the zone at present.
    away_services: list[str]
    waiting_by_service: dict[str, int]


def take(
    instance: str,
    placer: placers.Placer,
    states: abc.Iterable[endpoints.EndpointState],
    routes: list[RouteServices],
    waiting_by_service: dict[str, int],
    now: float,
) -> Snapshot:
    """Return the present state of a placement."""
    states = list(states)
    carrier_zone_by_id = {
        state.endpoint.id: placer.get_carrier_zone(state.endpoint.id)
        for state in states
    }
    return Snapshot(
        instance=instance,
        own_zone=placer.own_zone,
        transfer_ms_per_mb=placer.transfer_ms_per_mb,
        now=now,
        states=[_hide_address(state) for state in states],
        routes=routes,
        latency_by_zone=placer.latencies.latency_by_zone,
        answer_bytes_by_route=placer.sizes.answer_bytes_by_route,
        text_by_model=placer.sizes.text_by_model,
        carrier_zone_by_id={
            endpoint_id: zone
            for endpoint_id, zone in carrier_zone_by_id.items()
            if zone is not None
        },
        away_services=placer.get_away_services(),
        waiting_by_service=waiting_by_service,
    )


def _hide_address(
    state: endpoints.EndpointState,
) -> endpoints.EndpointState:
    """Return a copy without the address, which decisions do not use."""
    endpoint = dataclasses.replace(state.endpoint, address='')
    return dataclasses.replace(state, endpoint=endpoint)


def restore(snapshot: Snapshot) -> placers.Placer:
    """Return a placement that decides as the saved one did."""
    placer = placers.Placer(snapshot.own_zone, snapshot.transfer_ms_per_mb)
    placer.latencies.latency_by_zone = dict(snapshot.latency_by_zone)
    placer.sizes.answer_bytes_by_route = dict(snapshot.answer_bytes_by_route)
    placer.sizes.text_by_model = dict(snapshot.text_by_model)
    placer.get_carrier_zone = snapshot.carrier_zone_by_id.get
    for service in snapshot.away_services:
        placer.set_away(service)
    return placer
