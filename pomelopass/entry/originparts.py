"""Assemble the lookup of origins of streams that callers resume."""

from collections import abc
import dataclasses

from ..fleet import member
from ..origins import bases as basekeepers
from ..origins import recorder as recorders
from ..origins import sweep
from ..registry import registry as registries
from ..reporting import logevents
from . import tableclock

__all__ = ['OriginParts', 'build_origin_parts']

SWEEP_DUTY = 'stream-origins'


@dataclasses.dataclass(frozen=True, slots=True)
class OriginParts:
    """Bases of the services, recorder of streams, sweeper of old rows."""

    bases: basekeepers.BaseKeeper
    recorder: recorders.OriginRecorder
    sweeper: sweep.OriginSweeper


def build_origin_parts(
    table: tableclock.TableClock,
    registry: registries.Registry,
    membership: member.Membership,
    get_resumable_services: abc.Callable[[], set[str]],
    is_registry_fresh: abc.Callable[[], bool],
    ages: basekeepers.CopyAges,
    write_event: logevents.WriteEvent,
) -> OriginParts:
    """Return the parts of an instance."""
    bases = basekeepers.BaseKeeper(
        table,
        registry,
        membership,
        get_resumable_services,
        is_registry_fresh,
        ages,
        table.get_now_ms,
        write_event,
    )
    recorder = recorders.OriginRecorder(
        table,
        bases,
        table.get_answer_age_ms,
        table.get_now_ms,
        write_event,
    )

    def must_sweep() -> bool:
        has_streams = bool(get_resumable_services())
        return has_streams and bases.is_responsible(SWEEP_DUTY)

    sweeper = sweep.OriginSweeper(
        table, must_sweep, table.get_now_ms, write_event
    )
    return OriginParts(bases, recorder, sweeper)
