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
RETAINED_VERSIONS = 32
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A full configuration and the version on which it is based."""

    base_version: int
    author: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """Entry of one version in the history."""

    version: int
    digest: str
    author: str
    accepted_at_utc_ms: int
    token: str


async def propose(
    context: contexts.Context, proposal: Proposal
) -> result.Result[adoption.Head, list[problem.Problem]]:
    """Publish a valid proposal or return its problems; raise Refused."""
    check_result = configuration.check_configuration(proposal.text)
    if isinstance(check_result, result.Failure):
        return check_result
    digest = configuration.get_digest(proposal.text)
    body = proposal.text.encode()
    put_result = await context.ports.objects.put(_get_body_key(digest), body)
    if isinstance(put_result, result.Failure):
        raise _make_unavailable(verdict.Verdict.NOT_RUN)
    token = contexts.make_id(context)
    head = await _commit(context, proposal, digest, token)
    detail = f'version {head.version} by {proposal.author}'
    contexts.record_event(context, 'config-accepted', 'config', detail)
    return result.Success(head)


async def fetch_history(
    context: contexts.Context,
) -> list[AcceptedVersion]:
    """Return the retained versions, oldest first; raise Refused."""
    rows_result = await context.ports.table.scan(HISTORY_PREFIX)
    if isinstance(rows_result, result.Failure):
        raise _make_unavailable(verdict.Verdict.NOT_RUN)
    rows = [json.loads(row.value) for row in rows_result.unwrap()]
    history = [AcceptedVersion(**row) for row in rows]
    return sorted(history, key=lambda entry: entry.version)


async def fetch_text(context: contexts.Context, version: int) -> str:
    """Return the text of a retained version; raise Refused."""
    for entry in await fetch_history(context):
        if entry.version == version:
            return await fetch_body(context, entry.digest)
    detail = f'Version {version} is not kept.'
    raise work.Refused(refusal.Refusal(refusal.Code.NOT_FOUND, detail))


async def _commit(
    context: contexts.Context,
    proposal: Proposal,
    digest: str,
    token: str,
) -> adoption.Head:
    for _ in range(MAX_ATTEMPTS):
        row_result = await context.ports.table.get(HEAD_KEY)
        if isinstance(row_result, result.Failure):
            continue
        row = row_result.unwrap()
        current = json.loads(row.value) if row else {'version': 0, 'token': ''}
        if current['token'] == token:
            return adoption.Head(current['version'], digest)
        version = proposal.base_version + 1
        if current['version'] != proposal.base_version:
            await _check_replaced(context, version, token)
            raise _make_conflict(proposal, current['version'])
        accepted = AcceptedVersion(
            version,
            digest,
            proposal.author,
            int(context.ports.clock.utc_ms()),
            token,
        )
        transaction = _make_transaction(accepted, row)
        conflict_result = await context.ports.table.transact(transaction)
        if (
            isinstance(conflict_result, result.Success)
            and conflict_result.unwrap() is None
        ):
            return adoption.Head(version, digest)
    raise _make_unavailable(verdict.Verdict.MAY_HAVE_RUN)


async def _check_replaced(
    context: contexts.Context, version: int, token: str
) -> None:
    for entry in await fetch_history(context):
        if entry.version == version and entry.token == token:
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
    old_version = accepted.version - RETAINED_VERSIONS
    if old_version > 0:
        puts.append(tablerow.Put(_get_history_key(old_version), None))
    head_version = row.version if row else tablerow.ABSENT
    condition = tablerow.Condition(HEAD_KEY, head_version)
    return tablerow.Transaction((condition,), tuple(puts))


async def fetch_body(context: contexts.Context, digest: str) -> str:
    """Return the stored text with the digest; raise Refused."""
    body_result = await context.ports.objects.get(_get_body_key(digest))
    body = body_result.value_or(None)
    text = body.decode() if body is not None else ''
    if body is None or configuration.get_digest(text) != digest:
        raise _make_unavailable(verdict.Verdict.NOT_RUN)
    return text


def _get_body_key(digest: str) -> str:
    return f'config/bodies/{digest}'


def _get_history_key(version: int) -> str:
    return f'{HISTORY_PREFIX}{version:010d}'


def _make_conflict(proposal: Proposal, version: int) -> work.Refused:
    detail = (
        f'The proposal is based on version {proposal.base_version}. '
        f'The accepted version is {version}.'
    )
    return work.Refused(refusal.Refusal(refusal.Code.CONFIG_CONFLICT, detail))


def _make_unavailable(outcome: verdict.Verdict) -> work.Refused:
    return work.Refused(
        refusal.Refusal(
            refusal.Code.STORE_UNAVAILABLE,
            'The platform did not answer. Read "config show" and try again.',
            outcome,
            1000,
        )
    )
