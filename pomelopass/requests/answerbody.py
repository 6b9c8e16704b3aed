"""Read the bodies of answers within the memory of the instance."""

from .. import answermemory
from .. import message
from . import call as calls

__all__ = ['DISCARDED', 'MAX_ANSWER_BYTES', 'read_body']

MAX_ANSWER_BYTES = 8_388_608
# Kind of failure of an answer that was discarded as memory is short.
DISCARDED = 'memory-short'


async def read_body(
    answer: calls.Answer, memory: answermemory.AnswerMemory, owner: str
) -> tuple[bytes, answermemory.Share]:
    """Return the complete body and its share; raise CallFailedError.

    The body counts as long as the share exists.
    """
    buffer = bytearray()
    share = memory.open(owner, buffer.clear)
    try:
        async for chunk in answer.reply.chunks:
            buffer += chunk
            if len(buffer) > MAX_ANSWER_BYTES:
                raise calls.CallFailedError('reply-too-large', True)
            share.resize(len(buffer))
        # It may have been discarded since the last chunk.
        share.check()
    except message.ExchangeError as error:
        raise calls.CallFailedError(error.kind, True) from None
    except answermemory.AnswerDiscardedError:
        raise calls.CallFailedError(DISCARDED, True) from None
    body = bytes(buffer)
    share.discard = None
    return body, share
