"""Publish configurations and read the accepted ones."""

import dataclasses
import json

from returns import result

from ..callers import work
from . import configuration
from ..core import adoption
from ..core import refusal
from ..core import tablerow
from ..core import verdict
from . import problem
from ..running import context as contexts

__all__ = [
    'Proposal',
    'fetch_body',
    'fetch_history',
    'fetch_text',
    'propose',
]

HEAD_KEY = 'config/head'
HISTORY_PREFIX = 'config/history/'
KEPT_VERSIONS = 32
TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Hold a full configuration and the version it was based on."""

    base_version: int
    author: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """Hold what the history tells of one version."""

    version: int
    digest: str
    author: str
    accepted_at_utc_ms: int
    token: str


async def propose(
    context: contexts.Context, proposal: Proposal
) -> result.Result[adoption.Head, list[problem.Problem]]:
    """Accept the proposal whole or refuse it whole; raise Refused."""
    checked = configuration.check_configuration(proposal.text)
    if isinstance(checked, result.Failure):
        return checked
    digest = configuration.get_digest(proposal.text)
    body = proposal.text.encode()
    kept = await context.ports.objects.put(_get_body_key(digest), body)
    if isinstance(kept, result.Failure):
        raise _unavailable(verdict.Verdict.NOT_RUN)
    token = contexts.make_id(context)
    head = await _commit(context, proposal, digest, token)
    detail = f'version {head.version} by {proposal.author}'
    contexts.record_event(context, 'config-accepted', 'config', detail)
    return result.Success(head)


async def fetch_history(
    context: contexts.Context,
) -> list[AcceptedVersion]:
    """Return the kept versions, oldest first; raise Refused."""
    found = await context.ports.table.scan(HISTORY_PREFIX)
    if isinstance(found, result.Failure):
        raise _unavailable(verdict.Verdict.NOT_RUN)
    rows = [json.loads(row.value) for row in found.unwrap()]
    accepted = [AcceptedVersion(**row) for row in rows]
    return sorted(accepted, key=lambda one: one.version)


async def fetch_text(context: contexts.Context, version: int) -> str:
    """Return the text of a kept version; raise Refused."""
    for one in await fetch_history(context):
        if one.version == version:
            return await fetch_body(context, one.digest)
    detail = f'Version {version} is not kept.'
    raise work.Refused(refusal.Refusal(refusal.Code.NOT_FOUND, detail))


async def _commit(
    context: contexts.Context,
    proposal: Proposal,
    digest: str,
    token: str,
) -> adoption.Head:
    for _ in range(TRIES):
        found = await context.ports.table.get(HEAD_KEY)
        if isinstance(found, result.Failure):
            continue
        row = found.unwrap()
        known = json.loads(row.value) if row else {'version': 0, 'token': ''}
        if known['token'] == token:
            return adoption.Head(known['version'], digest)
        version = proposal.base_version + 1
        if known['version'] != proposal.base_version:
            await _check_own(context, version, token)
            raise _conflict(proposal, known['version'])
        accepted = AcceptedVersion(
            version,
            digest,
            proposal.author,
            int(context.ports.clock.utc_ms()),
            token,
        )
        transaction = _make_transaction(accepted, row)
        answer = await context.ports.table.transact(transaction)
        if isinstance(answer, result.Success) and answer.unwrap() is None:
            return adoption.Head(version, digest)
    raise _unavailable(verdict.Verdict.MAY_HAVE_RUN)


async def _check_own(
    context: contexts.Context, version: int, token: str
) -> None:
    for one in await fetch_history(context):
        if one.version == version and one.token == token:
            detail = f'Version {version} was accepted, then replaced.'
            raise work.Refused(
                refusal.Refusal(
                    refusal.Code.CONFIG_CONFLICT,
                    detail,
                    verdict.Verdict.RAN,
                )
            )


def _make_transaction(
    accepted: AcceptedVersion, row: tablerow.Row | None
) -> tablerow.Transaction:
    value = json.dumps(dataclasses.asdict(accepted))
    history_key = _get_history_key(accepted.version)
    puts = [
        tablerow.Put(HEAD_KEY, value),
        tablerow.Put(history_key, value),
    ]
    old_version = accepted.version - KEPT_VERSIONS
    if old_version > 0:
        puts.append(tablerow.Put(_get_history_key(old_version), None))
    head_version = row.version if row else tablerow.ABSENT
    condition = tablerow.Condition(HEAD_KEY, head_version)
    return tablerow.Transaction((condition,), tuple(puts))


async def fetch_body(context: contexts.Context, digest: str) -> str:
    """Return a kept configuration text; raise Refused."""
    found = await context.ports.objects.get(_get_body_key(digest))
    body = found.value_or(None)
    text = body.decode() if body is not None else ''
    if body is None or configuration.get_digest(text) != digest:
        raise _unavailable(verdict.Verdict.NOT_RUN)
    return text


def _get_body_key(digest: str) -> str:
    return f'config/bodies/{digest}'


def _get_history_key(version: int) -> str:
    return f'{HISTORY_PREFIX}{version:010d}'


def _conflict(proposal: Proposal, version: int) -> work.Refused:
    detail = (
        f'The proposal is based on version {proposal.base_version}. '
        f'The accepted version is {version}.'
    )
    return work.Refused(refusal.Refusal(refusal.Code.CONFIG_CONFLICT, detail))


def _unavailable(outcome: verdict.Verdict) -> work.Refused:
    return work.Refused(
        refusal.Refusal(
            refusal.Code.STORE_UNAVAILABLE,
            'The platform did not answer. Read "config show" and try again.',
            outcome,
            1000,
        )
    )
