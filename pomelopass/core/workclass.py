"""Define the classes of work that have separate slots on endpoints."""

import enum

__all__ = ['WorkClass']


class WorkClass(enum.Enum):
    """Short requests, long requests and training samples."""

    SHORT = 'short'
    LONG = 'long'
    SAMPLE = 'sample'
