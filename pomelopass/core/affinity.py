"""Track which endpoints likely have a prompt prefix in their cache."""

import collections
import dataclasses

__all__ = ['AffinityState', 'find_holder', 'record_cached', 'record_evicted']

MAX_PREFIXES = 8192
HINT_TTL_MS = 120_000
PREFIX_CHARS = 256
MAX_EXTRA_LOAD = 2.0


@dataclasses.dataclass(slots=True)
class AffinityState:
    """Endpoint key and time (ms) by prefix, least recent first; bounded."""

    by_prefix: collections.OrderedDict[str, tuple[str, float]] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )


def get_prefix(prompt: str) -> str:
    """Return the part of a prompt that identifies its cache prefix."""
    return prompt[:PREFIX_CHARS]


def record_cached(
    state: AffinityState, prefix: str, key: str, now_ms: float
) -> None:
    """Record that the endpoint has cached the prefix."""
    state.by_prefix[prefix] = (key, now_ms)
    state.by_prefix.move_to_end(prefix)
    if len(state.by_prefix) > MAX_PREFIXES:
        state.by_prefix.popitem(last=False)


def record_evicted(
    state: AffinityState, prefix: str, key: str, at_ms: float
) -> None:
    """Remove the hint unless it is newer than the eviction."""
    hint = state.by_prefix.get(prefix)
    if hint and hint[0] == key and hint[1] <= at_ms:
        del state.by_prefix[prefix]


def find_holder(
    state: AffinityState, prefix: str, now_ms: float
) -> str | None:
    """Return the key of the likely holder, or None if unknown or expired."""
    hint = state.by_prefix.get(prefix)
    if hint is None or now_ms - hint[1] > HINT_TTL_MS:
        return None
    return hint[0]
