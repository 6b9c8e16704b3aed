"""Read and check the settings of an entry instance."""

import pathlib

import pydantic
from returns import result

from .. import decoding
from ..configuring import document
from ..configuring import problem
from ..configuring import validation
from ..running import settings

__all__ = ['EntrySettings', 'check_entry_settings', 'load_entry_settings']


class EntrySettings(decoding.CheckedModel):
    """Settings that the platform provides to an entry instance."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, strict=True
    )

    name: str = pydantic.Field(
        min_length=1, description='Name of the instance.'
    )
    availability_zone: str = pydantic.Field(
        min_length=1, description='Availability zone of the instance.'
    )
    caller_address: settings.Address = pydantic.Field(
        description='Address for callers and trainers, as IP:PORT.'
    )
    readiness_address: settings.Address = pydantic.Field(
        description="Address for the platform's readiness checks."
    )
    directory_address: settings.Address = pydantic.Field(
        description='Address at which callers look up instance addresses.'
    )
    relay_address: settings.Address = pydantic.Field(
        description='Address at which peers send table calls to relay.'
    )
    metrics_address: settings.Address | None = pydantic.Field(
        default=None,
        description='Address of the metrics; not served if left out.',
    )
    seed_addresses: tuple[settings.Address, ...] = pydantic.Field(
        default=(),
        strict=False,
        description='Relay addresses used while no other instance is known.',
    )
    table_address: settings.Address = pydantic.Field(
        description='Address of the table service.'
    )
    stop_limit_s: float = pydantic.Field(
        gt=0, description='Longest graceful shutdown, in seconds.'
    )
    takeover_wait_ms: float = pydantic.Field(
        ge=0,
        description='Wait of a new leader where engines do not check '
        'fences, in milliseconds.',
    )
    engines_check_fences: bool = pydantic.Field(
        description='Whether engines refuse lower fencing numbers.'
    )
    core_share: float = pydantic.Field(
        default=1.0,
        gt=0,
        description='Share of a CPU core assigned to the instance.',
    )
    core_speed: float = pydantic.Field(
        default=1.0,
        gt=0,
        description='Speed of that core; 1 is a standard core.',
    )
    memory_mb: float = pydantic.Field(
        default=200.0,
        gt=0,
        description='Memory limit of the process, in MB.',
    )
    job_kept_s: float = pydantic.Field(
        gt=0, description='Retention period of jobs, in seconds.'
    )
    directory_ttl_s: float = pydantic.Field(
        gt=0, description='Time for which callers cache addresses, in seconds.'
    )
    zone_transfer_ms_per_mb: float | None = pydantic.Field(
        default=None,
        ge=0,
        allow_inf_nan=False,
        description="Milliseconds of a caller's waiting that one megabyte "
        'between availability zones is worth; without it, work is placed '
        'by load and pace alone.',
    )
    log_level: str = pydantic.Field(
        default='INFO',
        pattern='^(DEBUG|INFO|WARNING|ERROR)$',
        description='Lowest level that is logged.',
    )


def load_entry_settings(
    path: str,
) -> result.Result[EntrySettings, list[problem.Problem]]:
    """Return the settings in a file, or every problem at once."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        detail = f'The file cannot be read: {error}.'
        return result.Failure([problem.Problem('', 1, 'no-file', detail)])
    return check_entry_settings(text)


def check_entry_settings(
    text: str,
) -> result.Result[EntrySettings, list[problem.Problem]]:
    """Return the settings in a text, or every problem at once."""
    return document.read_document(text).bind(_validate)


def _validate(
    parsed: document.Document,
) -> result.Result[EntrySettings, list[problem.Problem]]:
    try:
        return result.Success(EntrySettings.model_validate(parsed.value))
    except pydantic.ValidationError as error:
        return result.Failure(
            validation.make_problems(error, EntrySettings, parsed)
        )
