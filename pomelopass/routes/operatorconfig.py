"""Accept proposals and show accepted configurations."""

import dataclasses
import re

import pydantic
from returns import result

from .. import message
from ..callers import work
from ..configuring import configadoption
from ..configuring import configstore
from ..core import refusal
from ..reporting import problemdetails
from ..running import context as contexts
from ..training import trainerrequest

__all__ = ['ROUTES']


class ProposalBody(pydantic.BaseModel):
    """A proposal as operators send it."""

    model_config = pydantic.ConfigDict(extra='forbid', strict=True)

    base_version: int = pydantic.Field(ge=0)
    author: str = pydantic.Field(min_length=1, max_length=200)
    text: str


async def serve_propose(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Accept a full configuration or reject it with every problem."""
    body = trainerrequest.read_body(ProposalBody, request.body)
    proposal = configstore.Proposal(body.base_version, body.author, body.text)
    outcome = await configstore.propose(context, proposal)
    if isinstance(outcome, result.Failure):
        problems = [
            dataclasses.asdict(problem) for problem in outcome.failure()
        ]
        detail = f'The configuration has {len(problems)} problems.'
        reason = refusal.Refusal(refusal.Code.CONFIG_INVALID, detail)
        return problemdetails.make_refusal_reply(
            reason, {'problems': problems}
        )
    await configadoption.adopt_newest(context)
    head = outcome.unwrap()
    body = {
        'version': head.version,
        'digest': head.digest,
        'in_force_here': context.adoption.head == head,
    }
    return problemdetails.make_json_reply(body)


async def serve_show(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return the text of a version, or of the one in force here."""
    version = match['version']
    if version is not None:
        text = await configstore.fetch_text(context, int(version))
        return problemdetails.make_json_reply(
            {'version': int(version), 'text': text}
        )
    head = context.adoption.head
    if head is None:
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.NOT_READY,
                'No configuration is in force here yet.',
            )
        )
    body = {'version': head.version, 'text': context.configuration_text}
    return problemdetails.make_json_reply(body)


async def serve_history(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """List the retained versions."""
    history = await configstore.fetch_history(context)
    body = {'versions': [dataclasses.asdict(entry) for entry in history]}
    return problemdetails.make_json_reply(body)


ROUTES = (
    (('POST',), r'/config', serve_propose),
    (('GET',), r'/config(?:/(?P<version>\d{1,10}))?', serve_show),
    (('GET',), r'/config/history', serve_history),
)
