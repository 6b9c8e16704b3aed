"""Define the active configuration and find the route of a request."""

import asyncio
import dataclasses
import enum
import random

from ..scaling import plan
from ..workspaces import directory

__all__ = [
    'APPLY_LIMIT_MS',
    'Configuration',
    'Route',
    'RouteType',
    'ServiceTarget',
    'choose_service',
    'find_route',
    'get_resumable_services',
    'get_time_limit',
    'may_repeat',
    'proves_absence',
]


# From the acknowledgement of a change on, until it must be in force.
APPLY_LIMIT_MS = 2000


class RouteType(enum.Enum):
    """How requests of a route are run and retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'
    JOBS = 'jobs'


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Weight of a service in the traffic split of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Target services and limits for requests of a host and path prefix."""

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
    # Version of the configuration that the route belongs to.
    configuration_version: int = 0
    # Whether requests without a valid key are served.
    is_anonymous: bool = False
    # That of a workspace takes precedence; 0 is served first.
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTarget:
    """Configuration of a service."""

    name: str
    models: tuple[str, ...] = ()
    # None where the number of engines is not this system's to order.
    scaling: plan.Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers."""

    max_head_bytes: int
    max_body_bytes: int
    head_timeout_ms: float
    idle_timeout_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixIndex:
    """Routes of a host by prefix, and the lengths of these, longest first."""

    route_by_prefix: dict[str, Route]
    lengths: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all routes, services and caller limits."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, ServiceTarget]
    limits: CallerLimits
    # None if the configuration has no workspaces: keys are not checked.
    workspaces: directory.Directory | None = None
    index_by_host: dict[str, PrefixIndex] = dataclasses.field(
        init=False, compare=False
    )

    def __post_init__(self) -> None:
        """Index the routes by prefix."""
        index_by_host = {
            host: _make_index(host_routes)
            for host, host_routes in self.routes_by_host.items()
        }
        object.__setattr__(self, 'index_by_host', index_by_host)


def _make_index(host_routes: tuple[Route, ...]) -> PrefixIndex:
    route_by_prefix: dict[str, Route] = {}
    for route in host_routes:
        route_by_prefix.setdefault(route.path_prefix, route)
    lengths = sorted({len(prefix) for prefix in route_by_prefix}, reverse=True)
    return PrefixIndex(route_by_prefix, tuple(lengths))


def find_route(
    configuration: Configuration, host: str, path: str
) -> Route | None:
    """Return the route with the longest matching prefix, or None.

    The time grows with the lengths of prefixes, not with their number.
    """
    index = configuration.index_by_host.get(host.lower())
    if index is None:
        return None
    for length in index.lengths:
        route = index.route_by_prefix.get(path[:length])
        if route is not None:
            return route
    return None


def proves_absence(age_ms: float) -> bool:
    """Return whether what a copy of this age lacks does not exist."""
    return age_ms <= APPLY_LIMIT_MS


def may_repeat(route: Route) -> bool:
    """Return whether a request of the route may run more than once."""
    return route.route_type is RouteType.IDEMPOTENT or route.resumable


def get_time_limit(route: Route, deadline_at: float | None) -> float:
    """Return the time by which a request must be answered.

    Both times are those of the event loop in seconds.
    """
    timeout_at = asyncio.get_running_loop().time() + route.timeout_ms / 1000
    return timeout_at if deadline_at is None else min(timeout_at, deadline_at)


def get_resumable_services(configuration: Configuration) -> set[str]:
    """Return the services whose streams callers may resume."""
    return {
        share.service
        for host_routes in configuration.routes_by_host.values()
        for route in host_routes
        if route.route_type is RouteType.STREAMING and route.resumable
        for share in route.shares
    }


def choose_service(route: Route, rng: random.Random) -> str:
    """Return a service of the route, drawn at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]
