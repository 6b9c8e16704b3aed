"""Decode the platform's list of instances."""

import logging
from typing import Any, Literal

import pydantic
from returns import result

from .. import decoding
from .. import ports
from ..core import endpoint

__all__ = ['read_listing']

logger = logging.getLogger('pomelopass')


class _Listing(decoding.CheckedModel):
    number: decoding.Int64
    instances: list[Any]


class _Instance(decoding.CheckedModel):
    kind: Literal['entry', 'endpoint']
    id: str
    address: str
    availability_zone: str
    incarnation: str = ''
    pool: str = ''
    leaving: bool = False


_decode_listing = decoding.make_decoder(_Listing)


def read_listing(
    reply: tuple[int, bytes],
) -> result.Result[ports.Listing, str]:
    """Return the list of a reply without the entries that are malformed.

    The reply is its status and its body.
    """
    try:
        listing = _decode_listing(reply[1])
    except ValueError as error:
        logger.warning('list-unreadable', extra={'why': str(error)})
        return result.Failure(str(error))
    instances = [
        instance
        for entry in listing.instances
        if (instance := _read_instance(entry)) is not None
    ]
    return result.Success(
        ports.Listing(
            listing.number,
            tuple(
                ports.EntryAddress(
                    instance.id, instance.address, instance.availability_zone
                )
                for instance in instances
                if instance.kind == 'entry'
            ),
            tuple(
                endpoint.Endpoint(
                    instance.id,
                    instance.incarnation,
                    instance.pool,
                    instance.address,
                    instance.availability_zone,
                    instance.leaving,
                )
                for instance in instances
                if instance.kind == 'endpoint'
            ),
        )
    )


def _read_instance(entry: object) -> _Instance | None:
    try:
        return _Instance.model_validate(entry, strict=True)
    except pydantic.ValidationError as error:
        logger.warning('list-entry-unreadable', extra={'why': str(error)})
        return None
