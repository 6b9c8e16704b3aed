"""Write logs as JSON lines."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger

__all__ = ['make_write_event', 'set_up_logs']

FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
DATE_FORMAT = '%Y-%m-%dT%H:%M:%SZ'
FIELD_BY_ATTRIBUTE = {
    'asctime': 'time',
    'levelname': 'level',
    'message': 'event',
}
DEBUG_KINDS = ('dispatched', 'request-began', 'request-ended', 'sample-done')


def set_up_logs(level: str) -> None:
    """Send all logs to standard error as JSON lines in UTC."""
    formatter = jsonlogger.JsonFormatter(
        FORMAT, datefmt=DATE_FORMAT, rename_fields=FIELD_BY_ATTRIBUTE
    )
    formatter.converter = _get_utc
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def make_write_event(logger: logging.Logger):
    """Return a function that logs events, frequent kinds at debug level."""

    def write_event(kind: str, fields: dict[str, str]) -> None:
        level = logging.DEBUG if kind in DEBUG_KINDS else logging.INFO
        if logger.isEnabledFor(level):
            logger.log(level, kind, extra=fields)

    return write_event


def _get_utc(seconds: float | None):
    return logging.time.gmtime(seconds)
