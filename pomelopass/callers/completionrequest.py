"""Check the body of a completion request at the border."""

from typing import Any

import pydantic

from ..core import refusal
from ..training import trainerrequest
from . import work

__all__ = ['CompletionRequest', 'read_request']


class ChatMessage(pydantic.BaseModel):
    """Hold one message of a chat."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: str
    content: str


class CompletionRequest(pydantic.BaseModel):
    """Hold the fields that routing needs and pass the others on."""

    model_config = pydantic.ConfigDict(extra='allow')

    model: str
    prompt: str | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    stream: bool = False

    def get_prompt(self) -> str:
        """Return the text that prefix caches work on."""
        if self.messages is not None:
            return '\n'.join(one.content for one in self.messages)
        return self.prompt or ''

    def make_body(self) -> dict[str, Any]:
        """Return the body for an engine, which always streams."""
        body = self.model_dump(exclude_none=True)
        body['stream'] = True
        return body


def read_request(body: bytes, is_chat: bool) -> CompletionRequest:
    """Return the request; raise Refused with every error."""
    read = trainerrequest.read_body(CompletionRequest, body)
    missing = read.messages is None if is_chat else read.prompt is None
    if missing:
        name = 'messages' if is_chat else 'prompt'
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.BAD_REQUEST, f'{name}: Field required.'
            )
        )
    return read
