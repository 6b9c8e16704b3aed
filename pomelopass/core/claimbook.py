"""Hold the claims that one incarnation knows."""

from __future__ import annotations

import dataclasses
import enum

from . import claimreply
from . import refusal

__all__ = ['Admission', 'Claim', 'ClaimBook', 'Phase', 'Step']


class Phase(enum.Enum):
    """Name how far the request of a key has come on this instance."""

    CLAIMING = 'claiming'
    UNSURE = 'unsure'
    OWNED = 'owned'
    IDLE = 'idle'
    DISPATCHED = 'dispatched'
    FAILED = 'failed'
    DONE = 'done'
    RELEASED = 'released'


class Step(enum.Enum):
    """Name what the instance must do for an admitted key."""

    RUN = 'run'
    WRITE_CLAIM = 'write-claim'
    ASK_OWNER = 'ask-owner'
    REPLAY = 'replay'
    REFUSE = 'refuse'


@dataclasses.dataclass(slots=True)
class Claim:
    """Hold the state of one key."""

    fingerprint: str
    phase: Phase
    touched_at_ms: float
    token: str = ''
    reply: claimreply.RecordedReply | None = None


@dataclasses.dataclass(slots=True)
class ClaimBook:
    """Hold the keys that this incarnation knows."""

    incarnation: str
    last_token: int = 0
    by_key: dict[str, Claim] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Carry the step with what it needs."""

    step: Step
    refusal: refusal.Refusal | None = None
    reply: claimreply.RecordedReply | None = None
    owner: str | None = None
