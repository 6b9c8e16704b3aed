"""Run non-repeatable requests at most once by claims on their keys."""

import json

from returns import result

from .. import message
from . import claimwriter
from ..core import claimbook
from ..core import claimreply
from ..core import claims
from ..core import refusal
from ..core import verdict
from ..running import context as contexts
from ..wire.gen.peer import ttypes
from . import work

__all__ = ['begin', 'mark_dispatched', 'mark_requeued', 'settle']


async def begin(
    context: contexts.Context, item: work.Work
) -> message.Reply | None:
    """Return the recorded reply, or None if the request must run here."""
    now_ms = context.ports.clock.now_ms()
    admission = claims.admit(
        context.claims, item.key, item.fingerprint, now_ms
    )
    if admission.step == claimbook.Step.WRITE_CLAIM:
        admission = await _write_claim(context, item)
    if admission.step == claimbook.Step.ASK_OWNER:
        admission = await _ask_owner(context, item, admission.owner)
    if admission.step == claimbook.Step.REFUSE:
        raise work.Refused(admission.refusal, key_checked=True)
    if admission.step == claimbook.Step.REPLAY:
        return _make_reply(admission.reply)
    return None


def mark_dispatched(context: contexts.Context, item: work.Work) -> None:
    """Mark the key as dispatched before the first byte; raise Refused."""
    if item.key is None:
        return
    if not claims.record_dispatched(context.claims, item.key):
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.KEY_RELEASED,
                'The key was given up. Send again with the same key.',
                verdict.Verdict.MAY_HAVE_RUN,
            )
        )


def mark_requeued(context: contexts.Context, item: work.Work) -> None:
    """Mark the key as owned again before another attempt."""
    if item.key is not None:
        claims.record_requeued(context.claims, item.key)


def settle(
    context: contexts.Context,
    item: work.Work,
    reply: message.Reply | None,
    outcome: verdict.Verdict,
) -> None:
    """Record the outcome of a request with an idempotency key."""
    now_ms = context.ports.clock.now_ms()
    if reply is not None:
        recorded = claimreply.RecordedReply(
            reply.status, reply.headers, reply.body
        )
        claims.record_done(context.claims, item.key, recorded, now_ms)
    elif outcome == verdict.Verdict.NOT_RUN:
        claims.record_undispatched(context.claims, item.key, now_ms)
    else:
        claims.record_failed(context.claims, item.key, now_ms)


async def _write_claim(
    context: contexts.Context, item: work.Work, old_version: int = 0
) -> claimbook.Admission:
    claim = context.claims.by_key[item.key]
    value = json.dumps({'token': claim.token, 'fingerprint': item.fingerprint})
    outcome = await claimwriter.write(
        context, get_row_key(item), old_version, value
    )
    if isinstance(outcome, result.Failure):
        return claims.record_store_unavailable(context.claims, item.key)
    row = json.loads(outcome.unwrap().value)
    if row['fingerprint'] != item.fingerprint:
        claims.forget(context.claims, item.key)
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.KEY_REUSED,
                'The key was used for another request.',
            )
        )
    now_ms = context.ports.clock.now_ms()
    return claims.record_row(context.claims, item.key, row['token'], now_ms)


async def _ask_owner(
    context: contexts.Context, item: work.Work, owner: str
) -> claimbook.Admission:
    view = context.peers.by_incarnation.get(owner)
    answer = None
    if view is not None:
        answer = await context.ports.peers.ask_claim(
            view.peer_address, item.key, item.fingerprint
        )
    if answer is None:
        claims.forget(context.claims, item.key)
        return _refuse(refusal.Code.KEY_OWNER_LOST, _may_have_run())
    if answer.state == ttypes.ClaimState.DONE:
        claims.forget(context.claims, item.key)
        reply = _read_recorded(answer.reply)
        return claimbook.Admission(claimbook.Step.REPLAY, reply=reply)
    if answer.state == ttypes.ClaimState.KEY_REUSED:
        claims.forget(context.claims, item.key)
        return _refuse(refusal.Code.KEY_REUSED, verdict.Verdict.NOT_RUN)
    if answer.state == ttypes.ClaimState.NEVER_DISPATCHED:
        return await _take_over(context, item, owner)
    claims.forget(context.claims, item.key)
    return _refuse(refusal.Code.KEY_IN_PROGRESS, _may_have_run())


async def _take_over(
    context: contexts.Context, item: work.Work, owner: str
) -> claimbook.Admission:
    if item.key not in context.claims.by_key:
        return _refuse(refusal.Code.KEY_RELEASED, verdict.Verdict.NOT_RUN)
    row_result = await context.ports.table.get(get_row_key(item))
    row = row_result.value_or(None)
    if row is None:
        return claims.record_store_unavailable(context.claims, item.key)
    if json.loads(row.value)['token'].partition('/')[0] != owner:
        claims.forget(context.claims, item.key)
        return _refuse(refusal.Code.KEY_IN_PROGRESS, _may_have_run())
    admission = await _write_claim(context, item, row.version)
    if admission.step == claimbook.Step.ASK_OWNER:
        claims.forget(context.claims, item.key)
        return _refuse(refusal.Code.KEY_IN_PROGRESS, _may_have_run())
    return admission


def get_row_key(item: work.Work) -> str:
    """Return the key of the claim row of a request."""
    return f'claim/{item.service}/{item.key}'


def _may_have_run() -> verdict.Verdict:
    return verdict.Verdict.MAY_HAVE_RUN


def _refuse(
    code: refusal.Code, outcome: verdict.Verdict
) -> claimbook.Admission:
    detail = f'Another instance has the key: {code}.'
    reason = refusal.Refusal(code, detail, outcome, claims.RETRY_AFTER_MS)
    return claimbook.Admission(claimbook.Step.REFUSE, refusal=reason)


def _make_reply(recorded: claimreply.RecordedReply) -> message.Reply:
    headers = (*recorded.headers, ('idempotency-replayed', 'true'))
    return message.Reply(recorded.status, headers, recorded.body)


def _read_recorded(
    reply: ttypes.RecordedReply,
) -> claimreply.RecordedReply:
    headers = tuple((header.name, header.value) for header in reply.headers)
    return claimreply.RecordedReply(reply.status, headers, reply.body)
