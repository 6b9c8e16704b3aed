"""Format times in UTC."""

import datetime

__all__ = ['format_utc']


def format_utc(utc_ms: float) -> str:
    """Return a time in UTC as ISO 8601 with milliseconds.

    >>> format_utc(1500)
    '1970-01-01T00:00:01.500Z'
    """
    seconds = utc_ms / 1000
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    text = time.isoformat(timespec='milliseconds')
    return text.replace('+00:00', 'Z')
