"""Decide which instance orders the engines of a service."""

import asyncio
from collections import abc
import dataclasses

from ..core import rendezvous
from ..fleet import member
from . import leader
from ..reporting import logevents
from ..table import rows

__all__ = ['DutySettings', 'OrderDuty', 'OrderGrant']

# Orders are sent only within this time after a confirmation was requested.
GRANT_MS = 800.0


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """How long a new leader waits for orders of the one before."""

    # Orders of two live leaders to one engine must be this far apart.
    lease_ms: float
    # Engines that check fencing tokens refuse those of a dead leader.
    engines_check_fences: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OrderGrant:
    """What a confirmation of the duty allows: orders with its token."""

    service: str
    fence: int
    # On the lease clock, in seconds.
    ends_at: float


class OrderDuty:
    """The duty to order engines, by service, as this instance knows it."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        settings: DutySettings,
        table: rows.RowTable,
        membership: member.Membership,
        write_event: logevents.WriteEvent,
        get_lease_now: abc.Callable[[], float],
        is_cut_off: abc.Callable[[], bool] = lambda: False,
    ):
        self.name = name
        self.incarnation = incarnation
        self.settings = settings
        self.table = table
        self.membership = membership
        self.write_event = write_event
        # This clock also advances while the machine is suspended.
        self.get_lease_now = get_lease_now
        # Whether this instance reaches no endpoint over its own links.
        self.is_cut_off = is_cut_off
        self.leadership_by_service: dict[str, leader.Leadership] = {}

    def apply_row(self, row: rows.Row) -> None:
        """Update the leader of a service from its changed row."""
        service = row.name.key.removeprefix(leader.LEADER_KEY_PREFIX)
        self._get_leadership(service).put(row, self.get_lease_now())

    def may_lead(self, service: str) -> bool:
        """Return whether this instance holds the duty or may take it."""
        leadership = self._get_leadership(service)
        row = leadership.row
        if leadership.is_own:
            return True
        now = asyncio.get_running_loop().time()
        has_holder = row is not None and row.holder
        if has_holder and self.membership.is_incarnation_alive(
            row.holder_name, row.holder, now
        ):
            return False
        names = self._get_candidate_names(now)
        if self.name not in names:
            return False
        return rendezvous.rank(leadership.key.key, names)[0] == self.name

    async def release_if_cut_off(self, service: str) -> bool:
        """Give the duty up if others reach endpoints; return whether done.

        An order must not go over a peer: engines distinguish holders by
        their fencing tokens only. Raise TableError.
        """
        leadership = self._get_leadership(service)
        if not leadership.is_own:
            return False
        now = asyncio.get_running_loop().time()
        if self.name in self._get_candidate_names(now):
            return False
        is_released = await leader.release(
            self.table, leadership, self.get_lease_now
        )
        self.write_event(logevents.DutyLost(service=service))
        return is_released

    async def confirm(self, service: str) -> OrderGrant | None:
        """Return a grant if orders may be sent now; raise TableError."""
        leadership = self._get_leadership(service)
        requested_at = self.get_lease_now()
        row = await leader.confirm(self.table, leadership, self.get_lease_now)
        if row is None:
            self.write_event(logevents.DutyLost(service=service))
            return None
        if not self._has_waited(leadership):
            return None
        return OrderGrant(service, row.fence, requested_at + GRANT_MS / 1000)

    def is_valid(self, grant: OrderGrant) -> bool:
        """Return whether an order may still be sent under a grant."""
        leadership = self._get_leadership(grant.service)
        return (
            leadership.is_own
            and leadership.row.fence == grant.fence
            and self.get_lease_now() <= grant.ends_at
        )

    def _get_leadership(self, service: str) -> leader.Leadership:
        return self.leadership_by_service.setdefault(
            service,
            leader.Leadership(service, self.name, self.incarnation),
        )

    def _has_waited(self, leadership: leader.Leadership) -> bool:
        if leadership.was_released:
            since = leadership.held_elsewhere_at
            wait_ms = self.settings.lease_ms
        elif not self.settings.engines_check_fences:
            since = leadership.taken_over_at
            # The leader before may order until its last grant ends.
            wait_ms = self.settings.lease_ms + GRANT_MS
        else:
            return True
        return (self.get_lease_now() - since) * 1000 >= wait_ms

    def _get_candidate_names(self, now: float) -> list[str]:
        """Return the instances that may order, those with links if any."""
        alive = self.membership.get_alive(now)
        linked = [
            peer.name for peer in alive if not self._is_cut_off(peer.name)
        ]
        return linked or [peer.name for peer in alive]

    def _is_cut_off(self, name: str) -> bool:
        if name == self.name:
            return self.is_cut_off()
        return self.membership.is_cut_off(name)
