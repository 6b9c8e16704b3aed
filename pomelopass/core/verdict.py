"""Determine whether a request may have run."""

import enum

__all__ = ['Verdict', 'get_overall_verdict', 'get_attempt_verdict']


class Verdict(enum.IntEnum):
    """Outcomes of a request, ordered by how much may have run."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


def get_attempt_verdict(bytes_written: int, complete: bool) -> Verdict:
    """Return the verdict of one attempt from the bytes sent to the endpoint.

    >>> get_attempt_verdict(0, False).name
    'NOT_RUN'
    >>> get_attempt_verdict(1, False).name
    'MAY_HAVE_RUN'
    """
    if complete:
        return Verdict.RAN
    if bytes_written == 0:
        return Verdict.NOT_RUN
    return Verdict.MAY_HAVE_RUN


def get_overall_verdict(verdicts: list[Verdict]) -> Verdict:
    """Return the verdict of a request from those of all its attempts."""
    return max(verdicts, default=Verdict.NOT_RUN)
