"""Describe one request on its way to an endpoint."""

import dataclasses

from .. import message
from ..core import refusal
from ..core import routing
from ..core import verdict

__all__ = ['Refused', 'Slot', 'Work']


@dataclasses.dataclass(slots=True)
class Work:
    """Hold a request with all that its dispatch depends on."""

    id: str
    service: str
    pool: str
    caller: str
    target: str
    method: str
    headers: message.Headers
    body: bytes
    repeatable: bool
    is_retry: bool
    priority: int
    deadline_ms: float
    fingerprint: str
    shape: str
    prefix: str
    units: float
    began_ms: float = 0.0
    key: str | None = None
    verdicts: list[verdict.Verdict] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)

    @property
    def attempt_id(self) -> str:
        """Return an id for the present attempt."""
        return f'{self.id}.{len(self.verdicts) + 1}'


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Hold a reserved place on an endpoint."""

    candidate: routing.Candidate
    attempt_id: str
    started_at_ms: float


class Refused(Exception):  # noqa: N818
    """Carry a refusal and whether it looked the idempotency key up."""

    def __init__(self, reason: refusal.Refusal, key_checked: bool = False):
        super().__init__(reason.code)
        self.reason = reason
        self.key_checked = key_checked
