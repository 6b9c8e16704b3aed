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


ENDLESS = {
    'refusal': EndlessBody(b'x' * 1000, 0.01, 503, not_run=True),
    'dripping-refusal': EndlessBody(b'x', 0.5, 503, not_run=True),
    'error': EndlessBody(b'x' * 1000, 0.01, 500),
    'body': EndlessBody(b'x' * 65_536, 0.005),
    'event': EndlessBody(b'data: xxxxxxxx', 0.005),
    'large-event': EndlessBody(b'x' * 65_536, 0.001),
    'blank-lines': EndlessBody(b'\n\n', 0.01),
    'comments': EndlessBody(b': x\n\n', 0.01),
    'junk-events': EndlessBody(b'x\n\ndata: y\n\n', 0.01),
}
