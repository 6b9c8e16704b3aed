"""Define HTTP routes and dispatch requests to their handlers."""

from collections import abc
import dataclasses
import re

from . import message
from .callers import work
from .core import refusal
from .core import stopping
from .core import verdict
from .reporting import problemdetails
from .routes import batches
from .routes import completions
from .routes import entries
from .routes import keys
from .routes import operatorconfig
from .routes import operatorstatus
from .routes import plain
from .routes import probes
from .routes import weights
from .running import context as contexts

__all__ = ['Route', 'handle_caller', 'handle_operator']

Handler = abc.Callable[
    [contexts.Context, message.Request, re.Match],
    abc.Awaitable[message.Reply],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Methods and a path pattern with their handler."""

    methods: tuple[str, ...]
    pattern: re.Pattern
    handler: Handler


def _make_routes(
    *modules,
) -> tuple[Route, ...]:
    return tuple(
        Route(methods, re.compile(pattern), handler)
        for module in modules
        for methods, pattern, handler in module.ROUTES
    )


CALLER_ROUTES = _make_routes(
    completions, plain, entries, keys, batches, weights, probes
)
OPERATOR_ROUTES = _make_routes(operatorconfig, operatorstatus, probes)
UNAUTHENTICATED_PATHS = ('/livez', '/readyz', '/metrics')


async def handle_caller(
    context: contexts.Context, request: message.Request
) -> message.Reply:
    """Return the reply to a caller or a trainer."""
    if not stopping.is_accepting(context.stopping):
        reason = refusal.Refusal(
            refusal.Code.STOPPING,
            'The instance stops. Ask /entries of another instance.',
            retry_after_ms=1000,
        )
        return _refuse(context, _adjust_verdict(request, reason))
    return await _handle(context, request, CALLER_ROUTES)


async def handle_operator(
    context: contexts.Context, request: message.Request
) -> message.Reply:
    """Return the reply to an operator who sends the token."""
    path = request.target.partition('?')[0]
    authorization = message.find_header(request.headers, 'authorization')
    expected = f'Bearer {context.operator_token}'
    if path not in UNAUTHENTICATED_PATHS and authorization != expected:
        reason = refusal.Refusal(
            refusal.Code.NOT_AUTHORIZED, 'Send the operator token.'
        )
        return _refuse(context, reason)
    return await _handle(context, request, OPERATOR_ROUTES)


async def _handle(
    context: contexts.Context,
    request: message.Request,
    routes: tuple[Route, ...],
) -> message.Reply:
    try:
        route, match = _find_route(routes, request)
        return await route.handler(context, request, match)
    except work.Refused as refused:
        reason = refused.reason
        if not refused.key_checked:
            reason = _adjust_verdict(request, reason)
        return _refuse(context, reason)


def _find_route(
    routes: tuple[Route, ...], request: message.Request
) -> tuple[Route, re.Match]:
    path = request.target.partition('?')[0]
    code = refusal.Code.NOT_FOUND
    for route in routes:
        match = route.pattern.fullmatch(path)
        if match is None:
            continue
        if request.method in route.methods or not route.methods:
            return route, match
        code = refusal.Code.METHOD_NOT_ALLOWED
    detail = f'{request.method} {path} is not served here.'
    raise work.Refused(refusal.Refusal(code, detail))


def _adjust_verdict(
    request: message.Request, reason: refusal.Refusal
) -> refusal.Refusal:
    # The key was not looked up: an earlier request with it may have run.
    if message.find_header(request.headers, 'idempotency-key') is None:
        return reason
    outcome = max(reason.verdict, verdict.Verdict.MAY_HAVE_RUN)
    return dataclasses.replace(reason, verdict=outcome)


def _refuse(
    context: contexts.Context, reason: refusal.Refusal
) -> message.Reply:
    context.metrics.refusals.inc({'code': str(reason.code)})
    return problemdetails.make_refusal_reply(reason)
