"""Assemble what counts and reports the usage of workspaces."""

from collections import abc
import dataclasses

from ..fleet import member
from ..leadership import duty
from ..leadership import leader
from ..reporting import logevents
from ..requests import start as starts
from ..scaling import manager as scalingmanagers
from . import settings as entrysettings
from ..table import rows
from . import tableclock
from ..usage import clock as clocks
from ..usage import manager as managers
from ..usage import rowcodec
from ..usage import starts as counters

__all__ = ['DutyPorts', 'UsageParts', 'build_usage_parts']


@dataclasses.dataclass(frozen=True, slots=True)
class DutyPorts:
    """What an instance needs for the duties of the platform's API."""

    usage: managers.UsagePort
    engines: scalingmanagers.EnginePort
    # UTC of the instance in milliseconds.
    get_utc_ms: abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageParts:
    """Counter and manager of an instance; None where nothing is reported."""

    counter: counters.StartCounter | None = None
    manager: managers.UsageManager | None = None
    value_by_kept_key: dict[rows.Key, abc.Callable[[], bytes | None]] = (
        dataclasses.field(default_factory=dict)
    )

    def get_start_book(self) -> starts.StartBook:
        """Return where the starts of requests are recorded."""
        return self.counter or starts.NO_STARTS

    def get_tasks(
        self,
    ) -> tuple[tuple[str, abc.Callable[[], abc.Awaitable[None]]], ...]:
        """Return the background tasks by name."""
        if self.manager is None:
            return ()
        return (('UsageManager.run', self.manager.run),)

    def apply_row(self, row: rows.Row) -> None:
        """Apply a row of the duty or the progress of the reports."""
        if self.counter is None:
            return
        if row.name != rowcodec.PROGRESS_KEY:
            self.manager.duty.apply_row(row)
        elif row.value is not None:
            self.counter.set_progress(rowcodec.decode_progress(row.value))

    def count_unreported(self) -> int:
        """Return how many reports this holder has not seen accepted."""
        return 0 if self.manager is None else self.manager.count_unreported()

    def begin_stop(self) -> None:
        """Close no further window and hand the duty over."""
        if self.manager is not None:
            self.manager.stopping = True


def build_usage_parts(
    settings: entrysettings.EntrySettings,
    ports: DutyPorts | None,
    incarnation: str,
    table: tableclock.TableClock,
    membership: member.Membership,
    write_event: logevents.WriteEvent,
    get_lease_now: abc.Callable[[], float],
    is_cut_off: abc.Callable[[], bool],
) -> UsageParts:
    """Return the parts of an instance, as its settings name the duty."""
    if ports is None or not settings.reports_usage:
        return UsageParts()
    clock = clocks.UsageClock(table.get_answered_offset_ms, ports.get_utc_ms)
    window_ms = settings.usage_window_s * 1000
    counter = counters.StartCounter(
        settings.name, window_ms, clock, write_event
    )
    usage_duty = duty.Duty(
        leader.USAGE_PREFIX,
        settings.name,
        incarnation,
        duty.DutySettings(
            settings.takeover_wait_ms,
            settings.engines_check_fences,
            separates_holders=True,
        ),
        table,
        membership,
        # The manager logs it.
        lambda subject: None,
        get_lease_now,
        is_cut_off,
    )
    manager = managers.UsageManager(
        window_ms,
        settings.usage_late_s * 1000,
        clock,
        ports.usage,
        usage_duty,
        table,
        membership,
        write_event,
    )
    count_key = rowcodec.make_count_key(settings.name, incarnation)
    return UsageParts(counter, manager, {count_key: counter.make_row_value})
