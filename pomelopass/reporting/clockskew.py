"""Detect clock skew between instances from the order of log events."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['ClockSkew', 'find_clock_skews', 'format_clock_skew']

# Smaller differences do not mislead readers of a time line.
MIN_SKEW_MS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClockSkew:
    """Lower bound of how far one instance's clock is behind another's."""

    behind: str
    ahead: str
    skew_ms: float


def find_clock_skews(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[ClockSkew]:
    """Return the largest skew seen for each pair of instances.

    An instance logs its start before others discover it; the reverse
    order of times shows that two clocks differ.
    """
    start_by_name: dict[object, savedlogs.LogLine] = {}
    discoveries: list[savedlogs.LogLine] = []
    for line in lines:
        if line.event == 'started':
            start_by_name[line.fields.get('start')] = line
        elif line.event == 'instance-found':
            discoveries.append(line)
    gap_by_pair: dict[tuple[str, str], float] = {}
    for line in discoveries:
        start = start_by_name.get(line.fields.get('start'))
        if start is None or start.utc_ms is None or line.utc_ms is None:
            continue
        gap_ms = start.utc_ms - line.utc_ms
        if gap_ms >= MIN_SKEW_MS:
            pair = (line.instance, start.instance)
            gap_by_pair[pair] = max(gap_ms, gap_by_pair.get(pair, 0.0))
    return [
        ClockSkew(behind, ahead, gap_ms)
        for (behind, ahead), gap_ms in sorted(gap_by_pair.items())
    ]


def format_clock_skew(skew: ClockSkew) -> str:
    """Return a skew as one line of text."""
    return (
        f'The clock of {skew.behind} is at least {skew.skew_ms:.0f} ms behind '
        f'that of {skew.ahead}.'
    )
