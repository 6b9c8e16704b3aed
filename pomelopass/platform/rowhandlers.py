"""Apply the rows that the operator and the endpoints write."""

from collections import abc


from .. import decoding
from . import configdecode
from . import endpointdecode
from . import names
from ..registry import endpoint
from ..reporting import logevents
from ..requests import routes
from ..table import memo
from ..table import rows

__all__ = ['make_endpoint_row_handler', 'make_operator_row_handler']

OPERATOR_TABLE = names.OPERATOR_TABLE
ENDPOINT_TABLE = names.ENDPOINT_TABLE


class _NamedVersion(decoding.CheckedModel):
    model: str
    version: decoding.Count


_decode_version = decoding.make_decoder(_NamedVersion)


def make_operator_row_handler(
    put_configuration: abc.Callable[[routes.Configuration], object],
    set_target_version: abc.Callable[[str, int], None],
    write_event: logevents.WriteEvent,
) -> abc.Callable[[rows.Row], None]:
    """Return a function that applies rows of the operator."""

    def handle_row(row: rows.Row) -> None:
        key = row.name.key
        if row.value is None:
            return
        if key == names.CONFIG_KEY:
            decoded = configdecode.decode_configuration(row.value)
            configuration = decoded.value_or(None)
            if configuration is None:
                write_event(
                    logevents.ConfigurationUnreadable(why=decoded.failure())
                )
                return
            put_configuration(configuration)
        elif key.startswith(names.VERSION_KEY_PREFIX):
            try:
                named_version = _decode_version(row.value)
            except ValueError as error:
                write_event(
                    logevents.VersionUnreadable(key=key, why=str(error))
                )
                return
            set_target_version(named_version.model, named_version.version)

    return handle_row


def make_endpoint_row_handler(
    put: abc.Callable[[endpoint.Endpoint], None],
    remove: abc.Callable[[str], None],
    write_event: logevents.WriteEvent,
) -> abc.Callable[[rows.Row], None]:
    """Return a function that applies registry entries of endpoints.

    If only the counter of an entry changed, it puts the same object again.
    """
    known = memo.RowMemo[endpoint.Endpoint](names.ENTRY_COUNTER)

    def handle_row(row: rows.Row) -> None:
        key = row.name.key
        if row.value is None:
            known.remove(key)
            remove(key)
            return
        entry = known.find(key, row.value)
        if entry is not None:
            put(entry)
            return
        decoded = endpointdecode.decode_endpoint(key, row.value)
        entry = decoded.value_or(None)
        if entry is None:
            # An endpoint with a malformed entry gets no work.
            write_event(
                logevents.EndpointUnreadable(key=key, why=decoded.failure())
            )
            known.remove(key)
            remove(key)
            return
        known.put(key, row.value, entry)
        put(entry)

    return handle_row
