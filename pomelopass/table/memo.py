"""Reuse a decoded row while a writer changes only its counter."""

import re
from typing import Generic, TypeVar

__all__ = ['RowMemo']

Decoded = TypeVar('Decoded')


class RowMemo(Generic[Decoded]):
    """Decoded rows by key, found again if only the counter differs.

    The counter is a whole number under a name that the decoder ignores. Its
    quoted name before a colon can't be part of a text: quotes are escaped
    there.
    """

    def __init__(self, counter_name: str):
        counter = rb'"%b":\s*(?:0|-?[1-9][0-9]{0,17})' % counter_name.encode()
        self.counter = re.compile(counter)
        self.whole_counter = re.compile(counter + rb'(?=[,}\s])')
        self.known_by_key: dict[str, tuple[bytes, bytes, Decoded]] = {}

    def find(self, key: str, value: bytes) -> Decoded | None:
        """Return the decoded row if only its counter changed, or None."""
        known = self.known_by_key.get(key)
        if known is None:
            return None
        before, after, decoded = known
        # The bytes around the counter have the known lengths, or differ.
        if not (value.startswith(before) and value.endswith(after)):
            return None
        found = self.counter.fullmatch(
            value, len(before), len(value) - len(after)
        )
        return None if found is None else decoded

    def put(self, key: str, value: bytes, decoded: Decoded) -> None:
        """Store a decoded row; without a counter, remove its key."""
        found = self.whole_counter.search(value)
        if found is None:
            self.remove(key)
            return
        start, end = found.span()
        self.known_by_key[key] = value[:start], value[end:], decoded

    def remove(self, key: str) -> None:
        """Remove a row."""
        self.known_by_key.pop(key, None)
