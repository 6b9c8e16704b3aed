"""Decode and check what other processes wrote."""

from collections import abc
import functools
import ipaddress
from typing import Annotated, TypeVar

import pydantic

__all__ = [
    'Address',
    'CheckedModel',
    'Count',
    'FiniteFloat',
    'Int64',
    'fits_header',
    'make_decoder',
    'parse_count',
]

# Text of a row key or a name, at most.
MAX_TEXT_LENGTH = 200
# Longer numbers do not fit 64 bits.
MAX_COUNT_DIGITS = 18
MAX_PORT = 65_535
# The same ones come with each heartbeat.
MAX_ADDRESSES = 4096


@functools.lru_cache(MAX_ADDRESSES)
def _check_address(value: str) -> str:
    host, _, port = value.rpartition(':')
    number = parse_count(port)
    if number is None or not 0 < number <= MAX_PORT:
        raise ValueError('The address is not IP:PORT')
    ipaddress.ip_address(host.strip('[]'))
    return value


# Larger numbers can't be logged, stored or sent on.
Int64 = Annotated[int, pydantic.Field(ge=-(2**63), lt=2**63)]
Count = Annotated[int, pydantic.Field(ge=0, lt=2**53)]
FiniteFloat = Annotated[float, pydantic.Field(allow_inf_nan=False)]
Address = Annotated[
    str,
    pydantic.Field(max_length=MAX_TEXT_LENGTH),
    pydantic.AfterValidator(_check_address),
]
Decoded = TypeVar('Decoded')


class CheckedModel(pydantic.BaseModel):
    """Base class of what other processes write, as it is read."""

    # Built at the first use: all of them would delay each start.
    model_config = pydantic.ConfigDict(defer_build=True)


def make_decoder(
    decoded_type: type[Decoded],
) -> abc.Callable[[bytes], Decoded]:
    """Return a function from JSON to a type; it raises only ValueError.

    Fields that the type does not have are ignored: a newer build may write
    them.
    """

    @functools.cache
    def get_adapter() -> pydantic.TypeAdapter[Decoded]:
        # Built at the first use: all of them would delay each start.
        return pydantic.TypeAdapter(decoded_type)

    def decode(value: bytes) -> Decoded:
        return get_adapter().validate_json(value, strict=True)

    return decode


def fits_header(text: str) -> bool:
    """Return whether a name or an id can be the value of a header.

    >>> fits_header('engine-1'), fits_header('a\\nb'), fits_header('')
    (True, False, False)
    """
    is_clean = text.isascii() and text.isprintable() and text == text.strip()
    return is_clean and 0 < len(text) <= MAX_TEXT_LENGTH


def parse_count(text: str | None) -> int | None:
    """Return the number that ASCII digits stand for, or None.

    >>> parse_count('12'), parse_count('-1'), parse_count('9' * 5000)
    (12, None, None)
    """
    if not text or not (text.isascii() and text.isdecimal()):
        return None
    return int(text) if len(text) <= MAX_COUNT_DIGITS else None
