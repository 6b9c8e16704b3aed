"""Test the claims of idempotency keys step by step."""

from pomelopass.core import claimbook
from pomelopass.core import claimreply
from pomelopass.core import claims
from pomelopass.core import issuedkey
from pomelopass.core import verdict

REPLY = claimreply.RecordedReply(200, (), b'done')


def make_book(incarnation: str = 'a') -> claimbook.ClaimBook:
    """Return an empty book."""
    return claimbook.ClaimBook(incarnation)


def test_issued_key_runs_once_and_is_replayed():
    book = make_book()
    key = issuedkey.make_issued_key('a', 1, 0)
    assert claims.admit(book, key, 'f', 1).step == claimbook.Step.RUN
    assert claims.record_dispatched(book, key)
    again = claims.admit(book, key, 'f', 2)
    assert again.refusal.verdict == verdict.Verdict.MAY_HAVE_RUN
    claims.record_done(book, key, REPLY, 3)
    assert claims.admit(book, key, 'f', 4).reply == REPLY


def test_expired_issued_key_is_never_run_again():
    book = make_book()
    key = issuedkey.make_issued_key('a', 1, 0)
    claims.admit(book, key, 'f', 1)
    claims.record_dispatched(book, key)
    claims.record_failed(book, key, 1)
    late_ms = 2 + claims.RETENTION_MS
    claims.expire(book, late_ms)
    assert key not in book.by_key
    admission = claims.admit(book, key, 'f', late_ms)
    assert admission.refusal.verdict == verdict.Verdict.MAY_HAVE_RUN


def test_forgotten_caller_key_is_not_run_again_by_its_owner():
    book = make_book()
    claims.admit(book, 'k', 'f', 0)
    token = book.by_key['k'].token
    claims.record_row(book, 'k', token, 0)
    claims.record_dispatched(book, 'k')
    claims.record_failed(book, 'k', 0)
    claims.expire(book, claims.RETENTION_MS + 1)
    admission = claims.admit(book, 'k', 'f', claims.RETENTION_MS + 2)
    assert admission.step == claimbook.Step.WRITE_CLAIM
    rejection = claims.record_row(book, 'k', token, claims.RETENTION_MS + 3)
    assert rejection.refusal.verdict == verdict.Verdict.MAY_HAVE_RUN


def test_claim_whose_write_reply_was_lost_still_runs():
    book = make_book()
    claims.admit(book, 'k', 'f', 0)
    rejection = claims.record_store_unavailable(book, 'k')
    assert rejection.refusal.verdict == verdict.Verdict.MAY_HAVE_RUN
    again = claims.admit(book, 'k', 'f', 1)
    assert again.step == claimbook.Step.WRITE_CLAIM
    token = book.by_key['k'].token
    assert claims.record_row(book, 'k', token, 2).step == claimbook.Step.RUN


def test_key_released_to_a_peer_never_runs_here():
    book = make_book()
    claims.admit(book, 'k', 'f', 0)
    claims.record_store_unavailable(book, 'k')
    released = claims.answer_peer(book, 'k', 'f', 1)
    assert released.phase == claimbook.Phase.RELEASED
    assert not claims.record_dispatched(book, 'k')
    again = claims.admit(book, 'k', 'f', 2)
    assert again.step == claimbook.Step.WRITE_CLAIM
    moved = claims.record_row(book, 'k', 'b/1', 3)
    assert moved.owner == 'b'


def test_released_issued_key_is_refused_as_not_run():
    book = make_book()
    key = issuedkey.make_issued_key('a', 1, 0)
    released = claims.answer_peer(book, key, 'f', 1)
    assert released.phase == claimbook.Phase.RELEASED
    rejection = claims.admit(book, key, 'f', 2)
    assert rejection.refusal.verdict == verdict.Verdict.NOT_RUN


def test_owned_key_is_not_released():
    book = make_book()
    key = issuedkey.make_issued_key('a', 1, 0)
    claims.admit(book, key, 'f', 0)
    owned = claims.answer_peer(book, key, 'f', 1)
    assert owned.phase == claimbook.Phase.OWNED
    assert claims.record_dispatched(book, key)


def test_caller_key_that_its_owner_forgot_may_have_run():
    book = make_book()
    forgotten = claims.answer_peer(book, 'k', 'f', 0)
    assert forgotten.phase == claimbook.Phase.FAILED


def test_key_with_other_content_is_refused():
    book = make_book()
    claims.admit(book, 'k', 'f', 0)
    rejection = claims.admit(book, 'k', 'g', 1)
    assert rejection.refusal.code == 'key-reused'
