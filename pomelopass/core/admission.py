"""Admit requests to the queue of a pool, ordered by priority and age."""

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
    """Limits of a pool on this instance, in requests."""

    queue: int
    per_caller: int
    per_service: int


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request that waits for a slot; units are its expected length."""

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
    """Queued requests and counts of admitted requests per pool."""

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
    state: AdmissionState, request: WaitingRequest, now_ms: float
) -> refusal.Refusal | None:
    """Queue a request, or return the refusal."""
    reason = _find_refusal(state, request, now_ms)
    if reason is not None:
        return reason
    state.by_id[request.id] = request
    _add_to_count(state.admitted_by_caller, request.caller, 1)
    _add_to_count(state.admitted_by_service, request.service, 1)
    return None


def pop_next(
    state: AdmissionState, now_ms: float, long_allowed: bool = True
) -> WaitingRequest | None:
    """Remove and return the most urgent request, or None."""
    eligible = [
        waiting
        for waiting in state.by_id.values()
        if long_allowed or not waiting.is_long
    ]
    if not eligible:
        return None
    most_urgent = min(eligible, key=lambda waiting: _get_rank(waiting, now_ms))
    del state.by_id[most_urgent.id]
    return most_urgent


def pop_expired(state: AdmissionState, now_ms: float) -> list[WaitingRequest]:
    """Remove and return requests that would miss their deadline."""
    expired = [
        waiting
        for waiting in state.by_id.values()
        if waiting.deadline_ms - waiting.expected_ms <= now_ms
    ]
    for waiting in expired:
        del state.by_id[waiting.id]
    return expired


def withdraw(state: AdmissionState, request_id: str) -> bool:
    """Remove a waiting request; return False if it is not queued."""
    return state.by_id.pop(request_id, None) is not None


def release(state: AdmissionState, request: WaitingRequest) -> None:
    """Decrement the counts of a request that has ended."""
    _add_to_count(state.admitted_by_caller, request.caller, -1)
    _add_to_count(state.admitted_by_service, request.service, -1)


def record_drain(state: AdmissionState, interval_ms: float) -> None:
    """Update the smoothed interval at which requests leave the queue."""
    change_ms = 0.1 * (interval_ms - state.drain_ms_per_request)
    state.drain_ms_per_request += change_ms


def _get_rank(
    request: WaitingRequest, now_ms: float
) -> tuple[float, float, float]:
    aged = (now_ms - request.arrived_at_ms) / AGEING_MS
    length_class = 1 if request.is_long else 0
    return (
        request.priority + length_class - aged,
        request.deadline_ms,
        request.arrived_at_ms,
    )


def _find_refusal(
    state: AdmissionState, request: WaitingRequest, now_ms: float
) -> refusal.Refusal | None:
    limits = state.limits
    if state.admitted_by_caller.get(request.caller, 0) >= limits.per_caller:
        return _refuse(
            refusal.Code.CALLER_LIMIT,
            f'The caller has {limits.per_caller} requests in progress.',
        )
    if state.admitted_by_service.get(request.service, 0) >= limits.per_service:
        return _refuse(
            refusal.Code.QUEUE_FULL,
            f'The service has {limits.per_service} requests in progress.',
        )
    if len(state.by_id) >= limits.queue:
        return _refuse(
            refusal.Code.QUEUE_FULL,
            f'The queue holds {limits.queue} requests.',
        )
    wait_ms = _estimate_wait_ms(state, request, now_ms)
    needed_ms = WAIT_MARGIN * wait_ms + request.expected_ms
    if now_ms + needed_ms >= request.deadline_ms:
        return _refuse(
            refusal.Code.DEADLINE_TOO_SHORT,
            f'The wait is about {int(wait_ms)} ms.',
        )
    return None


def _estimate_wait_ms(
    state: AdmissionState, request: WaitingRequest, now_ms: float
) -> float:
    rank = _get_rank(request, now_ms)
    ahead = sum(
        1
        for waiting in state.by_id.values()
        if _get_rank(waiting, now_ms) <= rank
    )
    return ahead * state.drain_ms_per_request


def _add_to_count(counts: dict[str, int], key: str, change: int) -> None:
    value = counts.get(key, 0) + change
    if value > 0:
        counts[key] = value
    else:
        counts.pop(key, None)


def _refuse(code: refusal.Code, detail: str) -> refusal.Refusal:
    return refusal.Refusal(code, detail, retry_after_ms=RETRY_AFTER_MS)
