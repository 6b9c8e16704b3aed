"""Keep the base of each service: the software of streams without a row."""

import asyncio
from collections import abc
import dataclasses

from ..core import rendezvous
from ..fleet import member
from . import origin as origins
from ..registry import registry as registries
from ..reporting import logevents
from ..table import rows

__all__ = [
    'AMBIGUITY_MS',
    'BASE_TTL_MS',
    'BaseKeeper',
    'CopyAges',
    'StoredBase',
    'add_other',
    'choose_base',
]

CHECK_INTERVAL_S = 0.25
# Streams are not resumed this long after the last of their endpoints left.
BASE_TTL_MS = 300_000
# Instances begin streams without a row by a copy of at most this age.
MAX_ABSENCE_AGE_MS = 60_000.0
# Such a stream may be resumed for as long as any other.
AMBIGUITY_MS = BASE_TTL_MS + int(MAX_ABSENCE_AGE_MS)
# A base can't change within this time after a copy in which it is present.
MAX_BASE_AGE_MS = BASE_TTL_MS / 2
# A version stays listed for much longer after its last endpoint left.
MAX_LISTING_AGE_MS = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBase:
    """Base of a service and the version of its row."""

    base: origins.Base
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAges:
    """How old a change may be that the local copies lack, in milliseconds.

    The ages count the time in which the instance was suspended.
    """

    get_bases_ms: abc.Callable[[], float]
    get_endpoints_ms: abc.Callable[[], float]


def choose_base(
    current: origins.Base | None,
    count_by_software: abc.Mapping[str, int],
    now_ms: int,
) -> origins.Base | None:
    """Return the base that should be stored, or None without endpoints."""
    if not count_by_software:
        return current
    most_common = max(
        sorted(count_by_software), key=lambda name: count_by_software[name]
    )
    if current is None:
        return _list_others(
            origins.Base(most_common), count_by_software, now_ms
        )
    if current.software in count_by_software:
        base = current
        if current.absent_since_ms is not None:
            base = dataclasses.replace(
                current,
                absent_since_ms=None,
                ambiguous_until_ms=now_ms + AMBIGUITY_MS,
            )
    elif current.absent_since_ms is None:
        base = dataclasses.replace(current, absent_since_ms=now_ms)
    elif now_ms - current.absent_since_ms < BASE_TTL_MS:
        base = current
    else:
        base = dataclasses.replace(
            current,
            software=most_common,
            absent_since_ms=None,
            ambiguous_until_ms=now_ms + AMBIGUITY_MS,
        )
    return _list_others(base, count_by_software, now_ms)


def add_other(base: origins.Base, software: str) -> origins.Base:
    """Return the base with a version at which streams may begin."""
    return dataclasses.replace(
        base,
        absent_since_ms_by_other={
            **base.absent_since_ms_by_other,
            software: 0,
        },
    )


def _list_others(
    base: origins.Base,
    count_by_software: abc.Mapping[str, int],
    now_ms: int,
) -> origins.Base:
    """Return the base with the versions that are registered or left lately."""
    absent_since_ms_by_other = {
        software: 0 if software in count_by_software else since_ms or now_ms
        for software, since_ms in base.absent_since_ms_by_other.items()
    }
    absent_since_ms_by_other.update(dict.fromkeys(count_by_software, 0))
    return dataclasses.replace(
        base,
        absent_since_ms_by_other={
            software: since_ms
            for software, since_ms in absent_since_ms_by_other.items()
            if software != base.software
            and (not since_ms or now_ms - since_ms < BASE_TTL_MS)
        },
    )


class BaseKeeper:
    """Bases by service, stored by one instance and followed by all.

    A base changes only after its software was gone for as long as a stream
    may be resumed, so a stream without a row never changes its meaning.
    """

    def __init__(
        self,
        table: rows.RowTable,
        registry: registries.Registry,
        membership: member.Membership,
        get_services: abc.Callable[[], set[str]],
        is_view_fresh: abc.Callable[[], bool],
        ages: CopyAges,
        get_table_ms: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.table = table
        self.registry = registry
        self.membership = membership
        self.get_services = get_services
        self.is_view_fresh = is_view_fresh
        self.ages = ages
        self.get_table_ms = get_table_ms
        self.write_event = write_event
        self.stored_by_service: dict[str, StoredBase] = {}

    def get(self, service: str) -> str | None:
        """Return the software of streams without a row, or None."""
        stored = self.stored_by_service.get(service)
        return stored.base.software if stored is not None else None

    def has_endpoints(self, service: str) -> bool:
        """Return whether endpoints of the service run its base."""
        base = self.get(service)
        return any(
            state.endpoint.software == base
            for state in self.registry.get_by_service(service)
        )

    def is_base(self, origin: origins.Origin) -> bool:
        """Return whether no instance takes another software for the base."""
        return (
            self.get(origin.service) == origin.software
            and self.ages.get_bases_ms() <= MAX_BASE_AGE_MS
        )

    def implies(self, origin: origins.Origin) -> bool:
        """Return whether every instance finds the origin without a row."""
        if not self.is_base(origin):
            return False
        base = self.stored_by_service[origin.service].base
        return not base.is_ambiguous(self.get_table_ms())

    def lists(self, origin: origins.Origin) -> bool:
        """Return whether the base's row names the software for long enough."""
        stored = self.stored_by_service.get(origin.service)
        if stored is None or self.ages.get_bases_ms() > MAX_LISTING_AGE_MS:
            return False
        return stored.base.absent_since_ms_by_other.get(origin.software) == 0

    def is_absent(self, service: str) -> bool:
        """Return whether the base is known to have no endpoints anywhere."""
        stored = self.stored_by_service.get(service)
        return (
            stored is not None
            and stored.base.absent_since_ms is not None
            and self.ages.get_bases_ms() <= MAX_ABSENCE_AGE_MS
            and self.ages.get_endpoints_ms() <= MAX_ABSENCE_AGE_MS
            and stored.base.software
            not in self.registry.count_software(service)
        )

    def is_responsible(self, key: str) -> bool:
        """Return whether this instance does the work of a key."""
        now = asyncio.get_running_loop().time()
        names = [peer.name for peer in self.membership.get_alive(now)]
        return rendezvous.rank(key, names)[:1] == [self.membership.own_name]

    def apply_row(self, row: rows.Row) -> None:
        """Apply a changed row of a service."""
        service = row.name.key.removeprefix(origins.BASE_KEY_PREFIX)
        if row.value is None:
            self.stored_by_service.pop(service, None)
            return
        try:
            base = origins.decode_base(row.value)
        except ValueError:
            self.write_event(logevents.MemberUnreadable(key=row.name.key))
            return
        self.stored_by_service[service] = StoredBase(base, row.version)

    async def run(self) -> None:
        """Store the bases of the services until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for service in sorted(self.get_services()):
                if self.is_view_fresh():
                    await self._update(service)

    async def _update(self, service: str) -> None:
        counts = self.registry.count_software(service)
        stored = self.stored_by_service.get(service)
        current = stored.base if stored is not None else None
        base = choose_base(current, counts, self.get_table_ms())
        if base is None or base == current:
            return
        if not self.is_responsible(service):
            return
        key = origins.make_base_key(service)
        version = stored.version if stored is not None else rows.ABSENT
        try:
            await self.table.transact(
                rows.Transaction(
                    expected=((key, version),),
                    puts=((key, origins.encode_base(base)),),
                )
            )
        except rows.TableError as error:
            # The next check tries again under the same condition.
            self.write_event(
                logevents.OriginNotStored(id=service, detail=error.detail)
            )
