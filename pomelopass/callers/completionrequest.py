"""Parse and validate the body of a completion request."""

from typing import Any

import pydantic

from ..core import refusal
from ..training import trainerrequest
from . import work

__all__ = ['CompletionRequest', 'read_request']


class ChatMessage(pydantic.BaseModel):
    """A message of a chat."""

    model_config = pydantic.ConfigDict(extra='allow')

    role: str
    content: str


class CompletionRequest(pydantic.BaseModel):
    """The fields used for routing; other fields are passed through."""

    model_config = pydantic.ConfigDict(extra='allow')

    model: str
    prompt: str | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1)
    stream: bool = False

    def get_prompt(self) -> str:
        """Return the text whose prefix engines cache."""
        if self.messages is not None:
            return '\n'.join(
                chat_message.content for chat_message in self.messages
            )
        return self.prompt or ''

    def make_body(self) -> dict[str, Any]:
        """Return the body for an engine, which always streams."""
        body = self.model_dump(exclude_none=True)
        body['stream'] = True
        return body


def read_request(body: bytes, is_chat: bool) -> CompletionRequest:
    """Return the parsed request; raise Refused with all errors."""
    parsed = trainerrequest.read_body(CompletionRequest, body)
    missing = parsed.messages is None if is_chat else parsed.prompt is None
    if missing:
        name = 'messages' if is_chat else 'prompt'
        raise work.Refused(
            refusal.Refusal(
                refusal.Code.BAD_REQUEST, f'{name}: Field required.'
            )
        )
    return parsed
