"""Find clocks of instances that differ, from what must follow what."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['ClockSkew', 'find_clock_skews', 'format_clock_skew']

# Clocks nearer than this change no reader's mind.
LEAST_GAP_MS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClockSkew:
    """Say by how much at least the clock of an instance is behind another."""

    behind: str
    ahead: str
    gap_ms: float


def find_clock_skews(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[ClockSkew]:
    """Return the gaps that effects seem to have before their causes.

    A start is found by others after it was written down; another order
    tells that two clocks differ.
    """
    start_by_name: dict[object, savedlogs.LogLine] = {}
    found: list[savedlogs.LogLine] = []
    for line in lines:
        if line.event == 'started':
            start_by_name[line.fields.get('start')] = line
        elif line.event == 'instance-found':
            found.append(line)
    gap_by_pair: dict[tuple[str, str], float] = {}
    for line in found:
        start = start_by_name.get(line.fields.get('start'))
        if start is None or start.utc_ms is None or line.utc_ms is None:
            continue
        gap_ms = start.utc_ms - line.utc_ms
        if gap_ms >= LEAST_GAP_MS:
            pair = (line.instance, start.instance)
            gap_by_pair[pair] = max(gap_ms, gap_by_pair.get(pair, 0.0))
    return [
        ClockSkew(behind, ahead, gap_ms)
        for (behind, ahead), gap_ms in sorted(gap_by_pair.items())
    ]


def format_clock_skew(gap: ClockSkew) -> str:
    """Return a gap as one line of text."""
    return (
        f'The clock of {gap.behind} is at least {gap.gap_ms:.0f} ms behind '
        f'that of {gap.ahead}.'
    )
