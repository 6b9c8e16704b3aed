"""Decode the operator's configuration row."""

import collections

import pydantic
from returns import result

from ..requests import routes

__all__ = ['decode_configuration']

REPEAT_BY_WORD = {
    'idempotent': routes.RouteType.IDEMPOTENT,
    'non_idempotent': routes.RouteType.NON_IDEMPOTENT,
    'streaming': routes.RouteType.STREAMING,
    'rollout': routes.RouteType.JOBS,
    'batch': routes.RouteType.JOBS,
}
DEFAULT_TIMEOUT_MS = 10_000.0
DEFAULT_AIM_MS = 500.0


class _Split(pydantic.BaseModel):
    service: str
    weight: float = 1.0


class _Route(pydantic.BaseModel):
    name: str = ''
    hostname: str
    path_prefix: str
    route_type: str
    service: str | None = None
    traffic_split: list[_Split] = []
    timeout_ms: float | None = None
    target_latency_ms: float = DEFAULT_AIM_MS
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    result_deadline_ms: float = 0.0
    item_ttl_s: float = 0.0


class _Model(pydantic.BaseModel):
    name: str


class _Engine(pydantic.BaseModel):
    models: list[_Model] = []


class _Service(pydantic.BaseModel):
    name: str
    engine: _Engine | None = None


class _Limits(pydantic.BaseModel):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(pydantic.BaseModel):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


def decode_configuration(
    value: bytes,
) -> result.Result[routes.Configuration, str]:
    """Return the configuration, or why it can't be read."""
    try:
        found = _Configuration.model_validate_json(value)
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors()[0]))
    by_host = collections.defaultdict(list)
    for one in found.routes:
        if one.route_type in REPEAT_BY_WORD:
            by_host[one.hostname.lower()].append(_decode_route(one))
    limits = found.limits
    return result.Success(
        routes.Configuration(
            version=found.version,
            routes_by_host={
                host: tuple(sorted(some, key=_get_prefix_order))
                for host, some in by_host.items()
            },
            service_by_name={
                one.name: _decode_service(one) for one in found.services
            },
            limits=routes.CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms,
                limits.idle_timeout_ms,
            ),
        )
    )


def _get_prefix_order(route: routes.Route) -> int:
    return -len(route.path_prefix)


def _decode_service(one: _Service) -> routes.ServiceTarget:
    models = one.engine.models if one.engine is not None else []
    return routes.ServiceTarget(one.name, tuple(m.name for m in models))


def _decode_route(one: _Route) -> routes.Route:
    shares = [
        routes.Share(part.service, part.weight) for part in one.traffic_split
    ]
    if one.service is not None:
        shares = [routes.Share(one.service, 1.0)]
    return routes.Route(
        name=one.name,
        host=one.hostname.lower(),
        path_prefix=one.path_prefix,
        route_type=REPEAT_BY_WORD[one.route_type],
        shares=tuple(shares),
        timeout_ms=one.timeout_ms or DEFAULT_TIMEOUT_MS,
        target_latency_ms=one.target_latency_ms,
        max_attempts=max(one.max_attempts, 1),
        resumable=one.resumable,
        single_version=one.single_version,
        job_deadline_ms=one.result_deadline_ms,
        item_ttl_ms=one.item_ttl_s * 1000,
    )
