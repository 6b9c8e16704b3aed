"""Compute backoffs that double with each failure up to a limit."""

__all__ = ['get_backoff_ms']

# Larger powers of two no longer fit into a float.
MAX_DOUBLINGS = 64


def get_backoff_ms(first_ms: float, doublings: int, limit_ms: float) -> float:
    """Return the first backoff, doubled so many times, or the limit.

    >>> get_backoff_ms(100.0, 1, 400.0)
    200.0
    """
    factor = 2.0 ** min(doublings, MAX_DOUBLINGS)
    return min(first_ms * factor, limit_ms)
