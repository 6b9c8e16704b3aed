"""Read and check the settings of an entry instance."""

import pathlib
from typing import Annotated

import pydantic
from returns import result

from .. import decoding
from ..configuring import document
from ..configuring import problem
from ..configuring import validation
from ..platform import names
from ..running import settings

__all__ = ['EntrySettings', 'check_entry_settings', 'load_entry_settings']


KNOWN_DUTIES = frozenset((names.USAGE_DUTY, names.SCALING_DUTY))
# Counts come with heartbeats, twice a second.
MIN_USAGE_LATE_S = 1.0


def _parse_number(value: object) -> object:
    """Return the number in a text of the template; None if it is empty."""
    if not isinstance(value, str):
        return value
    return float(value) if value.strip() else None


def _parse_names(value: object) -> object:
    """Return the names that a text of the template joins by commas."""
    if not isinstance(value, str):
        return value
    return [name.strip() for name in value.split(',') if name.strip()]


def _parse_optional(value: object) -> object:
    """Return None for an empty text of the template."""
    return value or None


OptionalAddress = Annotated[
    settings.Address | None, pydantic.BeforeValidator(_parse_optional)
]
OptionalNumber = Annotated[
    decoding.FiniteFloat | None, pydantic.BeforeValidator(_parse_number)
]


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
    max_descriptors: int | None = pydantic.Field(
        default=None,
        gt=0,
        description='Descriptor limit of the process, of which 200 are kept '
        'for files; that of the operating system if left out.',
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
    duties: Annotated[
        tuple[str, ...], pydantic.BeforeValidator(_parse_names)
    ] = pydantic.Field(
        default=(),
        strict=False,
        description='Duties that one instance at a time performs: '
        '`usage_report`, `autoscale`.',
    )
    duty_address: OptionalAddress = pydantic.Field(
        default=None,
        validate_default=True,
        description="Address of the platform's API for duties.",
    )
    duty_calls_per_s: OptionalNumber = pydantic.Field(
        default=None,
        validate_default=True,
        gt=0,
        description='Calls of that API per second, of all instances together.',
    )
    usage_window_s: OptionalNumber = pydantic.Field(
        default=None,
        validate_default=True,
        gt=0,
        description='Length of a window of usage reports, in seconds.',
    )
    usage_late_s: OptionalNumber = pydantic.Field(
        default=None,
        validate_default=True,
        ge=MIN_USAGE_LATE_S,
        description='Time from the end of a window until its report is due, '
        'in seconds.',
    )

    @property
    def reports_usage(self) -> bool:
        """Return whether the instances report the usage of workspaces."""
        return names.USAGE_DUTY in self.duties

    @property
    def orders_engines(self) -> bool:
        """Return whether the instances order engines by demand."""
        return names.SCALING_DUTY in self.duties

    @pydantic.field_validator('duty_address', 'duty_calls_per_s')
    @classmethod
    def _check_duty_field(
        cls, value: object, info: pydantic.ValidationInfo
    ) -> object:
        if value is None and KNOWN_DUTIES & set(info.data.get('duties', ())):
            raise ValueError('The duties need this field')
        return value

    @pydantic.field_validator('usage_window_s', 'usage_late_s')
    @classmethod
    def _check_usage_field(
        cls, value: float | None, info: pydantic.ValidationInfo
    ) -> float | None:
        if value is None and names.USAGE_DUTY in info.data.get('duties', ()):
            raise ValueError('Usage reports need this field')
        return value


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
