"""Read and check the settings of an entry instance."""

import pathlib

import pydantic
from returns import result

from .. import document
from .. import problem
from .. import settings
from .. import util

__all__ = ['EntrySettings', 'check_entry_settings', 'load_entry_settings']


class EntrySettings(pydantic.BaseModel):
    """Hold what the platform tells an entry instance."""

    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, strict=True
    )

    name: str = pydantic.Field(min_length=1)
    availability_zone: str = pydantic.Field(min_length=1)
    caller_address: settings.Address
    readiness_address: settings.Address
    directory_address: settings.Address
    # Other instances reach the table service through this address.
    relay_address: settings.Address
    metrics_address: settings.Address | None = None
    seed_addresses: tuple[settings.Address, ...] = pydantic.Field(
        default=(), strict=False
    )
    table_address: settings.Address
    stop_limit_s: float = pydantic.Field(gt=0)
    takeover_wait_ms: float = pydantic.Field(ge=0)
    engines_check_fences: bool
    job_kept_s: float = pydantic.Field(gt=0)
    directory_ttl_s: float = pydantic.Field(gt=0)
    log_level: str = pydantic.Field(
        default='INFO', pattern='^(DEBUG|INFO|WARNING|ERROR)$'
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
    return document.read_document(text).bind(_build)


def _build(
    read: document.Document,
) -> result.Result[EntrySettings, list[problem.Problem]]:
    try:
        return result.Success(EntrySettings.model_validate(read.value))
    except pydantic.ValidationError as error:
        return result.Failure(util.make_problems(error, EntrySettings, read))
