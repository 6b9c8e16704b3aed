"""Write refusals as problem details (RFC 9457)."""

import json
import math

from .. import message
from ..core import refusal
from ..core import verdict

__all__ = ['make_json_reply', 'make_refusal_reply', 'make_status_refusal']

CODE_BY_STATUS = {
    405: refusal.Code.METHOD_NOT_ALLOWED,
    413: refusal.Code.REQUEST_TOO_LARGE,
    503: refusal.Code.QUEUE_FULL,
}


def make_refusal_reply(
    reason: refusal.Refusal, extra: dict | None = None
) -> message.Reply:
    """Return the reply with the reason and the verdict of a refusal."""
    status = refusal.get_status(reason.code)
    verdict_name = get_verdict_name(reason.verdict)
    body = {
        'type': f'urn:pomelopass:refusal:{reason.code}',
        'title': reason.code.replace('-', ' '),
        'status': status,
        'detail': reason.detail,
        'code': str(reason.code),
        'verdict': verdict_name,
    }
    headers = [
        ('content-type', 'application/problem+json'),
        ('pomelopass-verdict', verdict_name),
    ]
    if reason.retry_after_ms is not None:
        body['retry_after_ms'] = reason.retry_after_ms
        seconds = math.ceil(reason.retry_after_ms / 1000)
        headers.append(('retry-after', str(seconds)))
    body.update(extra or {})
    data = json.dumps(body).encode()
    return message.Reply(status, tuple(headers), data)


def make_status_refusal(status: int, detail: str) -> message.Reply:
    """Return the reply to a request that could not be parsed."""
    code = CODE_BY_STATUS.get(status, refusal.Code.BAD_REQUEST)
    return make_refusal_reply(refusal.Refusal(code, detail))


def get_verdict_name(outcome: verdict.Verdict) -> str:
    """Return the name of a verdict in replies.

    >>> get_verdict_name(verdict.Verdict.MAY_HAVE_RUN)
    'may-have-run'
    """
    return outcome.name.lower().replace('_', '-')


def make_json_reply(value: object, status: int = 200) -> message.Reply:
    """Return a reply with a JSON body."""
    headers = (('content-type', 'application/json'),)
    return message.Reply(status, headers, json.dumps(value).encode())
