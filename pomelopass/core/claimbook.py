"""Define the claims on idempotency keys of one incarnation."""

from __future__ import annotations

import dataclasses
import enum

from . import claimreply
from . import refusal

__all__ = ['Admission', 'Claim', 'ClaimBook', 'Phase', 'Step']


class Phase(enum.Enum):
    """Progress of the request with a key on this instance."""

    CLAIMING = 'claiming'
    UNSURE = 'unsure'
    OWNED = 'owned'
    IDLE = 'idle'
    DISPATCHED = 'dispatched'
    FAILED = 'failed'
    DONE = 'done'
    RELEASED = 'released'


class Step(enum.Enum):
    """Next step for a request with an idempotency key."""

    RUN = 'run'
    WRITE_CLAIM = 'write-claim'
    ASK_OWNER = 'ask-owner'
    REPLAY = 'replay'
    REFUSE = 'refuse'


@dataclasses.dataclass(slots=True)
class Claim:
    """State of one idempotency key."""

    fingerprint: str
    phase: Phase
    touched_at_ms: float
    token: str = ''
    reply: claimreply.RecordedReply | None = None


@dataclasses.dataclass(slots=True)
class ClaimBook:
    """Claims of this incarnation by key."""

    incarnation: str
    last_token: int = 0
    by_key: dict[str, Claim] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The next step with the refusal, reply or owner that it needs."""

    step: Step
    refusal: refusal.Refusal | None = None
    reply: claimreply.RecordedReply | None = None
    owner: str | None = None
