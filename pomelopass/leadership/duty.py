"""Decide which instance performs a duty for each of its subjects."""

import asyncio
from collections import abc
import dataclasses

from ..core import rendezvous
from ..fleet import member
from . import leader
from ..table import rows

__all__ = ['Duty', 'DutySettings', 'Grant']

# Calls are sent only within this time after a confirmation was requested. A
# new leader waits for it in addition to the lease.
GRANT_MS = 800.0


@dataclasses.dataclass(frozen=True, slots=True)
class DutySettings:
    """How long a new leader waits for calls of the one before."""

    # Calls of two live leaders on one subject must be this far apart.
    lease_ms: float
    # Receivers that check fencing tokens refuse those of a dead leader.
    fences_are_checked: bool
    # Whether calls of two holders must be a lease apart even after a release.
    # A restarted instance is the same holder.
    separates_holders: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What a confirmation of the duty allows: calls with its token."""

    subject: str
    fence: int
    # On the lease clock, in seconds.
    ends_at: float


class Duty:
    """This instance's view of a duty with one leader for each subject.

    The prefix precedes the names of its subjects in their row keys.
    """

    def __init__(
        self,
        prefix: str,
        name: str,
        incarnation: str,
        settings: DutySettings,
        table: rows.RowTable,
        membership: member.Membership,
        on_lost: abc.Callable[[str], None],
        get_lease_now: abc.Callable[[], float],
        is_cut_off: abc.Callable[[], bool] = lambda: False,
    ):
        self.prefix = prefix
        self.name = name
        self.incarnation = incarnation
        self.settings = settings
        self.table = table
        self.membership = membership
        # Called with the subject of a duty that another instance took.
        self.on_lost = on_lost
        # This clock also advances while the machine is suspended.
        self.get_lease_now = get_lease_now
        # Whether this instance reaches no endpoint over its own links.
        self.is_cut_off = is_cut_off
        self.leadership_by_subject: dict[str, leader.Leadership] = {}

    def apply_row(self, row: rows.Row) -> None:
        """Update the leader of a subject from its changed row."""
        subject = row.name.key.removeprefix(self.prefix)
        self._get_leadership(subject).put(row, self.get_lease_now())

    def may_lead(self, subject: str) -> bool:
        """Return whether this instance holds the duty or may take it."""
        leadership = self._get_leadership(subject)
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
        if not self.settings.separates_holders:
            return rendezvous.rank(leadership.key.key, names)[0] == self.name
        return self.name == _choose_next(leadership, names)

    def is_own(self, subject: str) -> bool:
        """Return whether this start of the instance holds the duty."""
        return self._get_leadership(subject).is_own

    def get_fence(self, subject: str) -> int:
        """Return the token of the last known holder, or 0."""
        row = self._get_leadership(subject).row
        return 0 if row is None else row.fence

    def get_condition(self, subject: str) -> tuple[rows.Key, int]:
        """Return the leader row as last known, for conditional writes.

        A write on this condition is applied only while no other instance
        took the duty, however late it arrives.
        """
        leadership = self._get_leadership(subject)
        return leadership.key, leadership.version

    async def release(self, subject: str) -> bool:
        """Give the duty up; return whether it was held until then.

        No call of this instance may be in flight. Raise TableError.
        """
        leadership = self._get_leadership(subject)
        if not leadership.is_own:
            return False
        return await leader.release(self.table, leadership, self.get_lease_now)

    def refuse(self, grant: Grant) -> None:
        """Record that a call was refused for a newer token."""
        leadership = self._get_leadership(grant.subject)
        leadership.refused_fence = max(leadership.refused_fence, grant.fence)

    async def release_if_cut_off(self, subject: str) -> bool:
        """Give the duty up if others reach endpoints; return whether done.

        A call must not go over a peer: receivers distinguish holders by
        their fencing tokens only. Raise TableError.
        """
        leadership = self._get_leadership(subject)
        if not leadership.is_own:
            return False
        now = asyncio.get_running_loop().time()
        if self.name in self._get_candidate_names(now):
            return False
        is_released = await leader.release(
            self.table, leadership, self.get_lease_now
        )
        self.on_lost(subject)
        return is_released

    async def confirm(self, subject: str) -> Grant | None:
        """Return a grant if calls may be sent now; raise TableError."""
        leadership = self._get_leadership(subject)
        if (
            leadership.is_own
            and leadership.row.fence <= leadership.refused_fence
        ):
            # The next holder, perhaps this instance, gets a new token.
            await self.release(subject)
            return None
        requested_at = self.get_lease_now()
        row = await leader.confirm(self.table, leadership, self.get_lease_now)
        if row is None:
            self.on_lost(subject)
            return None
        if not self._has_waited(leadership):
            return None
        return Grant(subject, row.fence, requested_at + GRANT_MS / 1000)

    def is_valid(self, grant: Grant) -> bool:
        """Return whether a call may still be sent under a grant."""
        leadership = self._get_leadership(grant.subject)
        return (
            leadership.is_own
            and leadership.row.fence == grant.fence
            and grant.fence > leadership.refused_fence
            and self.get_lease_now() <= grant.ends_at
        )

    def _get_leadership(self, subject: str) -> leader.Leadership:
        return self.leadership_by_subject.setdefault(
            subject,
            leader.Leadership(
                f'{self.prefix}{subject}', self.name, self.incarnation
            ),
        )

    def _has_waited(self, leadership: leader.Leadership) -> bool:
        if self.settings.separates_holders:
            elapsed_s = self.get_lease_now() - leadership.held_elsewhere_at
            if elapsed_s * 1000 < self.settings.lease_ms:
                return False
        if leadership.was_released:
            since = leadership.held_elsewhere_at
            wait_ms = self.settings.lease_ms
        elif not self.settings.fences_are_checked:
            since = leadership.taken_over_at
            # The previous leader may call until its last grant ends.
            wait_ms = self.settings.lease_ms + GRANT_MS
        else:
            return True
        return (self.get_lease_now() - since) * 1000 >= wait_ms

    def _get_candidate_names(self, now: float) -> list[str]:
        """Return the instances that may lead, those with links if any."""
        alive = self.membership.get_alive(now)
        linked = [
            peer.name for peer in alive if not self._is_cut_off(peer.name)
        ]
        return linked or [peer.name for peer in alive]

    def _is_cut_off(self, name: str) -> bool:
        if name == self.name:
            return self.is_cut_off()
        return self.membership.is_cut_off(name)


def _choose_next(leadership: leader.Leadership, names: list[str]) -> str:
    """Return the instance that takes a duty without a holder.

    The choice differs with each holder: one that cannot call the platform
    gives the duty up, and the next must not be the same again.
    """
    row = leadership.row
    fence = 0 if row is None else row.fence
    others = names
    if row is not None and not row.holder:
        others = [name for name in names if name != row.holder_name] or names
    return rendezvous.rank(f'{leadership.key.key}/{fence}', others)[0]
