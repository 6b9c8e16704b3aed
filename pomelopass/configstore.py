"""Publish configurations and bring accepted ones into force."""

import dataclasses
import json

from returns import result

from . import configuration
from . import context as contexts
from . import problem
from . import work
from .core import adoption
from .core import refusal
from .core import tablerow
from .core import verdict

__all__ = ['Proposal', 'adopt_newest', 'fetch_history', 'propose', 'start']

HEAD_KEY = 'config/head'
HISTORY_PREFIX = 'config/history/'
MARKER_PREFIX = 'config/accepted/'
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
    contexts.note(context, 'config-accepted', 'config', detail)
    await adopt_newest(context)
    return result.Success(head)


async def start(context: contexts.Context) -> bool:
    """Bring the newest known version into force on a fresh instance."""
    row = await context.ports.table.get(HEAD_KEY)
    markers = await _fetch_markers(context)
    table_answered = isinstance(row, result.Success)
    table_head = None
    if table_answered and row.unwrap() is not None:
        table_head = _read_head(row.unwrap())
    head = adoption.choose_at_start(
        table_head,
        table_answered,
        markers.value_or([]),
        isinstance(markers, result.Success),
    )
    return head is not None and await _adopt(context, head)


async def adopt_newest(context: contexts.Context) -> bool:
    """Look for a newer version and bring it into force."""
    if context.adoption.head is None:
        return await start(context)
    found = await context.ports.table.get(HEAD_KEY)
    if isinstance(found, result.Success):
        row = found.unwrap()
        head = _read_head(row) if row else None
    else:
        if context.adoption.highest_seen <= context.adoption.head.version:
            return False
        markers = await _fetch_markers(context)
        head = max(markers.value_or([]), default=None)
    if head is None or not adoption.may_adopt(context.adoption, head, True):
        return False
    return await _adopt(context, head)


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
            return await _fetch_body(context, one.digest)
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


async def _adopt(context: contexts.Context, head: adoption.Head) -> bool:
    text = await _fetch_body(context, head.digest)
    checked = configuration.check_configuration(text)
    if isinstance(checked, result.Failure):
        detail = f'version {head.version}'
        contexts.note(context, 'config-unreadable', 'config', detail)
        return False
    kept = await _keep_marker(context, head)
    if not adoption.may_adopt(context.adoption, head, kept):
        return False
    context.configuration = checked.unwrap()
    context.configuration_text = text
    adoption.note_adopted(context.adoption, head)
    context.metrics.config_version.set({}, head.version)
    detail = f'version {head.version}'
    contexts.note(context, 'config-in-force', 'config', detail)
    return True


async def _keep_marker(context: contexts.Context, head: adoption.Head) -> bool:
    markers = (await _fetch_markers(context)).value_or([])
    if head in markers:
        return True
    key = f'{MARKER_PREFIX}{head.version:010d}-{head.digest}'
    kept = await context.ports.objects.put(key, b'')
    if isinstance(kept, result.Failure):
        return False
    for old in markers:
        if old.version <= head.version - KEPT_VERSIONS:
            key = f'{MARKER_PREFIX}{old.version:010d}-{old.digest}'
            await context.ports.objects.delete(key)
    return True


async def _fetch_markers(
    context: contexts.Context,
) -> result.Result[list[adoption.Head], tablerow.StoreFault]:
    found = await context.ports.objects.list(MARKER_PREFIX)
    return found.map(_read_markers)


def _read_markers(keys: list[str]) -> list[adoption.Head]:
    heads = []
    for key in keys:
        number, _, digest = key.removeprefix(MARKER_PREFIX).partition('-')
        heads.append(adoption.Head(int(number), digest))
    return heads


async def _fetch_body(context: contexts.Context, digest: str) -> str:
    found = await context.ports.objects.get(_get_body_key(digest))
    body = found.value_or(None)
    text = body.decode() if body is not None else ''
    if body is None or configuration.get_digest(text) != digest:
        raise _unavailable(verdict.Verdict.NOT_RUN)
    return text


def _read_head(row: tablerow.Row) -> adoption.Head:
    value = json.loads(row.value)
    return adoption.Head(value['version'], value['digest'])


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
