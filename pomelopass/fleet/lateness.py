"""Decide after how much silence an instance counts as dead.

The load pattern: a table service that is slow or full delays the heartbeats
of all instances. None of them is dead then, and a takeover of their jobs
would repeat running work and load the service further.
"""

from collections import abc

__all__ = [
    'DEAD_AFTER_MS',
    'MAX_DEAD_AFTER_MS',
    'PROMPT_WRITE_MS',
    'get_dead_after_ms',
]

# Heartbeats are written twice a second.
DEAD_AFTER_MS = 1700.0
# While the own heartbeats are prompt, the service delays none of the others.
MAX_DEAD_AFTER_MS = 2 * DEAD_AFTER_MS
PROMPT_WRITE_MS = 700.0
# The youngest heartbeats show how late all are, also if most instances died.
YOUNG_SHARE = 0.25
# Heartbeats that arrive evenly are at most 1 / YOUNG_SHARE times as old.
LATENESS_FACTOR = 1 / YOUNG_SHARE + 1


def get_dead_after_ms(
    ages_ms: abc.Collection[float], is_own_prompt: bool
) -> float:
    """Return the silence of a dead instance, from the ages of heartbeats."""
    if not ages_ms:
        return DEAD_AFTER_MS
    young_ms = sorted(ages_ms)[int(len(ages_ms) * YOUNG_SHARE)]
    dead_after_ms = max(DEAD_AFTER_MS, young_ms * LATENESS_FACTOR)
    if is_own_prompt:
        dead_after_ms = min(dead_after_ms, MAX_DEAD_AFTER_MS)
    return dead_after_ms
