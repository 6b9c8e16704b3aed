"""Read the rows that the operator and the endpoints write."""

from collections import abc

import orjson

from . import configdecode
from . import endpointdecode
from . import names
from ..registry import endpoint
from ..reporting import logevents
from ..requests import routes
from ..table import rows

__all__ = ['make_endpoint_reader', 'make_operator_reader']

OPERATOR_TABLE = names.OPERATOR_TABLE
ENDPOINT_TABLE = names.ENDPOINT_TABLE


def make_operator_reader(
    put_configuration: abc.Callable[[routes.Configuration], object],
    set_target_version: abc.Callable[[str, int], None],
    write_event: logevents.WriteEvent,
) -> abc.Callable[[rows.Row], None]:
    """Return a function that takes in rows of the operator."""

    def read(row: rows.Row) -> None:
        key = row.name.key
        if row.value is None:
            return
        if key == names.CONFIG_KEY:
            found = configdecode.decode_configuration(row.value)
            configuration = found.value_or(None)
            if configuration is None:
                write_event(
                    logevents.ConfigurationUnreadable(why=found.failure())
                )
                return
            put_configuration(configuration)
        elif key.startswith(names.VERSION_KEY_START):
            try:
                named = orjson.loads(row.value)
                set_target_version(str(named['model']), int(named['version']))
            except (KeyError, TypeError, ValueError) as error:
                write_event(
                    logevents.VersionUnreadable(key=key, why=str(error))
                )

    return read


def make_endpoint_reader(
    put: abc.Callable[[endpoint.Endpoint], None],
    remove: abc.Callable[[str], None],
    write_event: logevents.WriteEvent,
) -> abc.Callable[[rows.Row], None]:
    """Return a function that takes in entries of endpoints."""

    def read(row: rows.Row) -> None:
        if row.value is None:
            remove(row.name.key)
            return
        found = endpointdecode.decode_endpoint(row.name.key, row.value)
        decoded = found.value_or(None)
        if decoded is None:
            # A malformed entry names no endpoint to use.
            write_event(
                logevents.EndpointUnreadable(
                    key=row.name.key, why=found.failure()
                )
            )
            remove(row.name.key)
            return
        put(decoded)

    return read
