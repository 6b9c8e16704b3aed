"""Read and check the settings of one daemon."""

import ipaddress
import pathlib
from typing import Annotated

import pydantic
from returns import result

from ..configuring import document
from ..configuring import problem
from ..configuring import validation

__all__ = ['Settings', 'check_settings', 'load_settings']


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > 65_535:
        raise ValueError('Write the address as IP:PORT')
    ipaddress.ip_address(host.strip('[]'))
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class Settings(pydantic.BaseModel):
    """Settings of a process that the platform does not provide."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, strict=True
    )

    id: str = pydantic.Field(min_length=1, description='Name of the instance.')
    availability_zone: str = pydantic.Field(
        min_length=1, description='Availability zone of the instance.'
    )
    caller_address: Address = pydantic.Field(
        description='Address for callers and trainers, as IP:PORT.'
    )
    peer_address: Address = pydantic.Field(
        description='Address for other instances, as IP:PORT.'
    )
    operator_address: Address = pydantic.Field(
        description='Address for operators and metrics, as IP:PORT.'
    )
    operator_token_file: str = pydantic.Field(
        min_length=1, description='File with the token for operators.'
    )
    table_address: Address = pydantic.Field(
        description='Address of the table service, as IP:PORT.'
    )
    object_address: Address = pydantic.Field(
        description='Address of the object store, as IP:PORT.'
    )
    list_address: Address = pydantic.Field(
        description='Address of the list of instances, as IP:PORT.'
    )
    max_body_bytes: int = pydantic.Field(
        default=8_388_608,
        ge=1024,
        le=1_073_741_824,
        description='Maximum size of a request or reply body, in bytes.',
    )
    max_connections: int = pydantic.Field(
        default=4096,
        ge=1,
        le=1_000_000,
        description='Maximum number of open connections of callers.',
    )
    stop_limit_ms: int = pydantic.Field(
        default=3_600_000,
        ge=1000,
        description='Maximum time for a graceful shutdown, in milliseconds.',
    )
    log_level: str = pydantic.Field(
        default='INFO',
        pattern='^(DEBUG|INFO|WARNING|ERROR)$',
        description='Lowest level that is logged.',
    )


def load_settings(
    path: str,
) -> result.Result[Settings, list[problem.Problem]]:
    """Return the settings in a file, or all of its problems."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        detail = f'The file cannot be read: {error}.'
        return result.Failure([problem.Problem('', 1, 'no-file', detail)])
    return check_settings(text)


def check_settings(
    text: str,
) -> result.Result[Settings, list[problem.Problem]]:
    """Return the settings in a text, or all of its problems."""
    return document.read_document(text).bind(_build)


def _build(
    settings_document: document.Document,
) -> result.Result[Settings, list[problem.Problem]]:
    try:
        return result.Success(Settings.model_validate(settings_document.value))
    except pydantic.ValidationError as error:
        return result.Failure(
            validation.make_problems(error, Settings, settings_document)
        )
