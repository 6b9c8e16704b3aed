"""Outcomes of a request and of each of its attempts."""

import dataclasses
import enum

from .. import answermemory
from .. import message
from . import call as calls

__all__ = ['Attempt', 'Outcome', 'OutcomeKind', 'make_answered_outcome']


class OutcomeKind(enum.Enum):
    """How a request ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    TIMED_OUT = 'timed-out'
    # Nothing was sent: the configuration no longer grants what it granted.
    WITHDRAWN = 'withdrawn'
    # Nothing was sent: the stream to resume is that of another workspace.
    FOREIGN = 'foreign'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The answer to pass on, or the reason why there is none."""

    kind: OutcomeKind
    reason: str = ''
    status: int = 0
    headers: message.Headers = ()
    body: bytes = b''
    signature: str | None = None
    errors: int = 0
    retry_after_ms: float = 0.0
    # Counts the body in the memory of the instance.
    kept: answermemory.Share | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Result of one attempt; without an outcome if it failed."""

    endpoint_id: str
    not_run: bool
    outcome: Outcome | None = None
    reason: str = ''
    # When its endpoint began to run it, in seconds of the event loop.
    began_at: float = 0.0


def make_answered_outcome(
    answer: calls.Answer, body: bytes, kept: answermemory.Share | None
) -> Outcome:
    """Return the outcome for a complete answer of an endpoint."""
    return Outcome(
        OutcomeKind.ANSWERED,
        '',
        answer.status,
        answer.headers,
        body,
        answer.signature,
        kept=kept,
    )
