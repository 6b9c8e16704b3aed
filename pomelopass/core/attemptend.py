"""Name how an attempt at an endpoint ended."""

import enum

__all__ = ['AttemptEnd']


class AttemptEnd(enum.Enum):
    """Tell failures of the endpoint from cancels on this side."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
