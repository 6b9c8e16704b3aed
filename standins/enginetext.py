"""Make the tokens and events of a stand-in engine."""

from typing import Any
from urllib import parse

import xxhash

from pomelopass.edges import httpclient
from pomelopass import message

__all__ = ['fetch', 'get_prompt', 'make_event', 'make_tokens']

FETCH_TIMEOUT_MS = 10_000
MAX_WEIGHT_BYTES = 16_777_216
WORDS = (
    'lamp',
    'lens',
    'signal',
    'bracket',
    'cable',
    'relay',
    'pole',
    'panel',
)


def get_prompt(body: dict[str, Any]) -> str:
    """Return the prompt of a completion or a chat."""
    if 'messages' in body:
        return '\n'.join(one['content'] for one in body['messages'])
    return body.get('prompt', '')


def make_tokens(body: dict[str, Any], prompt: str) -> list[str]:
    """Return the tokens that the body asks for, less those it resumes."""
    text = f'{prompt}\0{body.get("seed", 0)}'
    seed = xxhash.xxh3_64_intdigest(text.encode())
    limit = body.get('max_tokens') or 16
    count = max(1, limit // 2 + seed % max(1, limit // 2))
    tokens = [
        f'{WORDS[(seed >> (index % 40)) % len(WORDS)]} '
        for index in range(count)
    ]
    resumed = body.get('resume_text', '')
    done = resumed.count(' ')
    return tokens[done:] or ['']


def make_event(
    request_id: str,
    token: str,
    version: int | None,
    last: bool,
    is_chat: bool,
) -> dict[str, Any]:
    """Return one server-sent event of a completion."""
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': 'stop' if last else None,
    }
    if is_chat:
        choice['delta'] = {'content': token}
    else:
        choice['text'] = token
    event = {
        'id': request_id,
        'object': 'chat.completion.chunk' if is_chat else 'text_completion',
        'choices': [choice],
    }
    if version is not None:
        event['weight_version'] = version
    return event


async def fetch(address: str, key: str) -> None:
    """Read weights from the weight store."""
    target = f'/objects/{parse.quote(key, safe="")}'
    client = httpclient.HttpClient()
    try:
        reply = await client.open(
            address, message.Request('GET', target), FETCH_TIMEOUT_MS
        )
        await reply.read(MAX_WEIGHT_BYTES)
    except message.ExchangeError:
        pass
    finally:
        await client.close()
