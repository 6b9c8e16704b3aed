"""Join the chunks of a request body that arrive together."""

import re

import h11

__all__ = ['ChunkJoiner']

# Chunk heads that h11 accepts. Others are passed on to h11, which rejects
# them.
CHUNK_HEAD = re.compile(rb'([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n')
LINE_END = b'\r\n'
MAX_HEAD_BYTES = 256


class ChunkJoiner:
    """Rewrite a chunked body with one chunk for the data of each read.

    The parser's cost then grows with reads, not with chunks. From the last
    chunk or the first malformed head on, all bytes are left unchanged.
    """

    def __init__(self) -> None:
        self.unread = b''
        # Bytes of the present chunk that were not received yet.
        self.remaining = 0
        self.needs_line_end = False
        self.is_passing = False
        # Chunks that began in the last read.
        self.joined = 0

    def join(self, data: bytes) -> bytes:
        """Return received bytes with their chunks joined."""
        self.joined = 0
        if self.is_passing:
            return data
        if self.unread:
            data = self.unread + data
        parts, position = self._split(data)
        self.unread = data[position:]
        joined = b''.join(parts)
        if joined:
            joined = b'%x\r\n%b\r\n' % (len(joined), joined)
        if self.is_passing:
            joined += self.unread
            self.unread = b''
        return joined

    def _split(self, data: bytes) -> tuple[list[bytes], int]:
        """Return the data of chunks, and where what is left begins."""
        parts: list[bytes] = []
        position = 0
        size = len(data)
        while position < size:
            if self.remaining:
                part = data[position : position + self.remaining]
                parts.append(part)
                position += len(part)
                self.remaining -= len(part)
                self.needs_line_end = not self.remaining
            elif self.needs_line_end:
                end = data[position : position + 2]
                if end != LINE_END[: len(end)]:
                    raise h11.RemoteProtocolError('malformed chunk end')
                if len(end) < len(LINE_END):
                    break
                self.needs_line_end = False
                position += len(LINE_END)
            else:
                head = CHUNK_HEAD.match(data, position)
                length = 0 if head is None else int(head[1], 16)
                if not length:
                    self.is_passing = not _may_continue(head, data, position)
                    break
                self.joined += 1
                self.remaining = length
                position = head.end()
        return parts, position


def _may_continue(
    head: re.Match[bytes] | None, data: bytes, position: int
) -> bool:
    """Return whether what is left may become the head of a chunk."""
    return (
        head is None
        and LINE_END not in data[position : position + MAX_HEAD_BYTES]
        and len(data) - position < MAX_HEAD_BYTES
    )
