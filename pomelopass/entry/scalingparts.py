"""Assemble what orders engines by demand."""

from collections import abc
import dataclasses

from ..leadership import duty
from ..leadership import leader
from ..reporting import logevents
from ..scaling import manager as managers
from . import settings as entrysettings
from ..table import rows
from . import usageparts

__all__ = ['ScalingParts', 'build_scaling_parts']


@dataclasses.dataclass(frozen=True, slots=True)
class ScalingParts:
    """Manager of an instance; None where the settings name no such duty."""

    manager: managers.ScalingManager | None = None

    def get_tasks(
        self,
    ) -> tuple[tuple[str, abc.Callable[[], abc.Awaitable[None]]], ...]:
        """Return the background tasks by name."""
        if self.manager is None:
            return ()
        return (('ScalingManager.run', self.manager.run),)

    def apply_row(self, row: rows.Row) -> None:
        """Apply a row of the duty."""
        if self.manager is not None:
            self.manager.duty.apply_row(row)

    def begin_stop(self) -> None:
        """Order nothing more and hand the duties over."""
        if self.manager is not None:
            self.manager.stopping = True


def build_scaling_parts(
    settings: entrysettings.EntrySettings,
    ports: usageparts.DutyPorts | None,
    incarnation: str,
    table: rows.RowTable,
    views: managers.ScalingViews,
    write_event: logevents.WriteEvent,
    get_lease_now: abc.Callable[[], float],
    is_cut_off: abc.Callable[[], bool],
) -> ScalingParts:
    """Return the parts of an instance, as its settings name the duty."""
    if ports is None or not settings.orders_engines:
        return ScalingParts()
    scaling_duty = duty.Duty(
        leader.SCALING_PREFIX,
        settings.name,
        incarnation,
        duty.DutySettings(
            settings.takeover_wait_ms,
            settings.engines_check_fences,
            separates_holders=True,
        ),
        table,
        views.membership,
        # The manager logs it.
        lambda subject: None,
        get_lease_now,
        is_cut_off,
    )
    return ScalingParts(
        managers.ScalingManager(
            views,
            ports.engines,
            scaling_duty,
            int(settings.reports_usage),
            write_event,
        )
    )
