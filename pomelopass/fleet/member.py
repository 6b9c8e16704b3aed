"""Describe an instance of the fleet and judge whether it lives."""

import dataclasses

import orjson

__all__ = ['Member', 'Membership', 'decode_member', 'encode_member']

# Heartbeats come twice a second.
DEAD_AFTER_MS = 1700.0
FRESH_MS = 900.0
RECENT_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Hold what an instance says of itself with each heartbeat."""

    name: str
    incarnation: str
    availability_zone: str
    caller_address: str
    relay_address: str
    accepting: bool
    beat: int
    runs_by_endpoint: dict[str, int]
    # Processor time a second, in seconds of a usual core.
    capacity: float = 1.0
    # Crashes seen of endpoints, by the content that they ran.
    crashes_by_fingerprint: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    # Whether its own way to the table service works.
    is_direct: bool = True


def encode_member(member: Member) -> bytes:
    """Return the row value of a heartbeat."""
    return orjson.dumps(member)


def decode_member(value: bytes) -> Member | None:
    """Return the member, or None for a row that can't be read."""
    try:
        return Member(**orjson.loads(value))
    except (TypeError, ValueError):
        return None


@dataclasses.dataclass(slots=True)
class Membership:
    """Hold the last heartbeat of each instance and when it was seen.

    Times are seconds on the clock of the event loop.
    """

    own_name: str
    member_by_name: dict[str, Member] = dataclasses.field(default_factory=dict)
    seen_at_by_name: dict[str, float] = dataclasses.field(default_factory=dict)
    # Since when heartbeats have come in without a gap.
    steady_since: float = float('inf')
    fresh_at: float = float('-inf')

    def mark_fresh(self, now: float) -> None:
        """Take in that the view of the fleet was up to date."""
        if (now - self.fresh_at) * 1000 > FRESH_MS:
            self.steady_since = now
        self.fresh_at = now

    def put(self, member: Member, now: float) -> None:
        """Take in a heartbeat."""
        self.member_by_name[member.name] = member
        self.seen_at_by_name[member.name] = now

    def remove(self, name: str) -> None:
        """Forget an instance whose row was removed."""
        self.member_by_name.pop(name, None)
        self.seen_at_by_name.pop(name, None)

    def is_alive(self, name: str, now: float) -> bool:
        """Say whether an instance counts as alive.

        Silence counts only for as long as the view was up to date.
        """
        if name == self.own_name:
            return True
        if name not in self.member_by_name:
            return False
        since = max(self.seen_at_by_name[name], self.steady_since)
        return (min(now, self.fresh_at) - since) * 1000 < DEAD_AFTER_MS

    def is_incarnation_alive(
        self, name: str, incarnation: str, now: float
    ) -> bool:
        """Say whether this very start of an instance counts as alive."""
        member = self.member_by_name.get(name)
        if member is None:
            # A start that was never seen may be about to send a heartbeat.
            return (now - self.steady_since) * 1000 < DEAD_AFTER_MS
        if member.incarnation != incarnation:
            return False
        return self.is_alive(name, now)

    def get_recent(self, now: float) -> list[Member]:
        """Return the accepting instances whose heartbeat has just come."""
        return [
            one
            for name, one in self.member_by_name.items()
            if one.accepting
            and (now - self.seen_at_by_name[name]) * 1000 < RECENT_MS
        ]

    def get_direct(self, now: float) -> list[Member]:
        """Return the recent instances that reach the table themselves.

        If these are few, the table is away rather than the instances.
        """
        recent = self.get_recent(now)
        direct = [one for one in recent if one.is_direct]
        return direct if 2 * len(direct) > len(recent) else recent

    def get_routable(self, now: float) -> list[Member]:
        """Return the instances that callers are sent to."""
        alive = self.get_alive(now)
        recent = self.get_direct(now)
        # Late heartbeats of many tell of the table, not of the instances.
        return recent if 2 * len(recent) > len(alive) else alive

    def get_relay_addresses(self, now: float) -> set[str]:
        """Return where other instances pass calls to the table on."""
        alive = [
            one
            for name, one in self.member_by_name.items()
            if name != self.own_name and self.is_alive(name, now)
        ]
        direct = {one.relay_address for one in alive if one.is_direct}
        return direct or {one.relay_address for one in alive}

    def get_alive(self, now: float) -> list[Member]:
        """Return the instances that count as alive and accept work."""
        return [
            one
            for name, one in self.member_by_name.items()
            if one.accepting and self.is_alive(name, now)
        ]
