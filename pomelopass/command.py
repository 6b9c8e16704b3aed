"""Call instances on behalf of commands and report errors."""

import asyncio
import dataclasses
import json
import pathlib
import sys
from typing import Any

import cappa

from . import message
from .configuring import problem
from .edges import httpclient

__all__ = ['Access', 'CommandError', 'call', 'call_all', 'find_instances']

REQUEST_TIMEOUT_MS = 5000
MAX_REPLY_BYTES = 268_435_456
FAILED_EXIT_STATUS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """Operator address of an instance and the operator token."""

    address: str
    token: str


class CommandError(cappa.Exit):
    """Error that ends the tool with a message on standard error."""

    def __init__(self, text: str):
        super().__init__(text, code=FAILED_EXIT_STATUS)


def make_access(address: str, token_file: str) -> Access:
    """Return the access for an address and the token in a file."""
    try:
        token = pathlib.Path(token_file).read_text(encoding='utf-8')
    except OSError as error:
        raise CommandError(
            f'The token file cannot be read: {error}.'
        ) from None
    return Access(address, token.strip())


def call(
    access: Access, method: str, target: str, value: object = None
) -> Any:
    """Return the JSON reply of one instance; raise CommandError."""
    status, body = asyncio.run(_call(access, method, target, value))
    if status != 200:
        raise CommandError(format_refusal(body))
    return body


def call_all(accesses: list[Access], target: str) -> list[tuple[Access, Any]]:
    """Return the JSON replies of instances; None where none arrived."""
    return asyncio.run(_call_all(accesses, target))


def find_instances(access: Access) -> list[Access]:
    """Return the access to an instance and to each of its live peers."""
    status = call(access, 'GET', '/status')
    peer_accesses = [
        Access(peer['operator_address'], access.token)
        for peer in status['peers']
    ]
    return [access, *peer_accesses]


def format_refusal(body: Any) -> str:
    """Return a refusal as lines of text."""
    if not isinstance(body, dict) or 'code' not in body:
        return f'The instance answered: {body}'
    lines = [f'{body["code"]}: {body["detail"]}']
    lines.append(f'verdict: {body["verdict"]}')
    for fields in body.get('problems', []):
        lines.append(problem.format_problem(problem.Problem(**fields)))
    return '\n'.join(lines)


def print_json(value: object) -> None:
    """Print a value as JSON."""
    json.dump(value, sys.stdout, indent=2)
    print()


async def _call(
    access: Access, method: str, target: str, value: object
) -> tuple[int, Any]:
    client = httpclient.HttpClient()
    body = b'' if value is None else json.dumps(value).encode()
    headers = (('authorization', f'Bearer {access.token}'),)
    request = message.Request(method, target, headers, body)
    try:
        reply = await client.open(access.address, request, REQUEST_TIMEOUT_MS)
        data = await reply.read(MAX_REPLY_BYTES)
        return reply.status, json.loads(data)
    except message.ExchangeError as error:
        text = f'{access.address} does not answer: {error.kind}.'
        raise CommandError(text) from None
    finally:
        await client.close()


async def _call_all(
    accesses: list[Access], target: str
) -> list[tuple[Access, Any]]:
    answers = await asyncio.gather(
        *(_call(access, 'GET', target, None) for access in accesses),
        return_exceptions=True,
    )
    return [
        (access, answer[1] if isinstance(answer, tuple) else None)
        for access, answer in zip(accesses, answers, strict=True)
    ]
