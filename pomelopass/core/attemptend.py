"""Define how an attempt at an endpoint ends."""

import enum

__all__ = ['AttemptEnd']


class AttemptEnd(enum.Enum):
    """End of an attempt; CANCELLED means cancelled by this instance."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
