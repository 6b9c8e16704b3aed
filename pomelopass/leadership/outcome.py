"""Define the results of calls that the holder of a duty makes."""

import enum

__all__ = ['DutyOutcome']


class DutyOutcome(enum.Enum):
    """Result of a call that the holder of a duty makes."""

    ACCEPTED = 'accepted'
    # A higher fencing token was seen.
    FENCED = 'fenced'
    # Not run: there were too many calls.
    BUSY = 'busy'
    # Not run: what was ordered is not available now.
    UNAVAILABLE = 'unavailable'
    # Not run: no connection opened.
    UNREACHABLE = 'unreachable'
    # It may have run, or may still run.
    UNKNOWN = 'unknown'
    # Not sent: the duty was lost or not confirmed again in time.
    WITHDRAWN = 'withdrawn'
