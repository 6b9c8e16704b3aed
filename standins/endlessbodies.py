"""Define answers whose bodies never end."""

import dataclasses

__all__ = ['ENDLESS', 'EndlessBody']


@dataclasses.dataclass(frozen=True, slots=True)
class EndlessBody:
    """An answer whose body never ends, sent in pieces."""

    piece: bytes
    pause_s: float
    status: int = 200
    not_run: bool = False
    # Whether the pieces are events whose ids rise.
    is_rising: bool = False

    def make_piece(self, number: int) -> bytes:
        """Return the piece at a position, counted from 1."""
        if not self.is_rising:
            return self.piece
        return b'id: %d\ndata: %b\n\n' % (number, self.piece)


ENDLESS = {
    'refusal': EndlessBody(b'x' * 1000, 0.01, 503, not_run=True),
    'dripping-refusal': EndlessBody(b'x', 0.5, 503, not_run=True),
    'error': EndlessBody(b'x' * 1000, 0.01, 500),
    'body': EndlessBody(b'x' * 65_536, 0.005),
    'event': EndlessBody(b'data: xxxxxxxx', 0.005),
    'large-event': EndlessBody(b'x' * 65_536, 0.001),
    'blank-lines': EndlessBody(b'\n\n', 0.01),
    'comments': EndlessBody(b': x\n\n', 0.01),
    'rising-events': EndlessBody(b'x' * 200_000, 0.01, is_rising=True),
    'fast-body': EndlessBody(b'x' * 65_536, 0.0),
    'junk-events': EndlessBody(b'x\n\ndata: y\n\n', 0.01),
}
