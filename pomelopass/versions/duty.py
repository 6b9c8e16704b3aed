"""Decide which instance orders the engines of a service."""

import asyncio
from collections import abc
import dataclasses

from ..core import rendezvous
from ..fleet import member
from . import leader
from ..reporting import logevents
from ..table import rows

__all__ = ['DutySettings', 'OrderDuty']

# Orders are sent only within this time after the duty was confirmed.
CONFIRMATION_TTL_MS = 800.0


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """How long a new leader waits for orders of the one before."""

    # Orders of two live leaders to one engine must be this far apart.
    lease_ms: float
    # Engines that check fencing tokens refuse those of a dead leader.
    engines_check_fences: bool


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
        self.confirmed_at = float('-inf')

    def apply_row(self, row: rows.Row) -> None:
        """Update the leader of a service from its changed row."""
        service = row.name.key.removeprefix(leader.LEADER_KEY_PREFIX)
        leadership = self._get_leadership(service)
        decoded = leader.decode_leader(row.value) if row.value else None
        if decoded is not None and decoded.holder_name != self.name:
            leadership.held_elsewhere_at = self.get_lease_now()
        if row.version > leadership.version:
            leadership.put(row)

    def may_lead(self, service: str) -> bool:
        """Return whether this instance holds the duty or may take it."""
        leadership = self._get_leadership(service)
        row = leadership.row
        if row is not None and row.holder == self.incarnation:
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
        row = leadership.row
        if row is None or row.holder != self.incarnation:
            return False
        now = asyncio.get_running_loop().time()
        if self.name in self._get_candidate_names(now):
            return False
        is_released = await leader.release(self.table, leadership)
        self.write_event(logevents.DutyLost(service=service))
        return is_released

    async def confirm(self, service: str) -> bool:
        """Return whether orders may be sent now; raise TableError."""
        leadership = self._get_leadership(service)
        requested_at = self.get_lease_now()
        is_confirmed = await leader.confirm(
            self.table, leadership, self.incarnation, self.name, requested_at
        )
        if not is_confirmed:
            self.write_event(logevents.DutyLost(service=service))
            return False
        self.confirmed_at = requested_at
        return self._has_waited(leadership, requested_at)

    def is_confirmed(self) -> bool:
        """Return whether an order may be sent on the last confirmation."""
        age_ms = (self.get_lease_now() - self.confirmed_at) * 1000
        return age_ms <= CONFIRMATION_TTL_MS

    def get_fence(self, service: str) -> int:
        """Return the fencing token of a duty that this instance holds."""
        return self._get_leadership(service).row.fence

    def _get_leadership(self, service: str) -> leader.Leadership:
        return self.leadership_by_service.setdefault(
            service, leader.Leadership(service)
        )

    def _has_waited(self, leadership: leader.Leadership, now: float) -> bool:
        if leadership.was_released:
            since = leadership.held_elsewhere_at
        elif leadership.took_over and not self.settings.engines_check_fences:
            since = leadership.leader_since
        else:
            return True
        return (now - since) * 1000 >= self.settings.lease_ms

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
