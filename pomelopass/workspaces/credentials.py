"""Read the key that a request presents."""

from collections import abc

from . import directory

__all__ = ['find_key_digest']

SCHEME = 'bearer'


def find_key_digest(values: abc.Iterable[str]) -> bytes | None:
    """Return the digest of the only key, or None if missing or malformed.

    The values are those of all Authorization headers of a request, decoded as
    Latin-1. Equal ones count as one.
    """
    parsed = {_parse(value) for value in values}
    if len(parsed) != 1:
        return None
    scheme, key = parsed.pop()
    if scheme != SCHEME or not key:
        return None
    return directory.make_digest(key.encode('latin-1', 'replace'))


def _parse(value: str) -> tuple[str, str]:
    scheme, _, key = value.strip(' \t').partition(' ')
    return scheme.lower(), key.strip(' \t')
