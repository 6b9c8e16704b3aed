"""Define fleet members and decide which of them are alive."""

import dataclasses

import orjson

from .. import decoding
from . import lateness

__all__ = [
    'COUNTER',
    'Member',
    'Membership',
    'decode_member',
    'encode_member',
]

# Field that grows with each heartbeat; only its writer uses the count.
COUNTER = 'beat'
MAX_VIEW_GAP_MS = 900.0
RECENT_HEARTBEAT_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """State that an instance reports with each heartbeat."""

    name: str
    incarnation: str
    availability_zone: str
    caller_address: decoding.Address
    relay_address: decoding.Address
    accepting: bool
    beat: decoding.Int64
    runs_by_endpoint: dict[str, decoding.Count]
    # CPU seconds per second, in units of a standard core.
    capacity: decoding.FiniteFloat = 1.0
    # Endpoint crashes that it counted, by fingerprint of the request.
    crashes_by_fingerprint: dict[str, decoding.Count] = dataclasses.field(
        default_factory=dict
    )
    # Whether it reaches the table service without a peer.
    is_direct: bool = True


_decode = decoding.make_decoder(Member)


def encode_member(member: Member) -> bytes:
    """Return the row value of a heartbeat."""
    return orjson.dumps(member)


def decode_member(value: bytes) -> Member | None:
    """Return the member, or None for an unreadable row."""
    try:
        return _decode(value)
    except ValueError:
        return None


@dataclasses.dataclass(slots=True)
class Membership:
    """Last heartbeat of each instance and when it was received.

    Times are seconds on the clock of the event loop.
    """

    own_name: str
    member_by_name: dict[str, Member] = dataclasses.field(default_factory=dict)
    seen_at_by_name: dict[str, float] = dataclasses.field(default_factory=dict)
    # Start of the period in which the view was updated without a gap.
    uninterrupted_since: float = float('inf')
    fresh_at: float = float('-inf')
    dead_after_ms: float = lateness.DEAD_AFTER_MS
    # When the last own heartbeat was stored, and how long that took.
    own_written_at: float = float('-inf')
    own_write_ms: float = 0.0
    # Start of each instance that reported that it reaches no endpoint.
    cut_off_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    # Grows whenever other instances may count as alive, or other heartbeats
    # are the last ones.
    revision: int = 0

    def mark_fresh(self, now: float) -> None:
        """Record that the view of the fleet was up to date."""
        self.revision += 1
        if (now - self.fresh_at) * 1000 > MAX_VIEW_GAP_MS:
            self.uninterrupted_since = now
        self.fresh_at = now
        self.dead_after_ms = lateness.get_dead_after_ms(
            [
                self._get_age_ms(name, now)
                for name, member in self.member_by_name.items()
                if member.accepting
            ],
            self._is_own_prompt(now),
        )

    def record_own_write(self, took_ms: float, now: float) -> None:
        """Record that an own heartbeat was stored, and how long it took."""
        self.own_written_at = now
        self.own_write_ms = took_ms

    def put(self, member: Member, now: float) -> None:
        """Record a heartbeat."""
        self.revision += 1
        self.member_by_name[member.name] = member
        self.seen_at_by_name[member.name] = now

    def remove(self, name: str) -> None:
        """Remove an instance whose row was removed."""
        self.revision += 1
        self.member_by_name.pop(name, None)
        self.seen_at_by_name.pop(name, None)

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether an instance counts as alive.

        Time without a heartbeat counts only while the view was up to date.
        """
        if name == self.own_name:
            return True
        if name not in self.member_by_name:
            return False
        return self._get_age_ms(name, now) < self.dead_after_ms

    def is_incarnation_alive(
        self, name: str, incarnation: str, now: float
    ) -> bool:
        """Return whether this incarnation of an instance counts as alive."""
        member = self.member_by_name.get(name)
        if member is None:
            # An unseen incarnation may be about to write its first heartbeat.
            silent_ms = (now - self.uninterrupted_since) * 1000
            return silent_ms < self.dead_after_ms
        if member.incarnation != incarnation:
            return False
        return self.is_alive(name, now)

    def _get_age_ms(self, name: str, now: float) -> float:
        """Return the time without a heartbeat while the view was fresh."""
        since = max(self.seen_at_by_name[name], self.uninterrupted_since)
        return (min(now, self.fresh_at) - since) * 1000

    def _is_own_prompt(self, now: float) -> bool:
        silent_ms = (now - self.own_written_at) * 1000
        return (
            silent_ms < lateness.DEAD_AFTER_MS
            and self.own_write_ms < lateness.PROMPT_WRITE_MS
        )

    def get_recent(self, now: float) -> list[Member]:
        """Return the accepting instances with a recent heartbeat."""
        return [
            member
            for name, member in self.member_by_name.items()
            if member.accepting
            and (now - self.seen_at_by_name[name]) * 1000 < RECENT_HEARTBEAT_MS
        ]

    def get_direct(self, now: float) -> list[Member]:
        """Return the recent instances that reach the table without a peer.

        Without a majority of these, the table service is at fault rather
        than the instances: return all recent ones then.
        """
        recent = self.get_recent(now)
        direct = [member for member in recent if member.is_direct]
        return direct if 2 * len(direct) > len(recent) else recent

    def get_routable(self, now: float) -> list[Member]:
        """Return the instances that the directory lists."""
        alive = self.get_alive(now)
        recent = self.get_direct(now)
        # If most heartbeats are late, the table is slow, not the instances.
        return recent if 2 * len(recent) > len(alive) else alive

    def get_relay_addresses(
        self, now: float, availability_zone: str | None = None
    ) -> set[str]:
        """Return the addresses of peers that relay calls to the table.

        With an availability zone, return only those in it.
        """
        alive = [
            member
            for name, member in self.member_by_name.items()
            if name != self.own_name
            and self.is_alive(name, now)
            and availability_zone in (None, member.availability_zone)
        ]
        direct = {member.relay_address for member in alive if member.is_direct}
        return direct or {member.relay_address for member in alive}

    def put_cut_off(self, name: str, incarnation: str | None) -> None:
        """Record whether a start of an instance reaches no endpoint."""
        self.cut_off_by_name.pop(name, None)
        if incarnation is not None:
            self.cut_off_by_name[name] = incarnation

    def is_cut_off(self, name: str) -> bool:
        """Return whether an instance reported that it reaches no endpoint."""
        member = self.member_by_name.get(name)
        return (
            member is not None
            and self.cut_off_by_name.get(name) == member.incarnation
        )

    def get_helpers(self, now: float) -> list[Member]:
        """Return the other live instances that reach endpoints."""
        return [
            member
            for member in self.get_alive(now)
            if member.name != self.own_name
            and not self.is_cut_off(member.name)
        ]

    def get_alive_incarnations(self, now: float) -> list[str]:
        """Return the starts of instances that live, also of stopping ones."""
        return [
            member.incarnation
            for name, member in self.member_by_name.items()
            if self.is_alive(name, now)
        ]

    def get_alive(self, now: float) -> list[Member]:
        """Return the instances that count as alive and accept work."""
        return [
            member
            for name, member in self.member_by_name.items()
            if member.accepting and self.is_alive(name, now)
        ]
