"""Run a non-repeatable request at most once per idempotency key."""

from __future__ import annotations

from . import claimbook
from . import claimreply
from . import issuedkey
from . import refusal
from . import verdict

__all__ = [
    'admit',
    'answer_peer',
    'expire',
    'forget',
    'record_dispatched',
    'record_done',
    'record_failed',
    'record_requeued',
    'record_row',
    'record_store_unavailable',
    'record_undispatched',
]

RETENTION_MS = 600_000
RETRY_AFTER_MS = 1000


def admit(
    book: claimbook.ClaimBook, key: str, fingerprint: str, now_ms: float
) -> claimbook.Admission:
    """Decide the next step for a request that carries the key."""
    claim = book.by_key.get(key)
    issued = issuedkey.find_issued_key(key)
    if claim is not None and not _may_have_moved(claim, issued):
        return _admit_again(claim, fingerprint, now_ms)
    if issued is None:
        book.last_token += 1
        token = f'{book.incarnation}/{book.last_token}'
        claim = claimbook.Claim(
            fingerprint, claimbook.Phase.CLAIMING, now_ms, token
        )
        book.by_key[key] = claim
        return claimbook.Admission(claimbook.Step.WRITE_CLAIM)
    if issued.incarnation != book.incarnation:
        return claimbook.Admission(
            claimbook.Step.ASK_OWNER, owner=issued.incarnation
        )
    if now_ms >= issued.expires_at_ms:
        return _refuse(
            refusal.Code.KEY_EXPIRED,
            'The key is too old. Ask for a new key.',
            verdict.Verdict.MAY_HAVE_RUN,
        )
    book.by_key[key] = claimbook.Claim(
        fingerprint, claimbook.Phase.OWNED, now_ms
    )
    return claimbook.Admission(claimbook.Step.RUN)


def record_row(
    book: claimbook.ClaimBook, key: str, row_token: str, now_ms: float
) -> claimbook.Admission:
    """Decide by the token in the row after an attempted write.

    The token of this claim means that the write took effect, even if its
    reply was lost.
    """
    claim = book.by_key.get(key)
    if claim is None:
        return _refuse_lost()
    if claim.phase == claimbook.Phase.RELEASED:
        return _refuse_released()
    if row_token == claim.token:
        claim.phase = claimbook.Phase.OWNED
        claim.touched_at_ms = now_ms
        return claimbook.Admission(claimbook.Step.RUN)
    owner = row_token.partition('/')[0]
    if owner == book.incarnation:
        claim.phase = claimbook.Phase.FAILED
        return _refuse_lost()
    return claimbook.Admission(claimbook.Step.ASK_OWNER, owner=owner)


def forget(book: claimbook.ClaimBook, key: str) -> None:
    """Remove a key that another incarnation owns and that never ran here."""
    claim = book.by_key.get(key)
    if claim is not None and claim.phase == claimbook.Phase.CLAIMING:
        del book.by_key[key]


def record_store_unavailable(
    book: claimbook.ClaimBook, key: str
) -> claimbook.Admission:
    """Refuse because the write may not have applied; nothing was sent."""
    claim = book.by_key.get(key)
    if claim is not None and claim.phase == claimbook.Phase.CLAIMING:
        claim.phase = claimbook.Phase.UNSURE
    return _refuse(
        refusal.Code.STORE_UNAVAILABLE,
        'The table service does not answer. This send did not run, an '
        'earlier one may have. Send again with the same key.',
        verdict.Verdict.MAY_HAVE_RUN,
    )


def record_dispatched(book: claimbook.ClaimBook, key: str) -> bool:
    """Mark an owned key before the first byte; return False if not owned."""
    claim = book.by_key.get(key)
    if claim is None or claim.phase != claimbook.Phase.OWNED:
        return False
    claim.phase = claimbook.Phase.DISPATCHED
    return True


def record_undispatched(
    book: claimbook.ClaimBook, key: str, now_ms: float
) -> None:
    """Allow the key to run later, since no byte of the request was sent."""
    claim = book.by_key.get(key)
    if claim is None:
        return
    if claim.phase in (claimbook.Phase.OWNED, claimbook.Phase.DISPATCHED):
        claim.phase = claimbook.Phase.IDLE
        claim.touched_at_ms = now_ms


def record_requeued(book: claimbook.ClaimBook, key: str) -> None:
    """Return the key to owned after an attempt that sent no byte."""
    claim = book.by_key.get(key)
    if claim is not None and claim.phase == claimbook.Phase.DISPATCHED:
        claim.phase = claimbook.Phase.OWNED


def record_done(
    book: claimbook.ClaimBook,
    key: str,
    reply: claimreply.RecordedReply,
    now_ms: float,
) -> None:
    """Store the complete reply for replays."""
    claim = book.by_key[key]
    claim.phase = claimbook.Phase.DONE
    claim.reply = reply
    claim.touched_at_ms = now_ms


def record_failed(book: claimbook.ClaimBook, key: str, now_ms: float) -> None:
    """Record that the request may have run and must not run again."""
    claim = book.by_key[key]
    claim.phase = claimbook.Phase.FAILED
    claim.touched_at_ms = now_ms


def answer_peer(
    book: claimbook.ClaimBook, key: str, fingerprint: str, now_ms: float
) -> claimbook.Claim:
    """Return the claim to a peer; release a key that never ran here."""
    claim = book.by_key.get(key)
    if claim is None:
        issued = issuedkey.find_issued_key(key)
        is_own = issued is not None and issued.incarnation == book.incarnation
        is_valid = is_own and now_ms < issued.expires_at_ms
        if not is_valid:
            return claimbook.Claim(fingerprint, claimbook.Phase.FAILED, now_ms)
        claim = claimbook.Claim(fingerprint, claimbook.Phase.RELEASED, now_ms)
        book.by_key[key] = claim
    elif claim.phase in (claimbook.Phase.UNSURE, claimbook.Phase.IDLE):
        claim.phase = claimbook.Phase.RELEASED
    return claim


def expire(book: claimbook.ClaimBook, now_ms: float) -> None:
    """Remove old keys; their rows and expiry prevent another run."""
    expired_keys = [
        key
        for key, claim in book.by_key.items()
        if now_ms - claim.touched_at_ms > RETENTION_MS
        and claim.phase
        not in (claimbook.Phase.OWNED, claimbook.Phase.DISPATCHED)
    ]
    for key in expired_keys:
        del book.by_key[key]


def _may_have_moved(
    claim: claimbook.Claim, issued: issuedkey.IssuedKey | None
) -> bool:
    # A released key of the caller may have run on another instance since.
    return issued is None and claim.phase == claimbook.Phase.RELEASED


def _admit_again(
    claim: claimbook.Claim, fingerprint: str, now_ms: float
) -> claimbook.Admission:
    if claim.fingerprint != fingerprint:
        return _refuse(
            refusal.Code.KEY_REUSED,
            'The key was used for another request.',
            verdict.Verdict.NOT_RUN,
        )
    if claim.phase == claimbook.Phase.DONE:
        return claimbook.Admission(claimbook.Step.REPLAY, reply=claim.reply)
    if claim.phase == claimbook.Phase.IDLE:
        claim.phase = claimbook.Phase.OWNED
        claim.touched_at_ms = now_ms
        return claimbook.Admission(claimbook.Step.RUN)
    if claim.phase == claimbook.Phase.UNSURE:
        claim.phase = claimbook.Phase.CLAIMING
        return claimbook.Admission(claimbook.Step.WRITE_CLAIM)
    if claim.phase == claimbook.Phase.FAILED:
        return _refuse_lost()
    if claim.phase == claimbook.Phase.RELEASED:
        return _refuse_released()
    return _refuse(
        refusal.Code.KEY_IN_PROGRESS,
        'The request with this key is in progress.',
        verdict.Verdict.MAY_HAVE_RUN,
    )


def _refuse_lost() -> claimbook.Admission:
    return _refuse(
        refusal.Code.KEY_OWNER_LOST,
        'The request with this key may have run. It is not sent again.',
        verdict.Verdict.MAY_HAVE_RUN,
    )


def _refuse_released() -> claimbook.Admission:
    return _refuse(
        refusal.Code.KEY_RELEASED,
        'The key was given up before it ran. Use a new key.',
        verdict.Verdict.NOT_RUN,
    )


def _refuse(
    code: refusal.Code, detail: str, outcome: verdict.Verdict
) -> claimbook.Admission:
    is_temporary = code in (
        refusal.Code.KEY_IN_PROGRESS,
        refusal.Code.STORE_UNAVAILABLE,
    )
    retry_after_ms = RETRY_AFTER_MS if is_temporary else None
    refused = refusal.Refusal(code, detail, outcome, retry_after_ms)
    return claimbook.Admission(claimbook.Step.REFUSE, refusal=refused)
