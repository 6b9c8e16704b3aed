"""Record the origins of streams, and find them when callers resume."""

import asyncio
from collections import abc

from . import bases
from . import origin as origins
from ..reporting import logevents
from ..table import currentrows
from ..table import rows
from . import writer as writers

__all__ = ['OriginRecorder', 'OriginUnknownError']

# The origin of a resumed stream is looked up in at most this time.
LOOKUP_TIMEOUT_MS = 1000.0
MAX_REMEMBERED = 4000
# Rows are removed this long after the end of their streams.
RECORD_TTL_MS = 300_000
# Of a stream whose end is not noticed, the row goes this long after it began.
MAX_STREAM_MS = 3_600_000
CHECK_INTERVAL_S = 1.0


class OriginUnknownError(Exception):
    """Raised when the software that began a stream is unknown."""


class OriginRecorder:
    """Origins by the id of the request that brought the first event.

    Streams that the base of their service began need no row. Any other
    stream has one before its caller gets an event, and the row of the base
    names its software, so that all instances know its origin, also after the
    loss of the one that served it. What an instance does not see in its own
    copies may exist: it resumes a stream by the rows of that moment only.
    """

    def __init__(
        self,
        table: rows.RowTable,
        base_keeper: bases.BaseKeeper,
        get_answer_age_ms: abc.Callable[[], float],
        get_table_ms: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.table = table
        self.bases = base_keeper
        self.get_answer_age_ms = get_answer_age_ms
        self.get_table_ms = get_table_ms
        self.write_event = write_event
        self.origin_by_id: dict[str, origins.Origin] = {}
        self.failed_at = float('-inf')
        self.remove_after_ms_by_key: dict[rows.Key, int] = {}
        # Streams that were begun without their row, by request id.
        self.unrecorded_by_id: dict[str, origins.Origin] = {}
        self.current_rows = currentrows.CurrentRows(table)
        self.writer = writers.RowWriter(table)

    def get_required_software(self, service: str) -> str | None:
        """Return the software that new streams must use, or None for any.

        While rows can't be written only the base is known later.
        """
        now = asyncio.get_running_loop().time()
        failure_age_ms = (now - self.failed_at) * 1000
        if failure_age_ms > self.get_answer_age_ms():
            return None
        if not self.bases.has_endpoints(service):
            return None
        return self.bases.get(service)

    async def record(
        self, request_id: str, origin: origins.Origin, is_only_service: bool
    ) -> bool:
        """Return whether no instance takes the stream for another software's.

        Without its row it may still be refused where its caller resumes it.
        """
        self._remember(request_id, origin)
        if is_only_service and self.bases.implies(origin):
            return True
        is_listed, is_stored = await asyncio.gather(
            self._list(origin), self._write(request_id, origin)
        )
        if is_listed and is_stored:
            return True
        self.failed_at = asyncio.get_running_loop().time()
        if not (
            self.bases.is_base(origin)
            or (is_listed and self.bases.is_absent(origin.service))
        ):
            return False
        if not is_stored and len(self.unrecorded_by_id) < MAX_REMEMBERED:
            self.unrecorded_by_id[request_id] = origin
        return True

    async def find(
        self, first_id: str | None, services: abc.Collection[str]
    ) -> origins.Origin:
        """Return the origin of a stream; raise OriginUnknownError."""
        origin = self.origin_by_id.get(first_id or '')
        if origin is None:
            try:
                async with asyncio.timeout(LOOKUP_TIMEOUT_MS / 1000):
                    origin = await self._look_up(first_id, services)
            except (TimeoutError, ValueError, rows.TableError) as error:
                raise OriginUnknownError(repr(error)) from None
            if first_id is not None:
                self._remember(first_id, origin)
        if origin.service not in services:
            raise OriginUnknownError('the route leads to another service')
        return origin

    def end(self, request_id: str) -> None:
        """Let the row of a stream expire after the stream ended."""
        key = origins.make_record_key(request_id)
        if key in self.remove_after_ms_by_key:
            self.remove_after_ms_by_key[key] = (
                self.get_table_ms() + RECORD_TTL_MS
            )

    async def run(self) -> None:
        """Write missing rows and remove expired ones until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._write_missing()
            now_ms = self.get_table_ms()
            expired = [
                key
                for key, after_ms in self.remove_after_ms_by_key.items()
                if after_ms <= now_ms
            ]
            for key in expired:
                await self._remove(key)

    def stop(self) -> None:
        """Cancel the writes in progress."""
        self.writer.stop()
        self.current_rows.stop()

    def _remember(self, request_id: str, origin: origins.Origin) -> None:
        self.origin_by_id.pop(request_id, None)
        self.origin_by_id[request_id] = origin
        if len(self.origin_by_id) > MAX_REMEMBERED:
            del self.origin_by_id[next(iter(self.origin_by_id))]

    async def _look_up(
        self, first_id: str | None, services: abc.Collection[str]
    ) -> origins.Origin:
        """Return an origin by the newest rows.

        Raise TableError, ValueError or OriginUnknownError.
        """
        if first_id is not None:
            key = origins.make_record_key(first_id)
            row = await currentrows.read_current(self.table, key)
            if row is not None:
                return origins.decode_record(row.value or b'').origin
        if len(services) != 1:
            raise OriginUnknownError('the route leads to several services')
        (service,) = services
        row = await self.current_rows.read(origins.make_base_key(service))
        if row is None:
            raise OriginUnknownError('the service has no base yet')
        base = origins.decode_base(row.value or b'')
        if base.is_ambiguous(self.get_table_ms()):
            raise OriginUnknownError('its base was absent a short time ago')
        if first_id is None and base.absent_since_ms_by_other:
            raise OriginUnknownError('the caller names no request')
        return origins.Origin(service, base.software)

    async def _write(self, request_id: str, origin: origins.Origin) -> bool:
        transaction = self._make_transaction(request_id, origin)
        is_stored = await self.writer.write(
            transaction, _make_is_recorded(origin)
        )
        if not is_stored:
            self.write_event(
                logevents.OriginNotStored(
                    id=request_id, detail='no answer in time'
                )
            )
        return is_stored

    async def _list(self, origin: origins.Origin) -> bool:
        """Return whether the row of the base names the software.

        It is added if it is missing.
        """
        stored = self.bases.stored_by_service.get(origin.service)
        if self.bases.is_base(origin) or self.bases.lists(origin):
            return True
        if stored is None:
            return False
        key = origins.make_base_key(origin.service)
        try:
            async with asyncio.timeout(writers.WRITE_TIMEOUT_MS / 1000):
                row = await self.current_rows.read(key)
            base = origins.decode_base(row.value or b'') if row else None
        except (TimeoutError, ValueError, rows.TableError) as error:
            self._log_unlisted(origin, repr(error))
            return False
        if base is None or base.software == origin.software:
            return base is not None
        if base.absent_since_ms_by_other.get(origin.software) == 0:
            return True
        value = origins.encode_base(bases.add_other(base, origin.software))
        is_stored = await self.writer.write(
            rows.Transaction(
                expected=((key, row.version),), puts=((key, value),)
            ),
            _make_is_listed(origin.software),
        )
        if not is_stored:
            self._log_unlisted(origin, 'no answer in time')
        return is_stored

    def _log_unlisted(self, origin: origins.Origin, detail: str) -> None:
        self.write_event(
            logevents.OriginNotStored(id=origin.service, detail=detail)
        )

    def _make_transaction(
        self, request_id: str, origin: origins.Origin
    ) -> rows.Transaction:
        key = origins.make_record_key(request_id)
        now_ms = self.get_table_ms()
        self.remove_after_ms_by_key[key] = now_ms + MAX_STREAM_MS
        row = origins.RecordedOrigin(
            origin.service, origin.software, now_ms, origin.workspace
        )
        return rows.Transaction(
            expected=((key, rows.ABSENT),),
            puts=((key, origins.encode_record(row)),),
        )

    async def _write_missing(self) -> None:
        for request_id, origin in list(self.unrecorded_by_id.items()):
            transaction = self._make_transaction(request_id, origin)
            is_stored = await self.writer.put(
                transaction, _make_is_recorded(origin)
            )
            if is_stored is None:
                # The table is still away: the next check tries again.
                return
            del self.unrecorded_by_id[request_id]

    async def _remove(self, key: rows.Key) -> None:
        try:
            await self.table.transact(rows.Transaction(removes=(key,)))
        except rows.TableError as error:
            self.write_event(
                logevents.OriginNotStored(id=key.key, detail=error.detail)
            )
            return
        self.remove_after_ms_by_key.pop(key, None)


def _make_is_recorded(origin: origins.Origin) -> writers.IsStored:
    """Return a check for the row of a stream with the origin."""
    return lambda value: origins.decode_record(value).origin == origin


def _make_is_listed(software: str) -> writers.IsStored:
    """Return a check for the row of a base that lists the software."""

    def is_listed(value: bytes) -> bool:
        base = origins.decode_base(value)
        return base.absent_since_ms_by_other.get(software) == 0

    return is_listed
