"""Define the work item of a request and the slot that it runs in."""

import dataclasses

from .. import message
from ..core import refusal
from ..core import routing
from ..core import verdict

__all__ = ['Refused', 'Slot', 'Work']


@dataclasses.dataclass(slots=True)
class Work:
    """A request with the data that its dispatch needs."""

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
    tried_endpoints: set[str] = dataclasses.field(default_factory=set)

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f'{self.id}.{len(self.verdicts) + 1}'


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A reserved slot on an endpoint."""

    candidate: routing.Candidate
    attempt_id: str
    started_at_ms: float


class Refused(Exception):  # noqa: N818
    """A refused request; states whether its key has been checked."""

    def __init__(self, reason: refusal.Refusal, key_checked: bool = False):
        super().__init__(reason.code)
        self.reason = reason
        self.key_checked = key_checked
