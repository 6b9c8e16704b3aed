"""Queue requests of one pool by priority, age and deadline."""

import dataclasses

from . import refusal

__all__ = [
    'AdmissionState',
    'Limits',
    'WaitingRequest',
    'enqueue',
    'pop_expired',
]

AGEING_MS = 2000
WAIT_MARGIN = 1.5
RETRY_AFTER_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Hold the limits of one pool on this instance, in requests."""

    queue: int
    per_caller: int
    per_service: int


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """Describe a request that waits for a slot."""

    id: str
    service: str
    caller: str
    priority: int
    units: float
    arrived_at_ms: float
    deadline_ms: float
    is_long: bool = False
    expected_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class AdmissionState:
    """Hold the waiting requests and the counts that limits apply to."""

    limits: Limits
    by_id: dict[str, WaitingRequest] = dataclasses.field(default_factory=dict)
    admitted_by_caller: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    admitted_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    drain_ms_per_request: float = 0.0


def enqueue(
    state: AdmissionState, item: WaitingRequest, now_ms: float
) -> refusal.Refusal | None:
    """Admit a request or return why it can't be."""
    reason = _find_refusal(state, item, now_ms)
    if reason is not None:
        return reason
    state.by_id[item.id] = item
    _count(state.admitted_by_caller, item.caller, 1)
    _count(state.admitted_by_service, item.service, 1)
    return None


def pop_next(
    state: AdmissionState, now_ms: float, long_allowed: bool = True
) -> WaitingRequest | None:
    """Remove and return the most urgent request, or None."""
    fit = [
        one for one in state.by_id.values() if long_allowed or not one.is_long
    ]
    if not fit:
        return None
    best = min(fit, key=lambda one: _get_rank(one, now_ms))
    del state.by_id[best.id]
    return best


def pop_expired(state: AdmissionState, now_ms: float) -> list[WaitingRequest]:
    """Remove and return the requests that would end too late."""
    late = [
        one
        for one in state.by_id.values()
        if one.deadline_ms - one.expected_ms <= now_ms
    ]
    for one in late:
        del state.by_id[one.id]
    return late


def withdraw(state: AdmissionState, request_id: str) -> bool:
    """Remove a waiting request; return False when it had left the queue."""
    return state.by_id.pop(request_id, None) is not None


def release(state: AdmissionState, item: WaitingRequest) -> None:
    """Give back the counts of a request that has ended."""
    _count(state.admitted_by_caller, item.caller, -1)
    _count(state.admitted_by_service, item.service, -1)


def record_drain(state: AdmissionState, interval_ms: float) -> None:
    """Learn how long the queue takes to let one request through."""
    step = 0.1 * (interval_ms - state.drain_ms_per_request)
    state.drain_ms_per_request += step


def _get_rank(
    item: WaitingRequest, now_ms: float
) -> tuple[float, float, float]:
    aged = (now_ms - item.arrived_at_ms) / AGEING_MS
    length_class = 1 if item.is_long else 0
    return (
        item.priority + length_class - aged,
        item.deadline_ms,
        item.arrived_at_ms,
    )


def _find_refusal(
    state: AdmissionState, item: WaitingRequest, now_ms: float
) -> refusal.Refusal | None:
    limits = state.limits
    if state.admitted_by_caller.get(item.caller, 0) >= limits.per_caller:
        return _refuse(
            refusal.Code.CALLER_LIMIT,
            f'The caller has {limits.per_caller} requests in progress.',
        )
    if state.admitted_by_service.get(item.service, 0) >= limits.per_service:
        return _refuse(
            refusal.Code.QUEUE_FULL,
            f'The service has {limits.per_service} requests in progress.',
        )
    if len(state.by_id) >= limits.queue:
        return _refuse(
            refusal.Code.QUEUE_FULL,
            f'The queue holds {limits.queue} requests.',
        )
    wait_ms = _estimate_wait_ms(state, item, now_ms)
    needed_ms = WAIT_MARGIN * wait_ms + item.expected_ms
    if now_ms + needed_ms >= item.deadline_ms:
        return _refuse(
            refusal.Code.DEADLINE_TOO_SHORT,
            f'The wait is about {int(wait_ms)} ms.',
        )
    return None


def _estimate_wait_ms(
    state: AdmissionState, item: WaitingRequest, now_ms: float
) -> float:
    rank = _get_rank(item, now_ms)
    ahead = sum(
        1 for one in state.by_id.values() if _get_rank(one, now_ms) <= rank
    )
    return ahead * state.drain_ms_per_request


def _count(counts: dict[str, int], key: str, change: int) -> None:
    value = counts.get(key, 0) + change
    if value > 0:
        counts[key] = value
    else:
        counts.pop(key, None)


def _refuse(code: refusal.Code, detail: str) -> refusal.Refusal:
    return refusal.Refusal(code, detail, retry_after_ms=RETRY_AFTER_MS)
