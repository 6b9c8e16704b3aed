"""Describe the configuration in force and find the route of a request."""

import asyncio
import dataclasses
import enum
import random

__all__ = [
    'Configuration',
    'Route',
    'RouteType',
    'ServiceTarget',
    'choose_service',
    'find_route',
    'get_time_limit',
    'may_repeat',
]


class RouteType(enum.Enum):
    """Say what may be repeated of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'
    JOBS = 'jobs'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Give a service its weight among those of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Say where requests of a host and path go and within what bounds."""

    name: str
    host: str
    path_prefix: str
    route_type: RouteType
    shares: tuple[Share, ...]
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    resumable: bool = False
    single_version: bool = False
    job_deadline_ms: float = 0.0
    item_ttl_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTarget:
    """Hold what the configuration says of a service."""

    name: str
    models: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what callers may send."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of all routes and services."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceTarget]
    limits: CallerLimits


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route with the longest prefix of the path."""
    for route in configuration.routes_by_host.get(host.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def may_repeat(route: Route) -> bool:
    """Say whether a request of the route may run more than once."""
    return route.route_type is RouteType.IDEMPOTENT or route.resumable


def get_time_limit(route: Route, deadline_at: float | None) -> float:
    """Return until when a request may wait for its answer.

    Both times are on the clock of the event loop, in seconds.
    """
    limit = asyncio.get_running_loop().time() + route.timeout_ms / 1000
    return limit if deadline_at is None else min(limit, deadline_at)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return a service of the route by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [one.service for one in route.shares]
    weights = [one.weight for one in route.shares]
    return rng.choices(names, weights)[0]
