"""Record the origins of streams, and find them when callers resume."""

import asyncio
from collections import abc

from . import bases
from . import origin as origins
from ..registry import registry as registries
from ..reporting import logevents
from ..table import rows

__all__ = ['OriginRecorder', 'OriginUnknownError']

# A stream waits for its row before its first event, at most this long.
RECORD_TIMEOUT_MS = 600.0
# The write is repeated meanwhile, in case its answer is lost.
REPEAT_INTERVAL_MS = 150.0
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
    stream has one before its caller gets an event, so that all instances know
    its origin, also after the loss of the one that served it.
    """

    def __init__(
        self,
        table: rows.RowTable,
        base_keeper: bases.BaseKeeper,
        registry: registries.Registry,
        get_answer_age_ms: abc.Callable[[], float],
        get_table_ms: abc.Callable[[], int],
        write_event: logevents.WriteEvent,
    ):
        self.table = table
        self.bases = base_keeper
        self.registry = registry
        self.get_answer_age_ms = get_answer_age_ms
        self.get_table_ms = get_table_ms
        self.write_event = write_event
        self.origin_by_id: dict[str, origins.Origin] = {}
        self.failed_at = float('-inf')
        self.remove_after_ms_by_key: dict[rows.Key, int] = {}
        # Streams that were begun without their row, by request id.
        self.unrecorded_by_id: dict[str, origins.Origin] = {}
        self.tasks: set[asyncio.Task] = set()

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
        """Return whether the origin of a new stream stays known.

        It is also accepted without a row if no instance could take the stream
        for one that the base began.
        """
        self._remember(request_id, origin)
        if is_only_service and origin.software == self.bases.get(
            origin.service
        ):
            return True
        if await self._write(request_id, origin):
            return True
        self.failed_at = asyncio.get_running_loop().time()
        if self.bases.could_be_other(origin):
            return False
        if len(self.unrecorded_by_id) < MAX_REMEMBERED:
            self.unrecorded_by_id[request_id] = origin
        return True

    async def find(
        self, first_id: str | None, services: abc.Collection[str]
    ) -> origins.Origin:
        """Return the origin of a stream; raise OriginUnknownError."""
        if first_id is None:
            return self._get_only_origin(services)
        origin = self.origin_by_id.get(first_id)
        if origin is None:
            origin = await self._read(first_id, services)
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
        for task in self.tasks:
            task.cancel()

    def _remember(self, request_id: str, origin: origins.Origin) -> None:
        self.origin_by_id.pop(request_id, None)
        self.origin_by_id[request_id] = origin
        if len(self.origin_by_id) > MAX_REMEMBERED:
            del self.origin_by_id[next(iter(self.origin_by_id))]

    def _get_only_origin(
        self, services: abc.Collection[str]
    ) -> origins.Origin:
        # Without an id only a service that runs nothing but its base is clear.
        for service in services if len(services) == 1 else ():
            base = self.bases.get(service)
            states = self.registry.get_all_by_service(service)
            if base is not None and all(
                state.endpoint.software == base for state in states
            ):
                return origins.Origin(service, base)
        raise OriginUnknownError('the caller names no request')

    async def _read(
        self, first_id: str, services: abc.Collection[str]
    ) -> origins.Origin:
        key = origins.make_record_key(first_id)
        try:
            page = await self.table.read(
                rows.Range(key.table, key.part, key.key, f'{key.key}\0', 1)
            )
        except rows.TableError as error:
            raise OriginUnknownError(error.detail) from None
        for row in page.rows:
            try:
                return origins.decode_record(row.value or b'').origin
            except ValueError as error:
                raise OriginUnknownError(str(error)) from None
        for service in services if len(services) == 1 else ():
            base = self.bases.get(service)
            if base is not None:
                return origins.Origin(service, base)
        raise OriginUnknownError('the service has no base yet')

    async def _write(self, request_id: str, origin: origins.Origin) -> bool:
        transaction = self._make_transaction(request_id, origin)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RECORD_TIMEOUT_MS / 1000
        pending: set[asyncio.Task] = set()
        while loop.time() < deadline:
            pending.add(self._start(self._put(transaction, origin)))
            pause_at = loop.time() + REPEAT_INTERVAL_MS / 1000
            done, pending = await asyncio.wait(
                pending,
                timeout=REPEAT_INTERVAL_MS / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(task.result() for task in done):
                return True
            await asyncio.sleep(max(pause_at - loop.time(), 0.0))
        self.write_event(
            logevents.OriginNotStored(
                id=request_id, detail='no answer in time'
            )
        )
        return False

    def _make_transaction(
        self, request_id: str, origin: origins.Origin
    ) -> rows.Transaction:
        key = origins.make_record_key(request_id)
        now_ms = self.get_table_ms()
        self.remove_after_ms_by_key[key] = now_ms + MAX_STREAM_MS
        row = origins.RecordedOrigin(origin.service, origin.software, now_ms)
        return rows.Transaction(
            expected=((key, rows.ABSENT),),
            puts=((key, origins.encode_row(row)),),
        )

    async def _put(
        self, transaction: rows.Transaction, origin: origins.Origin
    ) -> bool | None:
        """Return whether the row is stored; None if that is unknown."""
        try:
            outcome = await self.table.transact(transaction)
        except rows.TableError:
            # Repeated under the same condition; the caller logs the end.
            return None
        if isinstance(outcome, rows.Applied):
            return True
        # An earlier write whose answer was lost has been applied.
        return any(
            row.value is not None
            and origins.decode_record(row.value).origin == origin
            for row in outcome.rows
        )

    async def _write_missing(self) -> None:
        for request_id, origin in list(self.unrecorded_by_id.items()):
            transaction = self._make_transaction(request_id, origin)
            if await self._put(transaction, origin) is None:
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

    def _start(self, work: abc.Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
