"""Generate the tokens and events of a stand-in engine."""

from typing import Any
from urllib import parse

import xxhash

from pomelopass.edges import httpclient
from pomelopass import message

__all__ = ['fetch_weights', 'get_prompt', 'make_event', 'make_tokens']

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
        return '\n'.join(
            chat_message['content'] for chat_message in body['messages']
        )
    return body.get('prompt', '')


def make_tokens(body: dict[str, Any], prompt: str) -> list[str]:
    """Return the tokens of a completion that follow its resume text."""
    text = f'{prompt}\0{body.get("seed", 0)}'
    seed = xxhash.xxh3_64_intdigest(text.encode())
    limit = body.get('max_tokens') or 16
    count = max(1, limit // 2 + seed % max(1, limit // 2))
    tokens = [
        f'{WORDS[(seed >> (index % 40)) % len(WORDS)]} '
        for index in range(count)
    ]
    resume_text = body.get('resume_text', '')
    resumed_count = resume_text.count(' ')
    return tokens[resumed_count:] or ['']


def make_event(
    request_id: str,
    token: str,
    version: int | None,
    is_last: bool,
    is_chat: bool,
) -> dict[str, Any]:
    """Return the data of a completion's server-sent event."""
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': 'stop' if is_last else None,
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


async def fetch_weights(address: str, key: str) -> None:
    """Fetch weights from the weight store; errors are ignored."""
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
