"""Run a non-repeatable request at most once per idempotency key."""

from __future__ import annotations

import dataclasses
import enum

from . import claimreply
from . import issuedkey
from . import refusal
from . import verdict

__all__ = [
    'Claim',
    'ClaimBook',
    'Phase',
    'Step',
    'admit',
    'answer_peer',
    'expire',
    'forget',
    'note_dispatched',
    'note_done',
    'note_failed',
    'note_requeued',
    'note_row',
    'note_store_unavailable',
    'note_undispatched',
]

RETENTION_MS = 600_000
RETRY_AFTER_MS = 1000


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


def admit(
    book: ClaimBook, key: str, fingerprint: str, now_ms: float
) -> Admission:
    """Decide what to do with a request that carries the key."""
    claim = book.by_key.get(key)
    issued = issuedkey.find_issued_key(key)
    if claim is not None and not _may_have_moved(claim, issued):
        return _admit_known(claim, fingerprint, now_ms)
    if issued is None:
        book.last_token += 1
        token = f'{book.incarnation}/{book.last_token}'
        claim = Claim(fingerprint, Phase.CLAIMING, now_ms, token)
        book.by_key[key] = claim
        return Admission(Step.WRITE_CLAIM)
    if issued.incarnation != book.incarnation:
        return Admission(Step.ASK_OWNER, owner=issued.incarnation)
    if now_ms >= issued.expires_at_ms:
        return _refuse(
            refusal.Code.KEY_EXPIRED,
            'The key is too old. Ask for a new key.',
            verdict.Verdict.MAY_HAVE_RUN,
        )
    book.by_key[key] = Claim(fingerprint, Phase.OWNED, now_ms)
    return Admission(Step.RUN)


def note_row(
    book: ClaimBook, key: str, row_token: str, now_ms: float
) -> Admission:
    """Decide by the token that the row holds after a write was tried.

    A token of this claim means that the write took effect, even when its
    answer was lost.
    """
    claim = book.by_key.get(key)
    if claim is None:
        return _refuse_lost()
    if claim.phase == Phase.RELEASED:
        return _refuse_released()
    if row_token == claim.token:
        claim.phase = Phase.OWNED
        claim.touched_at_ms = now_ms
        return Admission(Step.RUN)
    owner = row_token.partition('/')[0]
    if owner == book.incarnation:
        claim.phase = Phase.FAILED
        return _refuse_lost()
    return Admission(Step.ASK_OWNER, owner=owner)


def forget(book: ClaimBook, key: str) -> None:
    """Drop a key that another incarnation owns and that never ran here."""
    claim = book.by_key.get(key)
    if claim is not None and claim.phase == Phase.CLAIMING:
        del book.by_key[key]


def note_store_unavailable(book: ClaimBook, key: str) -> Admission:
    """Refuse while the write of the row is unsure; nothing was sent."""
    claim = book.by_key.get(key)
    if claim is not None and claim.phase == Phase.CLAIMING:
        claim.phase = Phase.UNSURE
    return _refuse(
        refusal.Code.STORE_UNAVAILABLE,
        'The table service does not answer. This send did not run, an '
        'earlier one may have. Send again with the same key.',
        verdict.Verdict.MAY_HAVE_RUN,
    )


def note_dispatched(book: ClaimBook, key: str) -> bool:
    """Mark the key just before the first byte; refuse when not owned."""
    claim = book.by_key.get(key)
    if claim is None or claim.phase != Phase.OWNED:
        return False
    claim.phase = Phase.DISPATCHED
    return True


def note_undispatched(book: ClaimBook, key: str, now_ms: float) -> None:
    """Let the key run later when no byte of the request was sent."""
    claim = book.by_key.get(key)
    if claim is None:
        return
    if claim.phase in (Phase.OWNED, Phase.DISPATCHED):
        claim.phase = Phase.IDLE
        claim.touched_at_ms = now_ms


def note_requeued(book: ClaimBook, key: str) -> None:
    """Own the key again after an attempt that sent no byte."""
    claim = book.by_key.get(key)
    if claim is not None and claim.phase == Phase.DISPATCHED:
        claim.phase = Phase.OWNED


def note_done(
    book: ClaimBook,
    key: str,
    reply: claimreply.RecordedReply,
    now_ms: float,
) -> None:
    """Keep the whole reply for a repeated send."""
    claim = book.by_key[key]
    claim.phase = Phase.DONE
    claim.reply = reply
    claim.touched_at_ms = now_ms


def note_failed(book: ClaimBook, key: str, now_ms: float) -> None:
    """Record that the request may have run and never will again."""
    claim = book.by_key[key]
    claim.phase = Phase.FAILED
    claim.touched_at_ms = now_ms


def answer_peer(
    book: ClaimBook, key: str, fingerprint: str, now_ms: float
) -> Claim:
    """Answer a peer about a key and give up a key that never ran here."""
    claim = book.by_key.get(key)
    if claim is None:
        issued = issuedkey.find_issued_key(key)
        mine = issued is not None and issued.incarnation == book.incarnation
        fresh = mine and now_ms < issued.expires_at_ms
        if not fresh:
            return Claim(fingerprint, Phase.FAILED, now_ms)
        claim = Claim(fingerprint, Phase.RELEASED, now_ms)
        book.by_key[key] = claim
    elif claim.phase in (Phase.UNSURE, Phase.IDLE):
        claim.phase = Phase.RELEASED
    return claim


def expire(book: ClaimBook, now_ms: float) -> None:
    """Forget old keys; their rows and issue times keep them from running."""
    old = [
        key
        for key, claim in book.by_key.items()
        if now_ms - claim.touched_at_ms > RETENTION_MS
        and claim.phase not in (Phase.OWNED, Phase.DISPATCHED)
    ]
    for key in old:
        del book.by_key[key]


def _may_have_moved(claim: Claim, issued: issuedkey.IssuedKey | None) -> bool:
    # A key of the caller that was given up may have run elsewhere since.
    return issued is None and claim.phase == Phase.RELEASED


def _admit_known(claim: Claim, fingerprint: str, now_ms: float) -> Admission:
    if claim.fingerprint != fingerprint:
        return _refuse(
            refusal.Code.KEY_REUSED,
            'The key was used for another request.',
            verdict.Verdict.NOT_RUN,
        )
    if claim.phase == Phase.DONE:
        return Admission(Step.REPLAY, reply=claim.reply)
    if claim.phase == Phase.IDLE:
        claim.phase = Phase.OWNED
        claim.touched_at_ms = now_ms
        return Admission(Step.RUN)
    if claim.phase == Phase.UNSURE:
        claim.phase = Phase.CLAIMING
        return Admission(Step.WRITE_CLAIM)
    if claim.phase == Phase.FAILED:
        return _refuse_lost()
    if claim.phase == Phase.RELEASED:
        return _refuse_released()
    return _refuse(
        refusal.Code.KEY_IN_PROGRESS,
        'The request with this key is in progress.',
        verdict.Verdict.MAY_HAVE_RUN,
    )


def _refuse_lost() -> Admission:
    return _refuse(
        refusal.Code.KEY_OWNER_LOST,
        'The request with this key may have run. It is not sent again.',
        verdict.Verdict.MAY_HAVE_RUN,
    )


def _refuse_released() -> Admission:
    return _refuse(
        refusal.Code.KEY_RELEASED,
        'The key was given up before it ran. Use a new key.',
        verdict.Verdict.NOT_RUN,
    )


def _refuse(
    code: refusal.Code, detail: str, outcome: verdict.Verdict
) -> Admission:
    waits = code in (
        refusal.Code.KEY_IN_PROGRESS,
        refusal.Code.STORE_UNAVAILABLE,
    )
    retry_after_ms = RETRY_AFTER_MS if waits else None
    reason = refusal.Refusal(code, detail, outcome, retry_after_ms)
    return Admission(Step.REFUSE, refusal=reason)
