"""Build the work item of a caller's request."""

import xxhash

from .. import message
from ..core import affinity
from ..core import length
from ..core import refusal
from ..kinds import service
from ..running import context as contexts
from . import work

__all__ = ['get_service', 'make_work', 'record_end']

CALLER_HEADER = 'x-caller'
ANONYMOUS = 'anonymous'


def get_service(
    context: contexts.Context, name: str, kind: str
) -> service.Service:
    """Return a service of the kind; raise Refused."""
    if context.configuration is None:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.NOT_READY,
                'No configuration is in force here yet.',
                retry_after_ms=1000,
            )
        )
    service_config = context.configuration.services.get(name)
    if service_config is None or service_config.kind != kind:
        detail = f'No {kind} service is named {name!r}.'
        raise work.Refused(
            refusal.Refusal(refusal.Code.UNKNOWN_SERVICE, detail)
        )
    return service_config


def make_work(
    context: contexts.Context,
    request: message.Request,
    name: str,
    target: str,
    body: bytes,
    shape: str,
    prompt: str,
    limit: float | None,
) -> work.Work:
    """Return the work item of a request to a service."""
    service_config = context.configuration.services[name]
    state = contexts.get_pool_state(context, service_config.pool)
    headers = request.headers
    now_ms = context.ports.clock.now_ms()
    repeatable = service_config.repeatable and not _is_marked_non_repeatable(
        headers
    )
    return work.Work(
        id=contexts.make_id(context),
        service=name,
        pool=service_config.pool,
        caller=message.find_header(headers, CALLER_HEADER) or ANONYMOUS,
        target=target,
        method=request.method,
        headers=headers,
        body=body,
        repeatable=repeatable,
        is_retry=message.find_header(headers, 'x-retry-attempt') is not None,
        priority=service_config.priority,
        deadline_ms=now_ms
        + _get_timeout_ms(headers, service_config.timeout_ms),
        fingerprint=get_fingerprint(name, request.method, target, body),
        shape=shape,
        prefix=affinity.get_prefix(prompt),
        units=length.estimate(state.lengths, shape, limit),
        began_ms=now_ms,
        key=_get_key(headers, repeatable),
    )


def get_fingerprint(name: str, method: str, target: str, body: bytes) -> str:
    """Return a hash of the service, method, target and body."""
    digest = xxhash.xxh3_128(f'{name}\0{method}\0{target}\0'.encode())
    digest.update(body)
    return digest.hexdigest()


def record_end(
    context: contexts.Context, item: work.Work, outcome: str
) -> None:
    """Record the outcome and latency of a finished request."""
    labels = {'service': item.service, 'outcome': outcome}
    context.metrics.requests.inc(labels)
    latency_ms = context.ports.clock.now_ms() - item.began_ms
    context.metrics.latency.observe(
        {'service': item.service}, latency_ms / 1000
    )
    contexts.record_event(context, 'request-ended', item.id, outcome)


def _is_marked_non_repeatable(headers: message.Headers) -> bool:
    value = message.find_header(headers, 'x-repeatable')
    return value is not None and value.lower() in ('false', 'no', '0')


def _get_timeout_ms(headers: message.Headers, limit_ms: int) -> float:
    value = message.find_header(headers, 'x-timeout-ms')
    if value is None:
        return limit_ms
    if not value.isdecimal() or int(value) < 1:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.BAD_REQUEST,
                'X-Timeout-Ms must be a whole number from 1.',
            )
        )
    return min(limit_ms, int(value))


def _get_key(headers: message.Headers, repeatable: bool) -> str | None:
    if repeatable:
        return None
    key = message.find_header(headers, 'idempotency-key')
    if key is None:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.KEY_REQUIRED,
                'Send Idempotency-Key, or get a key from /idempotency-keys.',
            )
        )
    if not 1 <= len(key) <= 200 or '/' in key or not key.isprintable():
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.KEY_INVALID,
                'A key has 1 to 200 characters without "/".',
            )
        )
    return key
