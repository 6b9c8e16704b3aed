"""Define why a request is refused."""

from __future__ import annotations

import dataclasses
import enum

from . import verdict

__all__ = ['Code', 'Refusal', 'get_status', 'get_all_codes']


class Code(enum.StrEnum):
    """Stable codes of refusals."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_TRAINER = 'unknown-trainer'
    NOT_FOUND = 'not-found'
    METHOD_NOT_ALLOWED = 'method-not-allowed'
    NOT_AUTHORIZED = 'not-authorized'
    REQUEST_TOO_LARGE = 'request-too-large'
    REPLY_TOO_LARGE = 'reply-too-large'
    NOT_READY = 'not-ready'
    STOPPING = 'stopping'
    QUEUE_FULL = 'queue-full'
    CALLER_LIMIT = 'caller-limit'
    DEADLINE_TOO_SHORT = 'deadline-too-short'
    DEADLINE_PASSED = 'deadline-passed'
    NO_ENDPOINT = 'no-endpoint'
    ENDPOINT_FAILED = 'endpoint-failed'
    QUARANTINED = 'quarantined'
    SUSPECT = 'suspect'
    KEY_REQUIRED = 'key-required'
    KEY_INVALID = 'key-invalid'
    KEY_REUSED = 'key-reused'
    KEY_IN_PROGRESS = 'key-in-progress'
    KEY_EXPIRED = 'key-expired'
    KEY_RELEASED = 'key-released'
    KEY_OWNER_LOST = 'key-owner-lost'
    STORE_UNAVAILABLE = 'store-unavailable'
    CONFIG_CONFLICT = 'config-conflict'
    CONFIG_INVALID = 'config-invalid'
    STEP_CONFLICT = 'step-conflict'
    VERSION_CONFLICT = 'version-conflict'


STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.UNKNOWN_SERVICE: 404,
    Code.UNKNOWN_TRAINER: 404,
    Code.NOT_FOUND: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.NOT_AUTHORIZED: 401,
    Code.REQUEST_TOO_LARGE: 413,
    Code.REPLY_TOO_LARGE: 502,
    Code.NOT_READY: 503,
    Code.STOPPING: 503,
    Code.QUEUE_FULL: 503,
    Code.CALLER_LIMIT: 429,
    Code.DEADLINE_TOO_SHORT: 503,
    Code.DEADLINE_PASSED: 504,
    Code.NO_ENDPOINT: 503,
    Code.ENDPOINT_FAILED: 502,
    Code.QUARANTINED: 422,
    Code.SUSPECT: 503,
    Code.KEY_REQUIRED: 400,
    Code.KEY_INVALID: 400,
    Code.KEY_REUSED: 422,
    Code.KEY_IN_PROGRESS: 409,
    Code.KEY_EXPIRED: 409,
    Code.KEY_RELEASED: 409,
    Code.KEY_OWNER_LOST: 409,
    Code.STORE_UNAVAILABLE: 503,
    Code.CONFIG_CONFLICT: 409,
    Code.CONFIG_INVALID: 422,
    Code.STEP_CONFLICT: 409,
    Code.VERSION_CONFLICT: 409,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal with its verdict and the delay before a retry."""

    code: Code
    detail: str
    verdict: verdict.Verdict = verdict.Verdict.NOT_RUN
    retry_after_ms: int | None = None


def get_status(code: Code) -> int:
    """Return the HTTP status of a refusal code."""
    return STATUS_BY_CODE[code]


def get_all_codes() -> list[Code]:
    """Return every refusal code in a stable order."""
    return sorted(Code)
