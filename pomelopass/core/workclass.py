"""Name the classes of work that have separate places on endpoints."""

import enum

__all__ = ['WorkClass']


class WorkClass(enum.Enum):
    """Tell short and long requests of callers and samples apart."""

    SHORT = 'short'
    LONG = 'long'
    SAMPLE = 'sample'
