"""Keep the base of each service: the software of streams without a row."""

import asyncio
import collections
from collections import abc
import dataclasses

from ..core import rendezvous
from ..fleet import member
from . import origin as origins
from ..registry import registry as registries
from ..reporting import logevents
from ..table import rows

__all__ = ['BASE_TTL_MS', 'BaseKeeper', 'choose_base']

CHECK_INTERVAL_S = 1.0
# Streams are not resumed this long after the last of their endpoints left.
BASE_TTL_MS = 300_000


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredBase:
    base: origins.Base
    version: int


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
        return origins.Base(most_common)
    if current.software in count_by_software:
        return origins.Base(current.software)
    if current.absent_since_ms is None:
        return dataclasses.replace(current, absent_since_ms=now_ms)
    if now_ms - current.absent_since_ms < BASE_TTL_MS:
        return current
    return origins.Base(most_common)


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
        get_table_ms: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.table = table
        self.registry = registry
        self.membership = membership
        self.get_services = get_services
        self.is_view_fresh = is_view_fresh
        self.get_table_ms = get_table_ms
        self.write_event = write_event
        self.stored_by_service: dict[str, _StoredBase] = {}

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

    def could_be_other(self, origin: origins.Origin) -> bool:
        """Return whether a stream without a row could be resumed elsewhere.

        That is, at endpoints whose software did not begin it.
        """
        base = self.get(origin.service)
        candidates = {
            state.endpoint.software
            for state in self.registry.get_all_by_service(origin.service)
        }
        if base is not None:
            candidates &= {base}
        return bool(candidates - {origin.software})

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
        self.stored_by_service[service] = _StoredBase(base, row.version)

    async def run(self) -> None:
        """Store the bases of the services until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for service in sorted(self.get_services()):
                if self.is_view_fresh() and self.is_responsible(service):
                    await self._update(service)

    async def _update(self, service: str) -> None:
        counts = collections.Counter(
            state.endpoint.software
            for state in self.registry.get_all_by_service(service)
        )
        stored = self.stored_by_service.get(service)
        current = stored.base if stored is not None else None
        base = choose_base(current, counts, self.get_table_ms())
        if base is None or base == current:
            return
        key = origins.make_base_key(service)
        version = stored.version if stored is not None else rows.ABSENT
        try:
            await self.table.transact(
                rows.Transaction(
                    expected=((key, version),),
                    puts=((key, origins.encode_row(base)),),
                )
            )
        except rows.TableError as error:
            # The next check tries again under the same condition.
            self.write_event(
                logevents.OriginNotStored(id=service, detail=error.detail)
            )
