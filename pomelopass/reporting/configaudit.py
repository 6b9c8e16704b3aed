"""Measure how late each instance has each configuration in force."""

import bisect
from collections import abc
import dataclasses
import statistics

from . import savedlogs

__all__ = ['ConfigurationLag', 'measure_lags']

# A change must be in force everywhere by then.
APPLY_LIMIT_MS = 2000.0
# Clocks of day step by less; a larger difference is that of a line mixed
# from those of two instances.
MAX_CLOCK_STEP_MS = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationLag:
    """Time from the first instance with a version in force to another."""

    instance: str
    version: int
    first_ms: float
    # None if the instance never had the version, or a newer one, in force.
    lag_ms: float | None
    # Whether the instance had lost the table in the meantime.
    without_table: bool

    @property
    def is_late(self) -> bool:
        """Return whether an instance with the table exceeded the limit."""
        if self.without_table:
            return False
        return self.lag_ms is None or self.lag_ms > APPLY_LIMIT_MS


@dataclasses.dataclass(slots=True)
class _Run:
    """Events of one start of an instance on the clock of all instances."""

    instance: str
    takes: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    losses: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    end_ms: float = float('-inf')


def measure_lags(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[ConfigurationLag]:
    """Return the lag of each version at each start of an instance.

    The first instance stands for the acknowledgement by the table, which is
    a little earlier. A start counts from its first configuration on; a
    version that came up in its last moments is left out.
    """
    runs = [_make_run(group) for group in _split_into_starts(lines)]
    first_ms_by_version: dict[int, float] = {}
    for time_ms, version in sorted(take for run in runs for take in run.takes):
        first_ms_by_version.setdefault(version, time_ms)
    return [
        _measure_lag(run, version, first_ms)
        for run in runs
        for version, first_ms in first_ms_by_version.items()
        if run.takes and first_ms >= run.takes[0][0]
        if _has_version(run, version) or first_ms + APPLY_LIMIT_MS < run.end_ms
    ]


def _split_into_starts(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[list[savedlogs.LogLine]]:
    groups: list[list[savedlogs.LogLine]] = []
    current_by_instance: dict[str, list[savedlogs.LogLine]] = {}
    for line in lines:
        if line.steady_ms is None or line.utc_ms is None:
            continue
        if line.event == 'instance-found':
            # It names the instance that another one found.
            continue
        group = current_by_instance.get(line.instance)
        if group is None or line.event == 'started':
            group = current_by_instance[line.instance] = []
            groups.append(group)
        group.append(line)
    return groups


def _make_run(group: list[savedlogs.LogLine]) -> _Run:
    # The time of day may jump; the monotonic clock does not.
    offset_ms = statistics.median_low(
        [line.utc_ms - line.steady_ms for line in group]
    )
    run = _Run(group[0].instance)
    lost_ms = None
    for line in sorted(group, key=lambda line: line.steady_ms):
        time_ms = line.steady_ms + offset_ms
        if abs(line.utc_ms - time_ms) > MAX_CLOCK_STEP_MS:
            continue
        run.end_ms = time_ms
        if line.event == 'configuration-in-force':
            run.takes.append((time_ms, int(str(line.fields['version']))))
        elif line.event == 'table-lost':
            lost_ms = time_ms if lost_ms is None else lost_ms
        elif line.event == 'table-regained' and lost_ms is not None:
            run.losses.append((lost_ms, time_ms))
            lost_ms = None
    if lost_ms is not None:
        run.losses.append((lost_ms, run.end_ms))
    return run


def _has_version(run: _Run, version: int) -> bool:
    return any(taken >= version for _, taken in run.takes)


def _measure_lag(run: _Run, version: int, first_ms: float) -> ConfigurationLag:
    after = run.takes[bisect.bisect_left(run.takes, (first_ms, 0)) :]
    before = [taken for time_ms, taken in run.takes if time_ms < first_ms]
    lag_ms = 0.0
    if not any(taken >= version for taken in before):
        lag_ms = next(
            (
                time_ms - first_ms
                for time_ms, taken in after
                if taken >= version
            ),
            None,
        )
    end_ms = run.end_ms if lag_ms is None else first_ms + lag_ms
    without_table = any(
        lost_ms <= end_ms and regained_ms >= first_ms
        for lost_ms, regained_ms in run.losses
    )
    return ConfigurationLag(
        run.instance, version, first_ms, lag_ms, without_table
    )
