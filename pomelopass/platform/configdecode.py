"""Decode the configuration row that the operator writes."""

import collections
from collections import abc
from typing import Annotated

import pydantic
from returns import result

from .. import decoding
from ..requests import routes
from ..scaling import plan
from ..workspaces import directory

__all__ = ['decode_configuration']

REPEAT_BY_ROUTE_TYPE = {
    'idempotent': routes.RouteType.IDEMPOTENT,
    'non_idempotent': routes.RouteType.NON_IDEMPOTENT,
    'streaming': routes.RouteType.STREAMING,
    'rollout': routes.RouteType.JOBS,
    'batch': routes.RouteType.JOBS,
}
DEFAULT_TIMEOUT_MS = 10_000.0
DEFAULT_TARGET_LATENCY_MS = 500.0


def _read_optional(
    value: object, validate: pydantic.ValidatorFunctionWrapHandler
) -> object | None:
    try:
        return validate(value)
    except pydantic.ValidationError:
        # A malformed priority must not reject the whole configuration.
        return None


Priority = Annotated[
    decoding.Int64 | None, pydantic.WrapValidator(_read_optional)
]
KeyDigest = Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]


class _Split(decoding.CheckedModel):
    service: str
    weight: decoding.FiniteFloat = 1.0


class _Route(decoding.CheckedModel):
    name: str = ''
    hostname: str
    path_prefix: str
    route_type: str
    service: str | None = None
    traffic_split: list[_Split] = []
    timeout_ms: decoding.FiniteFloat | None = None
    target_latency_ms: decoding.FiniteFloat = DEFAULT_TARGET_LATENCY_MS
    max_attempts: decoding.Int64 = 1
    resumable: bool = False
    single_version: bool = False
    result_deadline_ms: decoding.FiniteFloat = 0.0
    item_ttl_s: decoding.FiniteFloat = 0.0
    anonymous: bool | None = None
    priority: Priority = None


class _Workspace(decoding.CheckedModel):
    name: str
    api_keys: list[str] | None = None
    # In place of keys, in a row that a peer relays.
    api_key_digests: list[KeyDigest] | None = None
    priority: Priority = None


class _Model(decoding.CheckedModel):
    name: str


class _Engine(decoding.CheckedModel):
    models: list[_Model] = []


class _Scaling(decoding.CheckedModel):
    min: Annotated[decoding.Int64, pydantic.Field(ge=0)]
    max: Annotated[decoding.Int64, pydantic.Field(ge=1)]
    boot_s: Annotated[decoding.FiniteFloat, pydantic.Field(gt=0)] = 4.0
    spot_price: Annotated[decoding.FiniteFloat, pydantic.Field(ge=0)] = 0.22
    zone_prices: dict[
        str, Annotated[decoding.FiniteFloat, pydantic.Field(ge=0)]
    ] = {}

    @pydantic.model_validator(mode='after')
    def _check_bounds(self) -> '_Scaling':
        if self.min > self.max:
            raise ValueError('min is above max')
        return self


class _Service(decoding.CheckedModel):
    name: str
    engine: _Engine | None = None
    # Without valid bounds, nothing is ordered; the service is still served.
    scaling: Annotated[
        _Scaling | None, pydantic.WrapValidator(_read_optional)
    ] = None


class _Limits(decoding.CheckedModel):
    max_header_bytes: decoding.Int64 = 16_384
    max_body_bytes: decoding.Int64 = 33_554_432
    header_timeout_ms: decoding.FiniteFloat = 5000.0
    idle_timeout_ms: decoding.FiniteFloat = 15_000.0


class _Configuration(decoding.CheckedModel):
    version: decoding.Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Workspace] | None = None


def decode_configuration(
    value: bytes,
) -> result.Result[routes.Configuration, str]:
    """Return the configuration, or the first validation error as text."""
    try:
        configuration = _Configuration.model_validate_json(value)
    except pydantic.ValidationError as error:
        # The input may hold keys.
        return result.Failure(str(error.errors(include_input=False)[0]))
    try:
        workspaces = _build_workspaces(configuration.tenants)
    except ValueError as error:
        return result.Failure(f'tenants.{error}')
    by_host = collections.defaultdict(list)
    for route in configuration.routes:
        if route.route_type in REPEAT_BY_ROUTE_TYPE:
            by_host[route.hostname.lower()].append(
                _decode_route(route, configuration.version)
            )
    limits = configuration.limits
    return result.Success(
        routes.Configuration(
            version=configuration.version,
            routes_by_host={
                host: tuple(sorted(host_routes, key=_get_prefix_order))
                for host, host_routes in by_host.items()
            },
            service_by_name={
                service.name: _decode_service(service)
                for service in configuration.services
            },
            limits=routes.CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms,
                limits.idle_timeout_ms,
            ),
            workspaces=workspaces,
        )
    )


def _get_prefix_order(route: routes.Route) -> int:
    return -len(route.path_prefix)


def _build_workspaces(
    workspaces: list[_Workspace] | None,
) -> directory.Directory | None:
    # An empty list leaves no valid key; it does not open the routes.
    if workspaces is None:
        return None
    return directory.build_directory(
        (
            directory.Workspace(workspace.name, workspace.priority),
            _get_digests(workspace, index),
        )
        for index, workspace in enumerate(workspaces)
    )


def _get_digests(
    workspace: _Workspace, index: int
) -> abc.Iterator[tuple[str, bytes]]:
    yield from directory.make_digests(
        workspace.api_keys or (), f'{index}.api_keys'
    )
    for position, digest in enumerate(workspace.api_key_digests or ()):
        yield f'{index}.api_key_digests.{position}', bytes.fromhex(digest)


def _decode_service(service: _Service) -> routes.ServiceTarget:
    models = service.engine.models if service.engine is not None else []
    return routes.ServiceTarget(
        service.name,
        tuple(model.name for model in models),
        _decode_scaling(service.scaling),
    )


def _decode_scaling(scaling: _Scaling | None) -> plan.Scaling | None:
    if scaling is None:
        return None
    return plan.Scaling(
        scaling.min,
        scaling.max,
        scaling.boot_s,
        scaling.spot_price,
        scaling.zone_prices,
    )


def _decode_route(route: _Route, version: int) -> routes.Route:
    shares = [
        routes.Share(split.service, split.weight)
        for split in route.traffic_split
    ]
    if route.service is not None:
        shares = [routes.Share(route.service, 1.0)]
    return routes.Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        route_type=REPEAT_BY_ROUTE_TYPE[route.route_type],
        shares=tuple(shares),
        timeout_ms=route.timeout_ms or DEFAULT_TIMEOUT_MS,
        target_latency_ms=route.target_latency_ms,
        max_attempts=max(route.max_attempts, 1),
        resumable=route.resumable,
        single_version=route.single_version,
        job_deadline_ms=route.result_deadline_ms,
        item_ttl_ms=route.item_ttl_s * 1000,
        configuration_version=version,
        is_anonymous=bool(route.anonymous),
        priority=route.priority,
    )
