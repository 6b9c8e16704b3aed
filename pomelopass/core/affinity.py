"""Remember which endpoints likely hold a prompt prefix in cache."""

import collections
import dataclasses

__all__ = ['AffinityState', 'find_holder', 'record_cached', 'record_evicted']

MAX_PREFIXES = 8192
BELIEF_MS = 120_000
PREFIX_CHARS = 256
MAX_EXTRA_LOAD = 2.0


@dataclasses.dataclass(slots=True)
class AffinityState:
    """Hold beliefs by prefix, oldest first; size and age are bounded."""

    by_prefix: collections.OrderedDict[str, tuple[str, float]] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )


def get_prefix(prompt: str) -> str:
    """Return the part of a prompt that affinity looks at."""
    return prompt[:PREFIX_CHARS]


def record_cached(
    state: AffinityState, prefix: str, key: str, now_ms: float
) -> None:
    """Believe that the endpoint holds the prefix from now on."""
    state.by_prefix[prefix] = (key, now_ms)
    state.by_prefix.move_to_end(prefix)
    if len(state.by_prefix) > MAX_PREFIXES:
        state.by_prefix.popitem(last=False)


def record_evicted(
    state: AffinityState, prefix: str, key: str, at_ms: float
) -> None:
    """Drop a belief unless it is newer than the late event."""
    belief = state.by_prefix.get(prefix)
    if belief and belief[0] == key and belief[1] <= at_ms:
        del state.by_prefix[prefix]


def find_holder(
    state: AffinityState, prefix: str, now_ms: float
) -> str | None:
    """Return the likely holder, or None when the belief is too old."""
    belief = state.by_prefix.get(prefix)
    if belief is None or now_ms - belief[1] > BELIEF_MS:
        return None
    return belief[0]
